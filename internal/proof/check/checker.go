package check

import (
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
)

const (
	// drainGrace is how long after a drain a start is still allowed in the data centre.
	drainGrace = 3 * time.Second
	// reclaimGrace is how long a job within its guarantee may wait, besides the longest checkpoint of its victims.
	reclaimGrace = 10 * time.Second
	// leaseGrace is how long after a worker's loss a gang may still be started on it; the loss is known only when its lease
	// has expired.
	leaseGrace = 7 * time.Second
)

// workerState is the checker's view of a worker.
type workerState struct {
	name   string
	rack   string
	centre string
	size   shape.Resources
	used   shape.Resources
	down   bool
	downAt time.Duration
}

// centreState is the checker's view of a data centre.
type centreState struct {
	name      string
	workers   []*workerState
	drained   bool
	drainedAt time.Duration
	down      bool
	closures  int
}

// acceptsStarts reports whether tasks may start in the data centre: it is up, not drained, and has an owner and a permit.
func (s *centreState) acceptsStarts() bool { return !s.drained && !s.down && s.closures == 0 }

// jobState is the checker's view of a job.
type jobState struct {
	submit  *trace.Submit
	running bool
	// checkpointing is true while the job stops with a checkpoint. stopRequester is the job for which it is stopped, if any.
	checkpointing bool
	stopRequester string
	ended         bool
	starts        int
	checkpointed  bool
	workers       []*workerState
	// slot is the index of the guarantee slot that the job holds, or -1.
	slot int
	// placeableSince is the time since which the job has been within its guarantee, waiting and placeable.
	placeableSince    time.Duration
	longestCheckpoint time.Duration
	reported          bool
}

// isWaiting reports whether the job has not ended and holds no capacity.
func (s *jobState) isWaiting() bool { return !s.ended && !s.running }

// workspaceState holds a workspace's guarantee slots, and its jobs in order of submission.
type workspaceState struct {
	allowed map[string]bool
	slots   []guaranteeSlot
	jobs    []*jobState
}

// guaranteeSlot is one guaranteed shape and the job that holds it, or nil.
type guaranteeSlot struct {
	shape shape.Shape
	job   *jobState
}

// Checker checks a log entry by entry and collects the violations.
type Checker struct {
	centres      []*centreState
	centreByName map[string]*centreState
	workers      map[string]*workerState
	workspaces   map[string]*workspaceState
	jobs         map[string]*jobState
	Counts       Counts
	Violations   []Violation
	// Reclaims lists how long jobs within their guarantee waited until each start.
	Reclaims []time.Duration
}

// Run checks a whole log against the trace that was replayed, and returns the checker with its findings.
func Run(t *trace.Trace, log []Entry) *Checker {
	c := &Checker{centreByName: make(map[string]*centreState), workers: make(map[string]*workerState), workspaces: make(map[string]*workspaceState), jobs: make(map[string]*jobState)}
	c.build(&t.Header)
	for _, event := range t.Events {
		if submit, ok := event.(trace.Submit); ok {
			c.jobs[submit.Job] = &jobState{submit: &submit, slot: -1}
		}
	}
	for i, entry := range log {
		c.apply(entry)
		if i+1 == len(log) || log[i+1].At != entry.At {
			c.checkGuarantees(entry.At)
		}
	}
	c.checkLostJobs(log)
	return c
}

func (c *Checker) build(h *trace.Header) {
	for _, spec := range h.DataCentres {
		s := &centreState{name: spec.Name}
		for _, rack := range spec.Racks {
			for n := range rack.Workers {
				w := &workerState{name: fmt.Sprintf("%s/%d", rack.Name, n), rack: rack.Name, centre: spec.Name, size: rack.Resources}
				s.workers = append(s.workers, w)
				c.workers[w.name] = w
			}
		}
		c.centres = append(c.centres, s)
		c.centreByName[s.name] = s
	}
	for _, ws := range h.Workspaces {
		workspace := &workspaceState{allowed: make(map[string]bool)}
		for _, name := range ws.DataCentres {
			workspace.allowed[name] = true
		}
		for _, guarantee := range ws.Guarantees {
			for range guarantee.Count {
				workspace.slots = append(workspace.slots, guaranteeSlot{shape: guarantee.Shape})
			}
		}
		c.workspaces[ws.Name] = workspace
	}
}

func (c *Checker) addViolation(entry Entry, promise Promise, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{Entry: entry, Promise: promise, State: fmt.Sprintf(format, args...)})
	switch promise {
	case PartialGang:
		c.Counts.PartialGang++
	case StartAfterDrain:
		c.Counts.StartAfterDrain++
	case GuaranteeDenied:
		c.Counts.GuaranteeDenied++
	case StartedTwice:
		c.Counts.StartedTwice++
	case OverCommitted:
		c.Counts.OverCommitted++
	case Lost:
		c.Counts.Lost++
	}
}

// apply updates the state by one log entry and records the violations that it shows.
func (c *Checker) apply(e Entry) {
	job := c.jobs[e.Job]
	switch e.Kind {
	case Submitted:
		c.submitted(job, e.At)
	case Refused, Ended:
		c.end(job, e.At)
	case Started:
		c.started(job, e)
	case StopAsked:
		c.stopAsked(job, e)
	case Halted:
		c.halted(job, e)
	case Finished:
		if !job.running || job.ended {
			c.addViolation(e, StartedTwice, "finished while not running")
		}
		c.end(job, e.At)
	case Drained, Restored, CentreDown, CentreUp, Closed, Opened:
		c.centreChanged(e)
	case WorkerDown, WorkerUp:
		w := c.workers[e.Worker]
		w.down, w.downAt = e.Kind == WorkerDown, e.At
	case Left:
	}
}

func (c *Checker) centreChanged(e Entry) {
	s := c.centreByName[e.Centre]
	switch e.Kind {
	case Drained:
		if !s.drained {
			s.drained, s.drainedAt = true, e.At
		}
	case Restored:
		s.drained = false
	case CentreDown:
		s.down = true
	case CentreUp:
		s.down = false
	case Closed:
		s.closures++
	case Opened:
		s.closures--
	}
}

func (c *Checker) submitted(job *jobState, at time.Duration) {
	ws := c.workspaces[job.submit.Workspace]
	job.placeableSince = at
	ws.jobs = append(ws.jobs, job)
	ws.assignSlot(job)
}

// assignSlot gives the job the free guarantee slot with the fewest accelerators that covers its shape, if there is one.
func (ws *workspaceState) assignSlot(job *jobState) {
	best := -1
	for i := range ws.slots {
		s := &ws.slots[i]
		if s.job != nil || !covers(s.shape, job.submit.Shape) {
			continue
		}
		if best < 0 || s.shape.Members*s.shape.Accelerators < ws.slots[best].shape.Members*ws.slots[best].shape.Accelerators {
			best = i
		}
	}
	if best >= 0 {
		ws.slots[best].job = job
		job.slot = best
	}
}

func covers(guaranteed, need shape.Shape) bool {
	return need.Members <= guaranteed.Members && need.Accelerators <= guaranteed.Accelerators && need.Cores <= guaranteed.Cores &&
		need.MemoryGB <= guaranteed.MemoryGB && guaranteed.Within <= need.Within
}

// end closes a job and passes its guarantee slot on to the oldest open job that the slot covers.
func (c *Checker) end(job *jobState, at time.Duration) {
	if job.ended {
		return
	}
	c.release(job)
	job.ended = true
	if job.slot < 0 {
		return
	}
	ws := c.workspaces[job.submit.Workspace]
	freed := &ws.slots[job.slot]
	freed.job, job.slot = nil, -1
	for _, next := range ws.jobs {
		if !next.ended && next.slot < 0 && covers(freed.shape, next.submit.Shape) {
			ws.assignSlot(next)
			next.placeableSince = at
			return
		}
	}
}

// release frees the capacity that the job holds.
func (c *Checker) release(job *jobState) {
	for _, w := range job.workers {
		w.used.Accelerators -= job.submit.Accelerators
		w.used.Cores -= job.submit.Cores
		w.used.MemoryGB -= job.submit.MemoryGB
	}
	job.workers, job.running, job.checkpointing = nil, false, false
}

func (c *Checker) started(job *jobState, e Entry) {
	if job.running || job.ended {
		c.addViolation(e, StartedTwice, "started while running or after its end")
	}
	if job.starts > 0 && !job.submit.Idempotent && !job.checkpointed {
		c.addViolation(e, StartedTwice, "not idempotent, started again without a checkpoint")
	}
	job.starts++
	job.running, job.checkpointed = true, false
	c.occupy(job, e)
	c.checkGang(job, e)
	if job.slot >= 0 {
		c.Reclaims = append(c.Reclaims, e.At-job.placeableSince)
	}
}

func (c *Checker) occupy(job *jobState, e Entry) {
	for _, name := range e.Workers {
		w := c.workers[name]
		job.workers = append(job.workers, w)
		w.used.Accelerators += job.submit.Accelerators
		w.used.Cores += job.submit.Cores
		w.used.MemoryGB += job.submit.MemoryGB
		if w.used.Accelerators > w.size.Accelerators || w.used.Cores > w.size.Cores || w.used.MemoryGB > w.size.MemoryGB {
			c.addViolation(e, OverCommitted, "worker %s uses %+v of %+v", name, w.used, w.size)
		}
	}
}

// checkGang checks that all members are present, near enough to each other, on live workers and not in a drained data
// centre.
func (c *Checker) checkGang(job *jobState, e Entry) {
	if len(job.workers) != job.submit.Members {
		c.addViolation(e, PartialGang, "%d of %d members", len(job.workers), job.submit.Members)
		return
	}
	first := job.workers[0]
	for _, w := range job.workers {
		tooFar := w.centre != first.centre
		tooFar = tooFar || (job.submit.Within == shape.Rack && w.rack != first.rack)
		tooFar = tooFar || (job.submit.Within == shape.Worker && w != first)
		if tooFar {
			c.addViolation(e, PartialGang, "%s and %s are not within one %s", first.name, w.name, job.submit.Within)
		}
		if w.down && e.At > w.downAt+leaseGrace {
			c.addViolation(e, PartialGang, "worker %s has been down since %s", w.name, w.downAt)
		}
	}
	s := c.centreByName[first.centre]
	if s.drained && e.At > s.drainedAt+drainGrace {
		c.addViolation(e, StartAfterDrain, "%s was drained at %s", s.name, s.drainedAt)
	}
}

func (c *Checker) stopAsked(job *jobState, e Entry) {
	if requester := c.jobs[e.Requester]; requester != nil && e.Checkpoint {
		requester.longestCheckpoint = max(requester.longestCheckpoint, job.submit.CheckpointTakes.Duration)
	}
	job.checkpointing, job.stopRequester = e.Checkpoint, e.Requester
}

func (c *Checker) halted(job *jobState, e Entry) {
	if job.ended {
		return
	}
	c.release(job)
	job.checkpointed = e.Checkpoint
	job.placeableSince = e.At
	job.longestCheckpoint = 0
}

// checkLostJobs reports jobs that were accepted but have neither ended nor are running or waiting at the end of the log.
func (c *Checker) checkLostJobs(log []Entry) {
	left := make(map[string]bool)
	for _, e := range log {
		if e.Kind == Left {
			left[e.Job] = true
		}
	}
	var end time.Duration
	if len(log) > 0 {
		end = log[len(log)-1].At
	}
	for _, ws := range c.workspaces {
		for _, job := range ws.jobs {
			if !job.ended && !left[job.submit.Job] {
				c.addViolation(Entry{At: end, Job: job.submit.Job}, Lost, "accepted, but neither ended nor running nor waiting at the end of the log")
			}
		}
	}
}
