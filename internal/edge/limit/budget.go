package limit

import (
	"container/list"
	"sync"
	"time"
)

// Budget bounds the bytes of bodies in flight.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// small and large are the bytes taken by bodies up to SmallBody and above; leaving are those of displaced bodies among them.
	small, large               int
	leavingSmall, leavingLarge int
	// arriving holds the *Claim of each body that is being received, the oldest first.
	arriving list.List
	// returned is closed, and replaced, when bytes are returned.
	returned chan struct{}
}

// NewBudget returns an empty budget.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits, returned: make(chan struct{})} }

// Claim is the part of the budget that one body has taken. Its zero value has taken nothing.
type Claim struct {
	budget *Budget
	// interrupt ends the reading of the body.
	interrupt func()
	began     time.Time
	bytes     int
	element   *list.Element
	displaced bool
}

// Claim returns a claim on nothing yet, for a body that begins to arrive now. If the body is displaced, interrupt is called.
func (b *Budget) Claim(interrupt func(), now time.Time) *Claim {
	c := &Claim{budget: b, interrupt: interrupt, began: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.element = b.arriving.PushBack(c)
	return c
}

// Grow takes what is lacking to the given number of bytes. If there is no room, slow bodies are displaced; those that are displaced
// return their bytes only when they have stopped reading, so a channel is returned that is closed when any bytes are returned.
func (c *Claim) Grow(bytes int, now time.Time) (ok bool, wait <-chan struct{}) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.displaced:
		return false, nil
	case b.fits(c, bytes, 0, 0):
		b.add(c, -1)
		c.bytes = bytes
		b.add(c, 1)
		return true, nil
	}
	b.displace(c, bytes, now)
	return false, b.returned
}

// fits reports whether the claim can have that many bytes, if so many others were returned.
func (b *Budget) fits(c *Claim, bytes, returnedSmall, returnedLarge int) bool {
	small, large := b.small-returnedSmall, b.large-returnedLarge
	if c.bytes <= SmallBody {
		small -= c.bytes
	} else {
		large -= c.bytes
	}
	if bytes <= SmallBody {
		return small+large+bytes <= b.limits.BodyBytes
	}
	return large+bytes <= b.limits.LargeBytes && small+large+bytes <= b.limits.BodyBytes
}

// add adds the claim's bytes to those taken, or takes them off.
func (b *Budget) add(c *Claim, sign int) {
	if c.bytes <= SmallBody {
		b.small += sign * c.bytes
	} else {
		b.large += sign * c.bytes
	}
}

// displace interrupts the bodies that have been arriving for longest, until the claim would fit once these have returned their bytes.
func (b *Budget) displace(c *Claim, bytes int, now time.Time) {
	for e := b.arriving.Front(); e != nil && !b.fits(c, bytes, b.leavingSmall, b.leavingLarge); {
		old, next := e.Value.(*Claim), e.Next()
		if now.Sub(old.began) < displaceAfter {
			return
		}
		// A large body can't be helped by a small one alone, but both use the budget.
		if old != c && old.bytes > 0 {
			b.arriving.Remove(e)
			old.element, old.displaced = nil, true
			b.addLeaving(old, 1)
			old.interrupt()
		}
		e = next
	}
}

func (b *Budget) addLeaving(c *Claim, sign int) {
	if c.bytes <= SmallBody {
		b.leavingSmall += sign * c.bytes
	} else {
		b.leavingLarge += sign * c.bytes
	}
}

// Arrived notes that the body is complete, so that it is not displaced any more; it returns false if it has been.
func (c *Claim) Arrived() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.leaveList()
	return !c.displaced
}

func (c *Claim) leaveList() {
	if c.element != nil {
		c.budget.arriving.Remove(c.element)
		c.element = nil
	}
}

// Return returns all bytes; further calls have no effect.
func (c *Claim) Return() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.leaveList()
	if c.bytes == 0 {
		return
	}
	b.add(c, -1)
	if c.displaced {
		b.addLeaving(c, -1)
	}
	c.bytes = 0
	close(b.returned)
	b.returned = make(chan struct{})
}

// Displaced reports whether the body has had to give way.
func (c *Claim) Displaced() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.displaced
}

// Taken returns the bytes that are taken.
func (b *Budget) Taken() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}
