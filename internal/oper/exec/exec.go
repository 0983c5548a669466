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

// defaultDrainTimeout is how long jobs may keep running in a drained data centre if the statement has no "within".
const defaultDrainTimeout = 60 * time.Second

// System is the interface to the running system that statements query and change.
type System interface {
	// Snapshot merges the jobs, workers, data centres and guarantees that all owners report.
	Snapshot(ctx context.Context) (view.Snapshot, error)
	// Instances requests the state of every entry instance; instances that do not answer have a row too.
	Instances(ctx context.Context) []view.Instance
	// Apply edits the configuration and returns the new document.
	Apply(ctx context.Context, by, command string, edit config.Edit) (*config.Document, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, job string) error
	// Admit adds a held job to the queue.
	Admit(ctx context.Context, job string) error
	// Now returns the current time.
	Now() time.Time
}

// Request is the JSON request body that carries one statement.
type Request struct {
	Statement string `json:"line"`
}

// Row maps the column names of an answer to the values of one row.
type Row map[string]string

// Result is the answer to a statement: a message or a table.
type Result struct {
	Message string       `json:"message,omitempty"`
	Table   *query.Table `json:"rows,omitempty"`
}

// Run parses and executes one statement; by is recorded as the author of a configuration change.
func Run(ctx context.Context, system System, by, line string) (Result, error) {
	statement, err := query.Parse(line)
	if err != nil {
		return Result{}, err
	}
	switch {
	case statement.Select != nil:
		return selectRows(ctx, system, statement.Select)
	case statement.Why != nil:
		return why(ctx, system, statement.Why.Job)
	case statement.Show != nil:
		return selectRows(ctx, system, &query.Select{Table: "instances"})
	case statement.Admit != nil:
		return confirmation(system.Admit(ctx, statement.Admit.Job), "job %s is admitted", statement.Admit.Job)
	case statement.Cancel != nil:
		return confirmation(system.Cancel(ctx, statement.Cancel.Job), "job %s is cancelled", statement.Cancel.Job)
	case statement.Drain != nil:
		return drain(ctx, system, by, line, statement.Drain)
	default:
		return restore(ctx, system, by, line, statement.Restore)
	}
}

func confirmation(err error, format, name string) (Result, error) {
	if err != nil {
		return Result{}, err
	}
	return Result{Message: fmt.Sprintf(format, name)}, nil
}

func selectRows(ctx context.Context, system System, s *query.Select) (Result, error) {
	var instances []view.Instance
	var snapshot view.Snapshot
	var err error
	if s.Table == "instances" {
		instances = system.Instances(ctx)
	} else if snapshot, err = system.Snapshot(ctx); err != nil {
		return Result{}, err
	}
	table, err := query.Run(s, &snapshot, instances)
	if err != nil {
		return Result{}, err
	}
	return Result{Table: &table}, nil
}

func why(ctx context.Context, system System, job string) (Result, error) {
	snapshot, err := system.Snapshot(ctx)
	if err != nil {
		return Result{}, err
	}
	var reasons []string
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
		reasons = append(reasons, fmt.Sprintf("%s: %s", j.DataCentre, j.Why))
	}
	if len(reasons) == 0 {
		return Result{}, &JobNotFoundError{Job: job}
	}
	return Result{Message: fmt.Sprintf("%s waits.\n  %s", job, strings.Join(reasons, "\n  "))}, nil
}

func drain(ctx context.Context, system System, by, line string, d *query.Drain) (Result, error) {
	timeout := defaultDrainTimeout
	if d.Within != "" {
		parsed, err := time.ParseDuration(d.Within)
		if err != nil || parsed < 0 {
			return Result{}, &DurationError{Value: d.Within}
		}
		timeout = parsed
	}
	now := system.Now()
	doc, err := system.Apply(ctx, by, line, func(doc *config.Document) error {
		if _, ok := doc.Drained(d.DataCentre); ok {
			return &StateError{DataCentre: d.DataCentre, State: "drained already"}
		}
		doc.Drains = append(doc.Drains, config.Drain{DataCentre: d.DataCentre, Since: now, Deadline: now.Add(timeout)})
		return nil
	})
	if err != nil {
		return Result{}, err
	}
	return rolloutResult(ctx, system, doc, fmt.Sprintf("%s is drained; what runs there leaves within %s", d.DataCentre, timeout)), nil
}

func restore(ctx context.Context, system System, by, line string, r *query.Restore) (Result, error) {
	doc, err := system.Apply(ctx, by, line, func(doc *config.Document) error {
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
	return rolloutResult(ctx, system, doc, r.DataCentre+" is back in service"), nil
}

// rolloutResult appends to the message on how many instances the document's revision is active, and which instances do not
// have it yet.
func rolloutResult(ctx context.Context, system System, doc *config.Document, message string) Result {
	active, total := 0, 0
	var missing []string
	for _, instance := range system.Instances(ctx) {
		total++
		if instance.Revision >= doc.Revision {
			active++
			continue
		}
		missing = append(missing, instance.Instance)
	}
	message += fmt.Sprintf(" (revision %d, in force on %d of %d instances", doc.Revision, active, total)
	if len(missing) > 0 {
		message += "; not yet on " + strings.Join(missing, ", ")
	}
	return Result{Message: message + ")"}
}

// JobNotFoundError reports that neither an owner nor a stored record has the job.
type JobNotFoundError struct{ Job string }

// Error names the job and the statement that lists jobs.
func (e *JobNotFoundError) Error() string {
	return fmt.Sprintf("there is no open job %q; try `jobs`", e.Job)
}

// DurationError reports a duration that is negative or cannot be parsed.
type DurationError struct{ Value string }

// Error returns the value with examples of valid durations.
func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a time; write it as 90s, 5m or 1h", e.Value)
}

// StateError reports that the state of a data centre does not allow the statement.
type StateError struct {
	DataCentre string
	State      string
}

// Error names the data centre and its state.
func (e *StateError) Error() string { return fmt.Sprintf("%s is %s", e.DataCentre, e.State) }
