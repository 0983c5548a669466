package losses

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/oper/logs"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Timeline is the course of one job, as far as the logs tell it; times that they don't tell are zero.
type Timeline struct {
	Job        string
	Queue      string
	Workspace  string
	DataCentre string
	// Stretch and Target give the objective: Stretch times the longest chain of work, plus Target.
	Stretch float64
	Target  time.Duration
	Steps   []work.Step
	Repeat  *work.Repeat
	// Phase is the final phase, or empty.
	Phase    string
	Received time.Time
	Accepted time.Time
	Seen     time.Time
	Ended    time.Time
	Recorded time.Time
	Shown    time.Time
	// Refusals are the replies to the job's caller that were neither an acceptance nor a fault of the request.
	Refusals []Refusal

	waits  []wait
	groups map[string]*taskGroup
}

// Refusal is a reply that sent the caller away.
type Refusal struct {
	At    time.Time
	Cause Cause
	Why   string
}

// wait is the cause that the owner gave for a wait from then on.
type wait struct {
	at    time.Time
	cause Cause
}

// taskGroup is a gang, or a single task, with its attempts.
type taskGroup struct {
	occurrence int
	step       int
	attempts   []*attempt
}

// attempt is one run of a task group.
type attempt struct {
	run int
	// worker is that of one of the members.
	worker  string
	placed  time.Time
	started time.Time
	// stopped is when the run was ordered to stop, and ended when it was known to have ended.
	stopped time.Time
	ended   time.Time
	done    bool
	failed  bool
	// overdue is how much later the end was known than expected, speed that of the slowest worker; zero if unknown.
	overdue time.Duration
	speed   float64
	// cause is why the run ended without success.
	cause       Cause
	coreSeconds float64
}

// taskOf splits the name of a task into occurrence, step and index.
func taskOf(name string) (occurrence, step, index int, ok bool) {
	_, rest, found := strings.Cut(name, ".")
	if !found {
		return 0, 0, 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &step, &index); err != nil {
		return 0, 0, 0, false
	}
	return occurrence, step, index, true
}

// group returns the task group of a task, which is created if it is new.
func (t *Timeline) group(task string) *taskGroup {
	occurrence, step, index, ok := taskOf(task)
	if !ok {
		return nil
	}
	if step < len(t.Steps) && t.Steps[step].Gang {
		index = 0
	}
	key := fmt.Sprintf("%d.%d.%d", occurrence, step, index)
	g := t.groups[key]
	if g == nil {
		g = &taskGroup{occurrence: occurrence, step: step}
		t.groups[key] = g
	}
	return g
}

// attempt returns the run with the number, which is created if it is new.
func (g *taskGroup) attempt(run int) *attempt {
	for _, a := range g.attempts {
		if a.run == run {
			return a
		}
	}
	a := &attempt{run: run}
	g.attempts = append(g.attempts, a)
	return a
}

// admitted applies a reply to the job's submission.
func (t *Timeline) admitted(line *logs.Line) {
	if from := line.Time.Add(-line.Duration("took")); t.Received.IsZero() || from.Before(t.Received) {
		t.Received = from
	}
	switch line.Text("result") {
	case "oK":
		t.Accepted = earliest(t.Accepted, line.Time)
	case "refused", "unknown":
		t.Refusals = append(t.Refusals, Refusal{At: line.Time, Cause: StoreAway, Why: line.Text("why")})
	}
}

// seen applies the line of an owner that has loaded the job.
func (t *Timeline) seen(line *logs.Line) error {
	t.Seen = earliest(t.Seen, line.Time)
	if t.Accepted.IsZero() {
		t.Accepted = line.Time.Add(-line.Duration("age"))
	}
	if t.Received.IsZero() {
		t.Received = t.Accepted
	}
	if phase, err := work.PhaseString(line.Text("phase")); err == nil && phase.Final() && t.Phase == "" {
		// The line of the owner that saw the end is missing, as its process was killed.
		t.Phase, t.Ended = phase.String(), line.Time
	}
	t.Queue, t.Workspace = line.Text("queue"), line.Text("workspace")
	t.Stretch, t.Target = line.Number("stretch"), line.Duration("target")
	if err := decode(line.Fields["steps"], &t.Steps); err != nil {
		return err
	}
	return decode(line.Fields["repeat"], &t.Repeat)
}

// decode converts a decoded JSON value to the type of into.
func decode(value, into any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// started applies the answer to a start order.
func (t *Timeline) started(line *logs.Line) {
	if g := t.group(line.Text("task")); g != nil && line.Text("outcome") == "started" {
		a := g.attempt(int(line.Number("run")))
		a.started = latest(a.started, line.Time)
	}
}

// stopCauses maps the causes of stops to those of losses.
var stopCauses = map[group.Cause]Cause{
	group.Preempted: Preempted, group.Cancel: ClientGone, group.JobFinished: RunFailed, group.MemberEnded: RunFailed,
	group.StartUnanswered: WorkerSilent, group.WorkerLeaving: WorkerSilent, group.OutlastsWorker: EstimateWrong,
	group.NoProgress: WorkerSilent, group.SlowWorker: WorkerSilent, group.WorkerChanged: FleetFull,
}

// waitCauses maps the causes of waits to those of losses.
var waitCauses = map[group.Cause]Cause{
	group.FleetFull: FleetFull, group.RoomReserved: RoomReserved, group.Scattered: Scattered, group.StopAwaited: StopAwaited,
}

// changed applies a decision of the owner.
func (t *Timeline) changed(line *logs.Line) {
	cause, err := group.CauseString(line.Text("cause"))
	if err != nil {
		// Decisions without a cause leave the field out.
		cause = group.NoCause
	}
	kind, err := group.DecisionKindString(line.Text("what"))
	if err != nil {
		return
	}
	run, discarded := int(line.Number("run")), line.Number("coreSeconds")
	g := t.group(line.Text("task"))
	switch {
	case kind == group.JobOver:
		phase, _, _ := strings.Cut(line.Text("why"), ":")
		t.Phase, t.Ended = phase, earliest(t.Ended, line.Time)
	case kind == group.JobWaits:
		t.waits = append(t.waits, wait{at: line.Time, cause: waitCauses[cause]})
	case g == nil:
	case kind == group.RunPlaced:
		a := g.attempt(run)
		a.placed, a.worker = line.Time, line.Text("worker")
	case kind == group.RunStopped:
		a := g.attempt(run)
		a.stopped, a.coreSeconds = line.Time, a.coreSeconds+discarded
		if a.ended.IsZero() {
			a.cause = stopCauses[cause]
		}
	case kind == group.RunBroken:
		g.attempt(run).broken(line, discarded)
	case kind == group.RunDone:
		g.attempt(run).succeeded(line)
	}
}

// succeeded applies the first line about the run's end; a new owner logs it again if it was not recorded.
func (a *attempt) succeeded(line *logs.Line) {
	if a.done {
		return
	}
	a.done, a.ended, a.worker = true, line.Time, line.Text("worker")
	a.overdue, a.speed = line.Duration("overdue"), line.Number("speed")
}

// broken applies the end of a member without success; the first one gives the cause.
func (a *attempt) broken(line *logs.Line, coreSeconds float64) {
	if a.stopped.IsZero() {
		a.coreSeconds += coreSeconds
	}
	if !a.ended.IsZero() || !a.stopped.IsZero() {
		return
	}
	a.ended, a.worker = line.Time, line.Text("worker")
	switch line.Text("why") {
	case group.Failed.String(), group.Broken.String():
		a.failed, a.cause = true, RunFailed
	default:
		a.cause = WorkerSilent
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
