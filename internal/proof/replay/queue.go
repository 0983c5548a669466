package replay

import (
	"container/heap"
	"time"
)

// scheduledEvent is an action at a point of virtual time; seq preserves the order of events at the same time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
	// idle marks an event that only asks for a decision; idle events alone do not keep a replay running.
	idle bool
}

// eventQueue holds the scheduled events, the earliest first; busy counts those that are not idle.
type eventQueue struct {
	items []scheduledEvent
	seq   int
	busy  int
	// nextIdle is the time of the next idle event, or zero if there is none.
	nextIdle time.Duration
}

func (q *eventQueue) Len() int { return len(q.items) }
func (q *eventQueue) Less(i, j int) bool {
	if q.items[i].at != q.items[j].at {
		return q.items[i].at < q.items[j].at
	}
	return q.items[i].seq < q.items[j].seq
}
func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.items = append(q.items, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func (q *eventQueue) add(at time.Duration, do func()) {
	q.seq++
	q.busy++
	heap.Push(q, scheduledEvent{at: at, seq: q.seq, do: do})
}

// addIdle schedules an idle event unless one is scheduled at or before that time.
func (q *eventQueue) addIdle(at time.Duration) {
	if q.nextIdle > 0 && q.nextIdle <= at {
		return
	}
	q.nextIdle = at
	q.seq++
	heap.Push(q, scheduledEvent{at: at, seq: q.seq, do: func() {}, idle: true})
}

func (q *eventQueue) next() scheduledEvent {
	event := heap.Pop(q).(scheduledEvent)
	if !event.idle {
		q.busy--
	} else if event.at >= q.nextIdle {
		q.nextIdle = 0
	}
	return event
}
