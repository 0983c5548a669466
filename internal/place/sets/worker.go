package sets

import (
	"slices"
	"time"
)

// WorkerInfo is what the instance list says about a worker.
type WorkerInfo struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Room
	// Draining means that the worker leaves; nothing new may start on it.
	Draining bool
	// LeavesIn is the least time until a draining worker ends what runs on it; zero if it is not known.
	LeavesIn time.Duration
	// Born is when this life of the worker began, in milliseconds of Unix time; zero if it is not known.
	Born int64
}

// runKey names one start of one task.
type runKey struct {
	task string
	run  int
}

// Worker is one worker and what the owner believes about it.
type Worker struct {
	WorkerInfo
	// Present is false once the worker is no longer listed.
	Present bool
	// Used is the room of all members that may be alive on the worker.
	Used Room
	// HeardAt is when the worker last answered.
	HeardAt time.Time
	// doubtedAt is when an order to the worker, or to its data centre, had no answer.
	doubtedAt time.Time
	// LeaseEnds is when everything on the worker has certainly been killed, unless its lease is renewed.
	LeaseEnds time.Time
	// prolonged is until when tasks may live as another instance may prolong their leases on the owner's behalf.
	prolonged prolonged
	// AvoidUntil is when the worker gets new work again after trouble.
	AvoidUntil time.Time
	// leavesAt is when a draining worker will soonest end what runs on it; zero if that is not known.
	leavesAt time.Time
	// Processed is the number of the last end that was taken in.
	Processed int64
	// unsettled are the ends taken in whose records may not be durable yet, in their order; settled is the last number that
	// was handed out as settled.
	unsettled []settling
	settled   int64

	members map[runKey]*Member
	// strangers are runs that the worker listed and the ledger does not know as alive.
	strangers map[runKey]bool
	// voids are runs that were given up while their start had no answer; each needs a stop that the worker has acknowledged.
	voids map[runKey]bool
	// claimed is the room set aside for sets that wait for others to stop, kept that for gangs that wait for others to end;
	// quick jobs don't mind the latter.
	claimed Room
	kept    Room
	// faults are distinct sets that failed here since the last success.
	faults []*Set
	// speed is how fast the worker is against the others, one on average.
	speed float64

	// rack has the workers beside this one; place is where the worker comes when all are listed rack by rack.
	rack  *rack
	place int
	// stock lists the worker at level and index while it is open; nil if it is not.
	stock *stock
	level int
	index int
	// open is true if new tasks may be placed here in the decision that is under way.
	open bool
	// at is the worker's place in the search for room that is under way, one for the first; zero if it has none.
	at int
	// inOrder caches the members in a fixed order until one comes or goes.
	inOrder []*Member
}

// newWorker returns a worker on which an earlier owner may have left a lease until leaseEnds.
func newWorker(info WorkerInfo, leaseEnds time.Time) *Worker {
	return &Worker{
		WorkerInfo: info, Present: true, speed: 1, LeaseEnds: leaseEnds,
		members: make(map[runKey]*Member), strangers: make(map[runKey]bool), voids: make(map[runKey]bool),
	}
}

// freeFor is what nobody uses or has claimed against the set; room that is kept for gangs binds neither quick jobs nor work
// that lasts.
func (w *Worker) freeFor(s *Set) Room {
	free := w.Capacity.Sub(w.Used).Sub(w.claimed)
	if s.Job.rules.Priority == 0 || s.step().Lasts {
		return free
	}
	return free.Sub(w.kept)
}

// overfull reports whether the members that may be alive need more than the worker has.
func (w *Worker) overfull() bool { return w.Capacity.Sub(w.Used).overdrawn() }

// Busy reports whether anything may be alive on the worker.
func (w *Worker) Busy() bool { return len(w.members) > 0 || len(w.strangers) > 0 }

// has reports whether the worker carries the label; an empty one is always there.
func (w *Worker) has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// usable reports whether new tasks may be placed on the worker now.
func (e *Engine) usable(w *Worker, now time.Time) bool {
	switch {
	case !w.Present || w.Draining || e.evacuated[w.DataCentre]:
		return false
	case now.Sub(w.HeardAt) > e.cfg.HeardWithin || w.HeardAt.IsZero() || w.doubted():
		return false
	case len(w.strangers) > 0 || len(w.voids) > 0:
		return false
	default:
		return !now.Before(w.AvoidUntil)
	}
}

// doubted reports whether the worker has not answered since an order had no answer.
func (w *Worker) doubted() bool { return w.doubtedAt.After(w.HeardAt) }

// Doubt keeps new tasks off the worker's whole data centre until its workers answer again, and lists these workers.
//
// An order without an answer is most often the first sign that a data centre is cut off.
func (e *Engine) Doubt(id string, now time.Time) []string {
	w := e.workers[id]
	if w == nil || now.Sub(w.doubtedAt) < e.cfg.DoubtAgain {
		return nil
	}
	var ids []string
	for _, other := range e.order {
		if other.DataCentre == w.DataCentre && other.Present {
			other.doubtedAt = now
			ids = append(ids, other.ID)
		}
	}
	return ids
}

// SetWorkers replaces the list of workers; one that is missing is kept while anything may be alive on it.
func (e *Engine) SetWorkers(list []WorkerInfo, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		w := e.workers[info.ID]
		if w == nil {
			w = newWorker(info, now.Add(e.cfg.InheritedLease))
			w.noteLeaving(now)
			e.addWorker(w)
			continue
		}
		if info.Born != 0 && w.Born != 0 && info.Born != w.Born {
			e.reborn(w, info.Born, now)
		}
		if info.Born == 0 {
			info.Born = w.Born
		}
		e.regroup = e.regroup || w.Rack != info.Rack
		w.WorkerInfo, w.Present = info, true
		w.noteLeaving(now)
	}
	for id, w := range e.workers {
		if listed[id] {
			continue
		}
		w.Present = false
		if !w.Busy() {
			delete(e.workers, id)
			// Claims on it are given up with the next decision.
			w.open, w.stock = false, nil
			e.regroup = true
			e.order = slices.DeleteFunc(e.order, func(o *Worker) bool { return o == w })
		}
	}
}

// noteLeaving works out when the worker ends. An entry of the list may be older than the one before would say by now, so the
// earliest time counts.
func (w *Worker) noteLeaving(now time.Time) {
	if !w.Draining || w.LeavesIn == 0 {
		w.leavesAt = time.Time{}
		return
	}
	if at := now.Add(w.LeavesIn); w.leavesAt.IsZero() || at.Before(w.leavesAt) {
		w.leavesAt = at
	}
}

func (e *Engine) addWorker(w *Worker) {
	e.workers[w.ID] = w
	e.regroup = true
	at, _ := slices.BinarySearchFunc(e.order, w.ID, func(o *Worker, id string) int {
		switch {
		case o.ID < id:
			return -1
		case o.ID > id:
			return 1
		default:
			return 0
		}
	})
	e.order = slices.Insert(e.order, at, w)
}

// reborn ends all that ran in the worker's earlier life.
func (e *Engine) reborn(w *Worker, born int64, now time.Time) {
	w.Born, w.Processed, w.speed = born, 0, 1
	w.unsettled, w.settled = nil, 0
	clear(w.strangers)
	clear(w.voids)
	for _, m := range w.sorted() {
		if m.State != Planned && m.born != born {
			e.endMember(m, Lost, "", now)
		}
	}
}

// sorted returns the members in a fixed order, so that decisions repeat; the slice stays as it is when members come or go.
func (w *Worker) sorted() []*Member {
	if len(w.inOrder) == len(w.members) {
		return w.inOrder
	}
	list := make([]*Member, 0, len(w.members))
	for _, m := range w.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *Member) int {
		if a.task != b.task {
			if a.task < b.task {
				return -1
			}
			return 1
		}
		return a.Run.Number - b.Run.Number
	})
	w.inOrder = list
	return list
}

// Worker returns the worker of that ID, or nil.
func (e *Engine) Worker(id string) *Worker { return e.workers[id] }

// Workers returns all workers in the order of their IDs; the slice is the engine's own.
func (e *Engine) Workers() []*Worker { return e.order }

// Renewed notes that a lease renewal was sent to the worker, so what runs there may live until ends.
func (e *Engine) Renewed(id string, ends time.Time) {
	if w := e.workers[id]; w != nil {
		w.LeaseEnds = latest(w.LeaseEnds, ends)
	}
}

// prolonged is the times that follow from other instances' permissions: until from the one that was asked last, others from
// those before it, which nobody can call back any more.
type prolonged struct {
	by     string
	until  time.Time
	others time.Time
}

// MayProlong notes that the instance may prolong the worker's leases, so that what runs there may live until ends.
func (e *Engine) MayProlong(id, by string, ends time.Time) {
	w := e.workers[id]
	if w == nil {
		return
	}
	p := &w.prolonged
	if p.by != by {
		p.by, p.until, p.others = by, time.Time{}, latest(p.others, p.until)
	}
	p.until = latest(p.until, ends)
}

// ProlongsNoLonger notes that the instance prolongs the worker's leases no longer; what it has prolonged lives until ends at most.
func (e *Engine) ProlongsNoLonger(id, by string, ends time.Time) {
	if w := e.workers[id]; w != nil && w.prolonged.by == by {
		w.prolonged.until = ends
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lapsed reports whether everything on the worker has certainly been killed.
func (w *Worker) lapsed(now time.Time) bool {
	return now.After(w.LeaseEnds) && now.After(w.prolonged.until) && now.After(w.prolonged.others)
}

// NeedsStop reports whether the run may be alive on the worker, or may still come alive.
func (w *Worker) NeedsStop(task string, run int) bool {
	key := runKey{task, run}
	return w.members[key] != nil || w.strangers[key] || w.voids[key]
}

// Closed reports whether nothing may start on the worker any more, by its own word or the operators'.
func (e *Engine) Closed(w *Worker) bool {
	return !w.Present || w.Draining || e.evacuated[w.DataCentre]
}

// Withhold ends a member whose start has become inadmissible; if it may have been sent before, it is stopped instead.
func (e *Engine) Withhold(m *Member, now time.Time) {
	if m.sent {
		e.stopRun(m.Run, "the worker is closed to new tasks", now)
		return
	}
	e.endMember(m, Void, "", now)
}

// Sent notes that the start is about to leave.
func (m *Member) Sent() { m.sent = true }

// Fresh reports whether nothing is known to run on the worker.
func (w *Worker) Fresh() bool {
	for _, m := range w.members {
		if m.State != Ordered && m.State != Planned {
			return false
		}
	}
	return true
}
