package replay

import (
	"container/heap"
	"time"
)

// due is something that happens at a time.
type due struct {
	at  time.Duration
	seq int
	do  func()
	// idle is true for a mere look at the queue, which alone does not keep a replay going.
	idle bool
}

// agenda is what is due, the earliest first.
type agenda struct {
	items []due
	seq   int
	busy  int
	// look is when the next idle look is due; zero if none is.
	look time.Duration
}

func (a *agenda) Len() int { return len(a.items) }
func (a *agenda) Less(i, j int) bool {
	if a.items[i].at != a.items[j].at {
		return a.items[i].at < a.items[j].at
	}
	return a.items[i].seq < a.items[j].seq
}
func (a *agenda) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

// Push is for container/heap.
func (a *agenda) Push(x any) { a.items = append(a.items, x.(due)) }

// Pop is for container/heap.
func (a *agenda) Pop() any {
	last := a.items[len(a.items)-1]
	a.items = a.items[:len(a.items)-1]
	return last
}

func (a *agenda) add(at time.Duration, do func()) {
	a.seq++
	a.busy++
	heap.Push(a, due{at: at, seq: a.seq, do: do})
}

// addIdle puts a look on the agenda unless an earlier one is due anyway.
func (a *agenda) addIdle(at time.Duration) {
	if a.look > 0 && a.look <= at {
		return
	}
	a.look = at
	a.seq++
	heap.Push(a, due{at: at, seq: a.seq, do: func() {}, idle: true})
}

func (a *agenda) next() due {
	d := heap.Pop(a).(due)
	if !d.idle {
		a.busy--
	} else if d.at >= a.look {
		a.look = 0
	}
	return d
}
