package replay

import (
	"container/heap"
	"time"
)

// due is something that happens at a time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
	// idle is true for a mere look at the queue, which alone does not keep a replay going.
	idle bool
}

// agenda is what is due, the earliest first.
type eventQueue struct {
	items []scheduledEvent
	seq   int
	busy  int
	// look is when the next idle look is due; zero if none is.
	nextIdle time.Duration
}

func (a *eventQueue) Len() int { return len(a.items) }
func (a *eventQueue) Less(i, j int) bool {
	if a.items[i].at != a.items[j].at {
		return a.items[i].at < a.items[j].at
	}
	return a.items[i].seq < a.items[j].seq
}
func (a *eventQueue) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

// Push is for container/heap.
func (a *eventQueue) Push(x any) { a.items = append(a.items, x.(scheduledEvent)) }

// Pop is for container/heap.
func (a *eventQueue) Pop() any {
	last := a.items[len(a.items)-1]
	a.items = a.items[:len(a.items)-1]
	return last
}

func (a *eventQueue) add(at time.Duration, do func()) {
	a.seq++
	a.busy++
	heap.Push(a, scheduledEvent{at: at, seq: a.seq, do: do})
}

// addIdle puts a look on the agenda unless an earlier one is due anyway.
func (a *eventQueue) addIdle(at time.Duration) {
	if a.nextIdle > 0 && a.nextIdle <= at {
		return
	}
	a.nextIdle = at
	a.seq++
	heap.Push(a, scheduledEvent{at: at, seq: a.seq, do: func() {}, idle: true})
}

func (a *eventQueue) next() scheduledEvent {
	d := heap.Pop(a).(scheduledEvent)
	if !d.idle {
		a.busy--
	} else if d.at >= a.nextIdle {
		a.nextIdle = 0
	}
	return d
}
