package exec

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/oper/query"
	"github.com/lentildeck/lentildeck/internal/oper/view"
	"github.com/lentildeck/lentildeck/internal/state/config"
)

// defaultDrain is how long jobs have to leave a drained data centre if the operator does not say.
const defaultDrain = 60 * time.Second

// Env is what commands act on.
type Env interface {
	// Snapshot gathers what all owners know.
	Snapshot(ctx context.Context) (view.Snapshot, error)
	// Instances asks every entry instance for its state.
	Instances(ctx context.Context) []view.Instance
	// Apply changes the configuration.
	Apply(ctx context.Context, by, command string, edit config.Edit) (*config.Document, error)
	// Cancel ends a job.
	Cancel(ctx context.Context, job string) error
	// Admit lets a held job into the queue.
	Admit(ctx context.Context, job string) error
	// Now is the present time.
	Now() time.Time
}

// Line is an operator's statement on the wire.
type Line struct {
	Line string `json:"line"`
}

// Row is one row of an answer: the value of each column.
type Row map[string]string

// Result is what an operator is shown.
type Result struct {
	Message string       `json:"message,omitempty"`
	Table   *query.Table `json:"rows,omitempty"`
}

// Run carries out one line for an operator.
func Run(ctx context.Context, env Env, by, line string) (Result, error) {
	statement, err := query.Parse(line)
	if err != nil {
		return Result{}, err
	}
	switch {
	case statement.Select != nil:
		return selectRows(ctx, env, statement.Select)
	case statement.Why != nil:
		return why(ctx, env, statement.Why.Job)
	case statement.Show != nil:
		return selectRows(ctx, env, &query.Select{Table: "instances"})
	case statement.Admit != nil:
		return done(env.Admit(ctx, statement.Admit.Job), "job %s is admitted", statement.Admit.Job)
	case statement.Cancel != nil:
		return done(env.Cancel(ctx, statement.Cancel.Job), "job %s is cancelled", statement.Cancel.Job)
	case statement.Drain != nil:
		return drain(ctx, env, by, line, statement.Drain)
	default:
		return restore(ctx, env, by, line, statement.Restore)
	}
}

func done(err error, format, name string) (Result, error) {
	if err != nil {
		return Result{}, err
	}
	return Result{Message: fmt.Sprintf(format, name)}, nil
}

func selectRows(ctx context.Context, env Env, s *query.Select) (Result, error) {
	var instances []view.Instance
	var snapshot view.Snapshot
	var err error
	if s.Table == "instances" {
		instances = env.Instances(ctx)
	} else if snapshot, err = env.Snapshot(ctx); err != nil {
		return Result{}, err
	}
	table, err := query.Run(s, &snapshot, instances)
	if err != nil {
		return Result{}, err
	}
	return Result{Table: &table}, nil
}

func why(ctx context.Context, env Env, job string) (Result, error) {
	snapshot, err := env.Snapshot(ctx)
	if err != nil {
		return Result{}, err
	}
	var texts []string
	for _, j := range snapshot.Jobs {
		if j.Job != job {
			continue
		}
		switch {
		case j.Phase == "ended":
			return Result{Message: fmt.Sprintf("%s does not wait: it is over (%s)", job, j.Outcome)}, nil
		case j.Why == "":
			return Result{Message: fmt.Sprintf("%s does not wait: it is %s in %s on %s", job, j.Phase, j.DataCentre, strings.Join(j.Workers, " "))}, nil
		}
		texts = append(texts, fmt.Sprintf("%s: %s", j.DataCentre, j.Why))
	}
	if len(texts) == 0 {
		return Result{}, &NoJobError{Job: job}
	}
	return Result{Message: fmt.Sprintf("%s waits.\n  %s", job, strings.Join(texts, "\n  "))}, nil
}

func drain(ctx context.Context, env Env, by, line string, d *query.Drain) (Result, error) {
	within := defaultDrain
	if d.Within != "" {
		parsed, err := time.ParseDuration(d.Within)
		if err != nil || parsed < 0 {
			return Result{}, &DurationError{Value: d.Within}
		}
		within = parsed
	}
	now := env.Now()
	doc, err := env.Apply(ctx, by, line, func(doc *config.Document) error {
		if _, ok := doc.Drained(d.DataCentre); ok {
			return &StateError{DataCentre: d.DataCentre, State: "drained already"}
		}
		doc.Drains = append(doc.Drains, config.Drain{DataCentre: d.DataCentre, Since: now, Deadline: now.Add(within)})
		return nil
	})
	if err != nil {
		return Result{}, err
	}
	return accepted(ctx, env, doc, fmt.Sprintf("%s is drained; what runs there leaves within %s", d.DataCentre, within)), nil
}

func restore(ctx context.Context, env Env, by, line string, r *query.Restore) (Result, error) {
	doc, err := env.Apply(ctx, by, line, func(doc *config.Document) error {
		for i, d := range doc.Drains {
			if d.DataCentre == r.DataCentre {
				doc.Drains = append(doc.Drains[:i:i], doc.Drains[i+1:]...)
				return nil
			}
		}
		return &StateError{DataCentre: r.DataCentre, State: "not drained"}
	})
	if err != nil {
		return Result{}, err
	}
	return accepted(ctx, env, doc, r.DataCentre+" is back in service"), nil
}

// accepted says who has the revision in force.
func accepted(ctx context.Context, env Env, doc *config.Document, message string) Result {
	have, all := 0, 0
	var missing []string
	for _, instance := range env.Instances(ctx) {
		all++
		if instance.Revision >= doc.Revision {
			have++
			continue
		}
		missing = append(missing, instance.Instance)
	}
	message += fmt.Sprintf(" (revision %d, in force on %d of %d instances", doc.Revision, have, all)
	if len(missing) > 0 {
		message += "; not yet on " + strings.Join(missing, ", ")
	}
	return Result{Message: message + ")"}
}

// NoJobError says that no owner and no record knows the job.
type NoJobError struct{ Job string }

// Error names the job.
func (e *NoJobError) Error() string { return fmt.Sprintf("there is no open job %q; try `jobs`", e.Job) }

// DurationError says that a time is not understood.
type DurationError struct{ Value string }

// Error says what is allowed.
func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a time; write it as 90s, 5m or 1h", e.Value)
}

// StateError says that a data centre is in the wrong state for the command.
type StateError struct {
	DataCentre string
	State      string
}

// Error names both.
func (e *StateError) Error() string { return fmt.Sprintf("%s is %s", e.DataCentre, e.State) }
