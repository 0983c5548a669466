package world

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Event is a planned change.
type Event struct {
	At    time.Duration
	Apply func(w *World, now time.Time)
}

// Cancel cancels the job on its caller's request.
func Cancel(at time.Duration, job string) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) {
		w.notef("job %s is cancelled", job)
		w.checks.jobs[job].cancelledAt = now
		w.store.Put(work.CancelKey(job), nil)
		w.answerWatches(now)
	}}
}

// Evacuate keeps new tasks out of the data centre; Return takes it back.
func Evacuate(at time.Duration, centre string) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) {
		w.notef("data centre %s is evacuated", centre)
		w.evacuated[centre] = now
	}}
}

// Return ends the evacuation of the data centre.
func Return(at time.Duration, centre string) Event {
	return Event{At: at, Apply: func(w *World, _ time.Time) {
		w.notef("data centre %s is taken back", centre)
		delete(w.evacuated, centre)
	}}
}

// RemoveQueue takes the queue out of the configuration; the jobs that were accepted there go on.
func RemoveQueue(at time.Duration, name string) Event {
	return Event{At: at, Apply: func(w *World, _ time.Time) {
		w.notef("queue %s is removed", name)
		w.removedQueues[name] = true
	}}
}

// Drain lets the worker shut down: nothing new may start there.
func Drain(at time.Duration, id string) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) {
		w.notef("%s drains", id)
		w.byID[id].drainingSince = now
	}}
}

// Crash ends the worker with all that runs there; it comes back under its ID.
func Crash(at time.Duration, id string, down time.Duration) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) { w.byID[id].crash(down, now) }}
}

// StoreAway lets the store refuse all calls for a while; leases end as if it were there.
func StoreAway(at, lasts time.Duration) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) {
		w.notef("the store is away")
		w.storeAwayUntil = now.Add(lasts)
		w.disturbed(w.storeAwayUntil)
		w.schedule(w.storeAwayUntil, func(time.Time) { w.notef("the store is back") })
	}}
}

// KillOwner ends the process that is the owner, without grace; it starts again after a while.
func KillOwner(at time.Duration) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) {
		for _, p := range w.processes {
			if !p.dead && p.owns() {
				w.lose(p, now)
			}
		}
	}}
}

// Isolate cuts the worker off from all instances for a while; what runs there goes on until its lease expires.
func Isolate(at, lasts time.Duration, id string) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) {
		w.notef("%s is isolated", id)
		w.byID[id].isolatedUntil = now.Add(lasts)
		w.disturbed(now.Add(lasts))
	}}
}
