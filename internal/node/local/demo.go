package local

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

const (
	// quickCount is the number of quick requests that the demonstration sends.
	quickCount = 70
	// pollInterval is the time between checks of a step's condition.
	pollInterval = 50 * time.Millisecond
	// stepTimeout bounds the wait for a step's condition.
	stepTimeout = 12 * time.Second
	// borrowerCount is the number of jobs beyond any guarantee that fill the fleet.
	borrowerCount = 12
)

// StepError reports which step of the demonstration failed.
type StepError struct {
	Step    string
	Problem string
}

// Error names the step and the problem.
func (e *StepError) Error() string { return fmt.Sprintf("%s: %s", e.Step, e.Problem) }

// demo runs the steps of the demonstration on a cluster.
type demo struct {
	cluster    *Cluster
	out        io.Writer
	now        func() time.Time
	stepNumber int
}

// step is one step of the demonstration; run returns the result to print.
type step struct {
	title string
	run   func(ctx context.Context) (string, error)
}

// RunDemo runs the demonstration and prints the result of each step; it ends with a StepError at the first step that fails.
func RunDemo(ctx context.Context, c *Cluster, out io.Writer, now func() time.Time) error {
	d := &demo{cluster: c, out: out, now: now}
	for _, s := range []step{
		{"Seven instances start; one in each data centre acquires the owner lease", d.startUp},
		{"Quick requests are answered while the callers wait", d.quick},
		{"A gang of 4 workers runs completely, on one rack", d.gang},
		{"The lab borrows all free capacity", d.borrow},
		{"The recount reclaims its guaranteed capacity from the borrowers", d.reclaim},
		{"The reason for which a job waits is shown", d.why},
		{"A data centre is drained: its jobs stop and none starts there", d.drain},
		{"The data centre is restored and runs jobs again", d.restore},
		{"The owner of a data centre is lost; another instance takes over", d.loseOwner},
		{"A new workspace is configured and active on every instance", d.configure},
	} {
		d.stepNumber++
		began := now()
		detail, err := s.run(ctx)
		if err != nil {
			_, _ = fmt.Fprintf(out, "%2d. FAILED  %s\n    %v\n", d.stepNumber, s.title, err)
			return &StepError{Step: s.title, Problem: err.Error()}
		}
		_, _ = fmt.Fprintf(out, "%2d. ok  %s (%s)\n    %s\n", d.stepNumber, s.title, now().Sub(began).Round(10*time.Millisecond), detail)
	}
	return nil
}

// waitUntil waits for the condition; after stepTimeout it returns a StepError with the condition's last status.
func (d *demo) waitUntil(ctx context.Context, condition func() (bool, string)) error {
	limit, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, status := condition()
		if ok {
			return nil
		}
		select {
		case <-limit.Done():
			return &StepError{Step: "waited " + stepTimeout.String(), Problem: status}
		case <-ticker.C:
		}
	}
}

func (d *demo) instance(i int) *Instance {
	nodes := d.cluster.Instances()
	return nodes[i%len(nodes)]
}

func (d *demo) startUp(ctx context.Context) (string, error) {
	want := len(d.cluster.Instances())
	owners, ready := 0, 0
	err := d.waitUntil(ctx, func() (bool, string) {
		owners, ready = 0, 0
		answer, err := d.instance(0).Client.Execute("instances")
		if err != nil {
			return false, err.Error()
		}
		for _, row := range answer.Rows {
			if row["owner"] == "true" {
				owners++
			}
			if row["revision"] != "0" {
				ready++
			}
		}
		return owners == len(dataCentres) && ready == want, fmt.Sprintf("%d owners, %d of %d instances have the configuration", owners, ready, want)
	})
	return fmt.Sprintf("%d instances have the configuration; %d data centres have an owner", ready, owners), err
}

func (d *demo) quick(context.Context) (string, error) {
	var took time.Duration
	for i := range quickCount {
		id := fmt.Sprintf("tour-%d", i)
		body := fmt.Sprintf("price of order %d", i)
		began := d.now()
		answer, err := d.instance(i).Client.Quick("/price", id, []byte(body))
		if err != nil {
			return "", err
		}
		took = max(took, d.now().Sub(began))
		if want := "answer to " + id + ": " + body; answer != want {
			return "", &StepError{Step: id, Problem: fmt.Sprintf("got %q, wanted %q", answer, want)}
		}
	}
	return fmt.Sprintf("%d callers got the complete answer to their request; the slowest waited %s", quickCount, took.Round(time.Microsecond)), nil
}

func gangOf(workspace, name string, members int, runs time.Duration) queue.Spec {
	return queue.Spec{
		Job: name, Workspace: workspace, Class: queue.Batch, Idempotent: true,
		Shape:    shape.Shape{Members: members, Resources: resourcesFor(acceleratorsPerWorker), Within: shape.Rack},
		Declared: span.Of(runs), CheckpointEvery: span.Of(time.Second), CheckpointTakes: span.Of(300 * time.Millisecond), Payload: runs.String(),
	}
}

// waitForPhase waits until the job is in the phase and returns its data centre and workers.
func (d *demo) waitForPhase(ctx context.Context, job string, want queue.Phase) (dataCentre, workers string, err error) {
	err = d.waitUntil(ctx, func() (bool, string) {
		answer, err := d.instance(0).Client.Execute(fmt.Sprintf("jobs where job = %q", job))
		if err != nil {
			return false, err.Error()
		}
		if len(answer.Rows) == 0 {
			return false, job + " is not listed"
		}
		row := answer.Rows[0]
		dataCentre, workers = row["dataCentre"], row["workers"]
		return row["phase"] == want.String(), fmt.Sprintf("%s is %s: %s", job, row["phase"], row["why"])
	})
	return dataCentre, workers, err
}

func (d *demo) gang(ctx context.Context) (string, error) {
	if _, err := d.instance(1).Client.Submit(gangOf("recount", "recount-1", 4, time.Second)); err != nil {
		return "", err
	}
	centre, workers, err := d.waitForPhase(ctx, "recount-1", queue.Running)
	if err != nil {
		return "", err
	}
	var result string
	err = d.waitUntil(ctx, func() (bool, string) {
		record, err := d.instance(2).Client.Job("recount-1")
		if err != nil {
			return false, err.Error()
		}
		result = record.Outcome.String()
		return record.Outcome == queue.Finished, "outcome is " + result
	})
	return fmt.Sprintf("recount-1 ran in %s on %s and is recorded as %s", centre, workers, result), err
}

func (d *demo) borrow(ctx context.Context) (string, error) {
	for i := range borrowerCount {
		if _, err := d.instance(i).Client.Submit(gangOf("lab", fmt.Sprintf("lab-%d", i), 4, time.Hour)); err != nil {
			return "", err
		}
	}
	free := ""
	err := d.waitUntil(ctx, func() (bool, string) {
		answer, err := d.instance(0).Client.Execute("workers where free > 0")
		if err != nil {
			return false, err.Error()
		}
		free = fmt.Sprintf("%d workers have free accelerators", len(answer.Rows))
		return len(answer.Rows) == 0, free
	})
	return fmt.Sprintf("%d lab gangs fill all 48 workers; %s", borrowerCount, free), err
}

func (d *demo) reclaim(ctx context.Context) (string, error) {
	began := d.now()
	if _, err := d.instance(0).Client.Submit(gangOf("recount", "recount-2", 4, 20*time.Minute)); err != nil {
		return "", err
	}
	centre, _, err := d.waitForPhase(ctx, "recount-2", queue.Running)
	return fmt.Sprintf("recount-2 started in %s %s after it was submitted to a full fleet", centre, d.now().Sub(began).Round(10*time.Millisecond)), err
}

func (d *demo) why(ctx context.Context) (string, error) {
	explanation := ""
	err := d.waitUntil(ctx, func() (bool, string) {
		waiting, err := d.instance(0).Client.Execute("jobs where workspace = lab and phase = waiting limit 1")
		if err != nil {
			return false, err.Error()
		}
		if len(waiting.Rows) == 0 {
			return false, "no lab job waits"
		}
		answer, err := d.instance(0).Client.Execute("why " + waiting.Rows[0]["job"])
		if err != nil {
			return false, err.Error()
		}
		explanation = strings.ReplaceAll(answer.Message, "\n", "")
		return strings.Contains(explanation, "needs 4 ×"), explanation
	})
	return explanation, err
}

func (d *demo) drain(ctx context.Context) (string, error) {
	answer, err := d.instance(0).Client.Execute("drain haskovo within 3s")
	if err != nil {
		return "", err
	}
	return answer.Message, d.waitForJobs(ctx, "haskovo", false)
}

func (d *demo) restore(ctx context.Context) (string, error) {
	answer, err := d.instance(1).Client.Execute("restore haskovo")
	if err != nil {
		return "", err
	}
	return answer.Message, d.waitForJobs(ctx, "haskovo", true)
}

// waitForJobs waits until some worker of the data centre has jobs, or, if want is false, until none has.
func (d *demo) waitForJobs(ctx context.Context, centre string, want bool) error {
	return d.waitUntil(ctx, func() (bool, string) {
		answer, err := d.instance(0).Client.Execute("workers in " + centre + " where jobs != \"\"")
		if err != nil {
			return false, err.Error()
		}
		return (len(answer.Rows) > 0) == want, fmt.Sprintf("%d workers of %s have jobs", len(answer.Rows), centre)
	})
}

func (d *demo) loseOwner(ctx context.Context) (string, error) {
	var oldOwner *Instance
	for _, node := range d.cluster.Instances() {
		if node.DataCentre == "plovdiv" && node.Daemon.IsOwner() {
			oldOwner = node
		}
	}
	if oldOwner == nil {
		return "", &StepError{Step: "plovdiv", Problem: "it has no owner"}
	}
	before, err := d.running("plovdiv")
	if err != nil {
		return "", err
	}
	began := d.now()
	d.cluster.Remove(oldOwner, true)
	owner := ""
	err = d.waitUntil(ctx, func() (bool, string) {
		answer, err := d.instance(0).Client.Execute("centres where dataCentre = plovdiv")
		if err != nil || len(answer.Rows) == 0 {
			return false, "no answer"
		}
		owner = answer.Rows[0]["owner"]
		after, err := d.running("plovdiv")
		if err != nil {
			return false, err.Error()
		}
		return owner != "" && owner != oldOwner.Name && after == before, fmt.Sprintf("owner %q, running %q, before %q", owner, after, before)
	})
	return fmt.Sprintf("%s is lost; %s is the owner after %s, and the same jobs keep running", oldOwner.Name, owner, d.now().Sub(began).Round(10*time.Millisecond)), err
}

func (d *demo) running(centre string) (string, error) {
	answer, err := d.instance(0).Client.Execute("jobs in " + centre + " where phase = running order by job")
	if err != nil {
		return "", err
	}
	var names []string
	for _, row := range answer.Rows {
		names = append(names, row["job"]+"#"+row["attempt"])
	}
	return strings.Join(names, " "), nil
}

func (d *demo) configure(ctx context.Context) (string, error) {
	doc, err := d.instance(0).Client.Config()
	if err != nil {
		return "", err
	}
	doc.Workspaces = append(doc.Workspaces, guard.Workspace{Name: "audit"})
	source, err := encode(doc)
	if err != nil {
		return "", err
	}
	answer, err := d.instance(1).Client.Apply(source)
	if err != nil {
		return "", err
	}
	count := 0
	err = d.waitUntil(ctx, func() (bool, string) {
		count = 0
		rows, err := d.instance(2).Client.Execute(fmt.Sprintf("instances where revision > %d", doc.Revision))
		if err != nil {
			return false, err.Error()
		}
		count = len(rows.Rows)
		return count == len(d.cluster.Instances()), fmt.Sprintf("active on %d instances", count)
	})
	return fmt.Sprintf("%s; active on all %d instances", answer, count), err
}
