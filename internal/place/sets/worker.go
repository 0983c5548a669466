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
	LastSeen time.Time
	// doubtedAt is when an order to the worker, or to its data centre, had no answer.
	suspectedAt time.Time
	// LeaseEnds is when everything on the worker has certainly been killed, unless its lease is renewed.
	LeaseEnds time.Time
	// prolonged is until when tasks may live as another instance may prolong their leases on the owner's behalf.
	leaseExtension leaseExtension
	// AvoidUntil is when the worker gets new work again after trouble.
	AvoidUntil time.Time
	// leavesAt is when a draining worker will soonest end what runs on it; zero if that is not known.
	leavesAt time.Time
	// Processed is the number of the last end that was taken in.
	Processed int64
	// unsettled are the ends taken in whose records may not be durable yet, in their order; settled is the last number that
	// was handed out as settled.
	pendingExits    []pendingExit
	reportedDurable int64

	members map[runKey]*Member
	// strangers are runs that the worker listed and the ledger does not know as alive.
	orphans map[runKey]bool
	// voids are runs that were given up while their start had no answer; each needs a stop that the worker has acknowledged.
	abandoned map[runKey]bool
	// claimed is the room set aside for sets that wait for others to stop, kept that for gangs that wait for others to end;
	// quick jobs don't mind the latter.
	reserved         Room
	backfillReserved Room
	// faults are distinct sets that failed here since the last success.
	failedGroups []*Group
	// speed is how fast the worker is against the others, one on average.
	speed float64

	// rack has the workers beside this one; place is where the worker comes when all are listed rack by rack.
	rack     *rack
	position int
	// stock lists the worker at level and index while it is open; nil if it is not.
	freeIndex         *freeIndex
	freeIndexLevel    int
	freeIndexPosition int
	// open is true if new tasks may be placed here in the decision that is under way.
	open bool
	// at is the worker's place in the search for room that is under way, one for the first; zero if it has none.
	searchSlot int
	// inOrder caches the members in a fixed order until one comes or goes.
	memberCache []*Member
}

// newWorker returns a worker on which an earlier owner may have left a lease until leaseEnds.
func newWorker(info WorkerInfo, leaseEnds time.Time) *Worker {
	return &Worker{
		WorkerInfo: info, Present: true, speed: 1, LeaseEnds: leaseEnds,
		members: make(map[runKey]*Member), orphans: make(map[runKey]bool), abandoned: make(map[runKey]bool),
	}
}

// freeFor is what nobody uses or has claimed against the set; room that is kept for gangs binds neither quick jobs nor work
// that lasts.
func (w *Worker) freeFor(g *Group) Room {
	free := w.Capacity.Sub(w.Used).Sub(w.reserved)
	if g.Job.queue.Priority == 0 || g.step().Lasts {
		return free
	}
	return free.Sub(w.backfillReserved)
}

// overfull reports whether the members that may be alive need more than the worker has.
func (w *Worker) overcommitted() bool { return w.Capacity.Sub(w.Used).anyNegative() }

// Busy reports whether anything may be alive on the worker.
func (w *Worker) Busy() bool { return len(w.members) > 0 || len(w.orphans) > 0 }

// has reports whether the worker carries the label; an empty one is always there.
func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// usable reports whether new tasks may be placed on the worker now.
func (e *Engine) usable(w *Worker, now time.Time) bool {
	switch {
	case !w.Present || w.Draining || e.evacuated[w.DataCentre]:
		return false
	case now.Sub(w.LastSeen) > e.cfg.HeardWithin || w.LastSeen.IsZero() || w.suspect():
		return false
	case len(w.orphans) > 0 || len(w.abandoned) > 0:
		return false
	default:
		return !now.Before(w.AvoidUntil)
	}
}

// doubted reports whether the worker has not answered since an order had no answer.
func (w *Worker) suspect() bool { return w.suspectedAt.After(w.LastSeen) }

// Doubt keeps new tasks off the worker's whole data centre until its workers answer again, and lists these workers.
//
// An order without an answer is most often the first sign that a data centre is cut off.
func (e *Engine) Doubt(id string, now time.Time) []string {
	w := e.workers[id]
	if w == nil || now.Sub(w.suspectedAt) < e.cfg.SuspectInterval {
		return nil
	}
	var ids []string
	for _, other := range e.sortedWorkers {
		if other.DataCentre == w.DataCentre && other.Present {
			other.suspectedAt = now
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
			w.updateLeavesAt(now)
			e.addWorker(w)
			continue
		}
		if info.Born != 0 && w.Born != 0 && info.Born != w.Born {
			e.workerRestarted(w, info.Born, now)
		}
		if info.Born == 0 {
			info.Born = w.Born
		}
		e.racksStale = e.racksStale || w.Rack != info.Rack
		w.WorkerInfo, w.Present = info, true
		w.updateLeavesAt(now)
	}
	for id, w := range e.workers {
		if listed[id] {
			continue
		}
		w.Present = false
		if !w.Busy() {
			delete(e.workers, id)
			// Claims on it are given up with the next decision.
			w.open, w.freeIndex = false, nil
			e.racksStale = true
			e.sortedWorkers = slices.DeleteFunc(e.sortedWorkers, func(o *Worker) bool { return o == w })
		}
	}
}

// noteLeaving works out when the worker ends. An entry of the list may be older than the one before would say by now, so the
// earliest time counts.
func (w *Worker) updateLeavesAt(now time.Time) {
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
	e.racksStale = true
	at, _ := slices.BinarySearchFunc(e.sortedWorkers, w.ID, func(o *Worker, id string) int {
		switch {
		case o.ID < id:
			return -1
		case o.ID > id:
			return 1
		default:
			return 0
		}
	})
	e.sortedWorkers = slices.Insert(e.sortedWorkers, at, w)
}

// reborn ends all that ran in the worker's earlier life.
func (e *Engine) workerRestarted(w *Worker, born int64, now time.Time) {
	w.Born, w.Processed, w.speed = born, 0, 1
	w.pendingExits, w.reportedDurable = nil, 0
	clear(w.orphans)
	clear(w.abandoned)
	for _, m := range w.sortedMembers() {
		if m.State != Planned && m.incarnation != born {
			e.endMember(m, Lost, "", now)
		}
	}
}

// sorted returns the members in a fixed order, so that decisions repeat; the slice stays as it is when members come or go.
func (w *Worker) sortedMembers() []*Member {
	if len(w.memberCache) == len(w.members) {
		return w.memberCache
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
	w.memberCache = list
	return list
}

// Worker returns the worker of that ID, or nil.
func (e *Engine) Worker(id string) *Worker { return e.workers[id] }

// Workers returns all workers in the order of their IDs; the slice is the engine's own.
func (e *Engine) Workers() []*Worker { return e.sortedWorkers }

// Renewed notes that a lease renewal was sent to the worker, so what runs there may live until ends.
func (e *Engine) Renewed(id string, until time.Time) {
	if w := e.workers[id]; w != nil {
		w.LeaseEnds = latest(w.LeaseEnds, until)
	}
}

// prolonged is the times that follow from other instances' permissions: until from the one that was asked last, others from
// those before it, which nobody can call back any more.
type leaseExtension struct {
	proxy        string
	until        time.Time
	earlierUntil time.Time
}

// MayProlong notes that the instance may prolong the worker's leases, so that what runs there may live until ends.
func (e *Engine) MayProlong(id, by string, until time.Time) {
	w := e.workers[id]
	if w == nil {
		return
	}
	p := &w.leaseExtension
	if p.proxy != by {
		p.proxy, p.until, p.earlierUntil = by, time.Time{}, latest(p.earlierUntil, p.until)
	}
	p.until = latest(p.until, until)
}

// ProlongsNoLonger notes that the instance prolongs the worker's leases no longer; what it has prolonged lives until ends at most.
func (e *Engine) ProlongsNoLonger(id, by string, until time.Time) {
	if w := e.workers[id]; w != nil && w.leaseExtension.proxy == by {
		w.leaseExtension.until = until
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lapsed reports whether everything on the worker has certainly been killed.
func (w *Worker) leaseExpired(now time.Time) bool {
	return now.After(w.LeaseEnds) && now.After(w.leaseExtension.until) && now.After(w.leaseExtension.earlierUntil)
}

// NeedsStop reports whether the run may be alive on the worker, or may still come alive.
func (w *Worker) NeedsStop(task string, run int) bool {
	key := runKey{task, run}
	return w.members[key] != nil || w.orphans[key] || w.abandoned[key]
}

// Closed reports whether nothing may start on the worker any more, by its own word or the operators'.
func (e *Engine) Closed(w *Worker) bool {
	return !w.Present || w.Draining || e.evacuated[w.DataCentre]
}

// Withhold ends a member whose start has become inadmissible; if it may have been sent before, it is stopped instead.
func (e *Engine) Withhold(m *Member, now time.Time) {
	if m.startSent {
		e.stopRun(m.Run, "the worker is closed to new tasks", now)
		return
	}
	e.endMember(m, Void, "", now)
}

// Sent notes that the start is about to leave.
func (m *Member) Sent() { m.startSent = true }

// Fresh reports whether nothing is known to run on the worker.
func (w *Worker) Fresh() bool {
	for _, m := range w.members {
		if m.State != Ordered && m.State != Planned {
			return false
		}
	}
	return true
}
