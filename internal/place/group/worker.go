package group

import (
	"slices"
	"time"
)

// WorkerInfo is a worker's entry in the list of workers.
type WorkerInfo struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Resources
	// Draining means that the worker shuts down; nothing new may start on it.
	Draining bool
	// LeavesIn is the minimum time until a draining worker kills what runs on it; zero if it is unknown.
	LeavesIn time.Duration
	// Incarnation is the worker's incarnation: its start time in milliseconds of Unix time; zero if it is unknown.
	Incarnation int64
}

// runKey identifies one task of one run.
type runKey struct {
	task string
	run  int
}

// Worker is one worker and what the owner knows of its state.
type Worker struct {
	WorkerInfo
	// Listed is false once the worker is no longer listed.
	Listed bool
	// listedIncarnation is the incarnation that the worker's last entry describes; zero if it is unknown.
	listedIncarnation int64
	// pastIncarnations are those before the present one, which was last seen at incarnationSeenAt.
	pastIncarnations  map[int64]bool
	incarnationSeenAt time.Time
	// Used is the room of all members that may be alive on the worker.
	Used Resources
	// LastSeen is when the last poll that the worker answered was sent.
	LastSeen time.Time
	// seenBefore is LastSeen as of the answer before.
	seenBefore time.Time
	// suspectedAt is when an order to the worker, or to another one in its data centre, was left unanswered.
	suspectedAt time.Time
	// answeredAt is when the last answer to a poll came, failedPollSentAt when the last poll that failed was sent.
	answeredAt       time.Time
	failedPollSentAt time.Time
	// unheard is for how long no poll was open, or an open one was silent, until the first poll since answeredAt failed.
	unheard time.Duration
	// brokenAt is when the first poll since answeredAt failed.
	brokenAt time.Time
	// startAckedAt is when the worker last acknowledged a start.
	startAckedAt time.Time
	// LeaseEnds is when the leases that this owner has granted have certainly expired, InheritedEnds the same for those of earlier
	// owners: then everything on the worker has been killed.
	LeaseEnds     time.Time
	InheritedEnds time.Time
	// leaseExtension is until when tasks may live because a lease proxy may extend their leases for the owner.
	leaseExtension leaseExtension
	// AvoidUntil is when the worker gets new tasks again after refusals, slowness or a task without progress.
	AvoidUntil time.Time
	// leavesAt is the earliest time at which a draining worker kills what runs on it; zero if it is unknown.
	leavesAt time.Time
	// LastExit is the number of the last exit that was applied.
	LastExit int64
	// moreExits is true if the last listing left out exits: members that it does not show may have ended.
	moreExits bool
	// pendingExits are the applied exits whose records may not be durable yet, by number; reportedDurable is the last exit
	// number that was returned as durable.
	pendingExits    []pendingExit
	reportedDurable int64

	// probation is the last run of a suspected task group here.
	probation *Run

	members map[runKey]*Member
	// orphans are runs that the worker reports and the ledger does not know as alive.
	orphans map[runKey]bool
	// abandoned are runs given up while their start was unanswered; each needs a stop that the worker acknowledges.
	abandoned map[runKey]bool
	// reserved is the room set aside for task groups that wait for preempted runs to stop, backfillReserved that for gangs
	// that wait for runs to end; quick jobs and long-running tasks ignore the latter.
	reserved         Resources
	backfillReserved Resources
	failures         failureClosure
	speed            workerSpeed

	// rack holds this worker and its neighbours; position is the worker's index when all are listed rack by rack.
	rack     *rack
	position int
	// freeIndex lists the worker at freeIndexLevel and freeIndexPosition while it is open, and is nil otherwise.
	freeIndex         *freeIndex
	freeIndexLevel    int
	freeIndexPosition int
	// open is true if new tasks may be placed here in the current decision, spare if only those of overdue groups may, as the worker is
	// avoided.
	open  bool
	spare bool
	// searchSlot is one plus the worker's index among the slots of the current preemption plan; zero if it is not among them.
	searchSlot int
	// memberCache caches the members in a fixed order until one is added or removed.
	memberCache []*Member
}

// newWorker returns a worker that may hold a lease of an earlier owner until inheritedEnds.
func newWorker(info WorkerInfo, inheritedEnds time.Time) *Worker {
	return &Worker{
		WorkerInfo: info, Listed: true, listedIncarnation: info.Incarnation, speed: unknownSpeed(), InheritedEnds: inheritedEnds,
		pastIncarnations: make(map[int64]bool),
		members:          make(map[runKey]*Member), orphans: make(map[runKey]bool), abandoned: make(map[runKey]bool),
	}
}

// freeFor is the room that is neither used nor reserved; quick jobs, long-running tasks and overdue groups may also use the room of
// backfill reservations.
func (w *Worker) freeFor(g *Group, f filter) Resources {
	free := w.Capacity.Sub(w.Used).Sub(w.reserved)
	if f.overdue || g.Job.queue.Priority == 0 || g.step().LongRunning {
		return free
	}
	return free.Sub(w.backfillReserved)
}

// overcommitted reports whether the members that may be alive need more than the worker has.
func (w *Worker) overcommitted() bool { return w.Capacity.Sub(w.Used).anyNegative() }

// Busy reports whether anything may be alive on the worker.
func (w *Worker) Busy() bool { return len(w.members) > 0 || len(w.orphans) > 0 }

// hasLabel reports whether the worker has the label; the empty label matches every worker.
func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// usable reports whether new tasks may be placed on the worker now.
func (e *Engine) usable(w *Worker, now time.Time) bool {
	return !w.onProbation() && e.mayStartOn(w, now)
}

// mayStartOn is usable for the tasks of a run that is placed there already, perhaps on probation.
func (e *Engine) mayStartOn(w *Worker, now time.Time) bool {
	return !e.Avoided(w, now) && e.answers(w, now)
}

// answers reports whether the worker is open to new tasks and answers, and nothing unknown may be alive there.
func (e *Engine) answers(w *Worker, now time.Time) bool {
	switch {
	case !w.Listed || w.Draining || e.evacuated[w.DataCentre] || w.entryOutdated():
		return false
	case now.Sub(w.LastSeen) > e.cfg.SeenWithin || w.LastSeen.IsZero() || w.suspect():
		return false
	default:
		return len(w.orphans) == 0 && len(w.abandoned) == 0
	}
}

// suspect reports whether the worker has answered no poll since an order was left unanswered or a poll that failed was sent.
func (w *Worker) suspect() bool {
	return w.suspectedAt.After(w.LastSeen) || w.failedPollSentAt.After(w.answeredAt)
}

// PollFailed records that a poll of the worker that was sent at sentAt has failed, and for how long it was silent before; that is
// zero if its connection broke. The worker gets no new tasks until it answers again.
func (e *Engine) PollFailed(id string, sentAt time.Time, silence time.Duration, now time.Time) {
	w := e.workers[id]
	if w == nil {
		return
	}
	if !w.failedPollSentAt.After(w.answeredAt) {
		w.unheard, w.brokenAt = sentAt.Sub(w.answeredAt)+silence, now
	}
	w.failedPollSentAt = latest(w.failedPollSentAt, sentAt)
}

// SuspectDataCentre marks all workers of the worker's data centre as suspect and returns their IDs, or nil if this was done
// less than Config.SuspectInterval ago; each gets no new tasks until it answers again.
//
// An unanswered order is most often the first sign that a data centre is unreachable.
func (e *Engine) SuspectDataCentre(id string, now time.Time) []string {
	w := e.workers[id]
	if w == nil || now.Sub(w.suspectedAt) < e.cfg.SuspectInterval {
		return nil
	}
	var ids []string
	for _, other := range e.sortedWorkers {
		if other.DataCentre == w.DataCentre && other.Listed {
			other.suspectedAt = now
			ids = append(ids, other.ID)
		}
	}
	return ids
}

// SetWorkers replaces the list of workers; one that is no longer listed is kept while anything may be alive on it.
func (e *Engine) SetWorkers(list []WorkerInfo, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		w := e.workers[info.ID]
		if w == nil {
			w = newWorker(info, earliestKnown(now.Add(e.cfg.InheritedLease), e.inherited.of(info.ID)))
			w.updateLeavesAt(now)
			e.expectSpeed(w)
			e.addWorker(w)
			continue
		}
		if w.Incarnation != 0 && info.Incarnation > w.Incarnation && !w.pastIncarnations[info.Incarnation] {
			e.workerRestarted(w, info.Incarnation, "the worker list", nil, now)
		}
		w.listedIncarnation = info.Incarnation
		if w.Incarnation != 0 {
			info.Incarnation = w.Incarnation
		}
		e.racksStale = e.racksStale || w.Rack != info.Rack
		w.WorkerInfo, w.Listed = info, true
		e.expectSpeed(w)
		w.updateLeavesAt(now)
	}
	for id, w := range e.workers {
		if listed[id] {
			continue
		}
		w.Listed = false
		if e.forgettableWorker(w, now) {
			delete(e.workers, id)
			// Reservations on it are dropped in the next decision.
			w.open, w.freeIndex = false, nil
			e.racksStale = true
			e.sortedWorkers = slices.DeleteFunc(e.sortedWorkers, func(o *Worker) bool { return o == w })
		}
	}
}

// abandonedRetention is how long an unlisted worker is kept for the sake of starts that were given up without a response; late
// orders arrive within seconds.
const abandonedRetention = 30 * time.Second

// forgettableWorker reports whether nothing may be alive on an unlisted worker, its exits are durable, and no start that was
// given up may still be executed there.
func (e *Engine) forgettableWorker(w *Worker, now time.Time) bool {
	if w.Busy() || w.DurableExit() < w.LastExit {
		return false
	}
	return len(w.abandoned) == 0 || now.Sub(latest(w.answeredAt, w.HeldUntil())) > abandonedRetention
}

// updateLeavesAt computes when the worker shuts down. The earliest time counts, as a stale list entry that is read again
// would postpone it.
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

// sortedMembers returns the members in a fixed order, so that decisions are reproducible. Later changes do not modify the
// returned slice.
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

// Worker returns the worker with that ID, or nil if it is unknown.
func (e *Engine) Worker(id string) *Worker { return e.workers[id] }

// Workers returns all workers in the order of their IDs; the slice belongs to the engine and must not be changed.
func (e *Engine) Workers() []*Worker { return e.sortedWorkers }

// NeedsStop reports whether the task of that run may be alive on the worker or may still start there.
func (w *Worker) NeedsStop(task string, run int) bool {
	key := runKey{task, run}
	return w.members[key] != nil || w.orphans[key] || w.abandoned[key]
}

// Closed reports whether nothing may start on the worker: it is unlisted or draining, or its data centre is evacuated.
func (e *Engine) Closed(w *Worker) bool {
	return !w.Listed || w.Draining || e.evacuated[w.DataCentre]
}

// WithdrawStart ends a member whose start is no longer allowed, or stops its run if the start may have been sent already.
func (e *Engine) WithdrawStart(m *Member, now time.Time) {
	if m.startSent {
		e.stopRun(m.Run, WorkerLeaving, "the worker is closed to new tasks", now)
		return
	}
	e.endMember(m, Void, "", now)
}

// MarkSent records that the start order is about to be sent.
func (m *Member) MarkSent() { m.startSent = true }

// NothingStarted reports whether the worker has no member that has started or was inherited from an earlier owner.
func (w *Worker) NothingStarted() bool {
	for _, m := range w.members {
		if m.State != Ordered && m.State != Planned {
			return false
		}
	}
	return true
}
