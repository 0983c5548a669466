package limit

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// arriving has no complete request, or its response is being written.
	arriving phase = iota
	// idle is between two requests.
	idle
	// serving has a request in progress; the connection is not displaced.
	serving
	closed
)

// table holds the open connections of one listener.
type table struct {
	limit int

	mu   sync.Mutex
	open int
	// waiting holds the *Conn that are arriving and those that are idle, each the oldest first.
	waiting [serving]list.List
}

// Conn is a connection in the table of its listener.
type Conn struct {
	net.Conn
	table *table
	now   func() time.Time
	// touch means that each read counts as the begin of a new request, for listeners whose requests are not known.
	touch bool
	// unread is set if a refused body has not been read to its end.
	unread      atomic.Bool
	interrupted atomic.Bool
	closeOnce   sync.Once
	closeErr    error

	// The fields below are guarded by the table's lock.
	phase   phase
	since   time.Time
	element *list.Element
}

// add admits the connection, or returns the one to be closed in its place; ok is false if there is neither.
func (t *table) add(c *Conn, now time.Time) (displaced *Conn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.limit {
		displaced = t.oldest(now)
		if displaced == nil {
			return nil, false
		}
		t.remove(displaced)
	}
	t.open++
	c.since = now
	c.element = t.waiting[arriving].PushBack(c)
	return displaced, true
}

// oldest returns the connection to be closed for another: the first of those whose request has been arriving for too long, otherwise
// the one that has been idle for longest, otherwise the first whose request is arriving.
func (t *table) oldest(now time.Time) *Conn {
	first := func(p phase) *Conn {
		if e := t.waiting[p].Front(); e != nil {
			return e.Value.(*Conn)
		}
		return nil
	}
	slow, quiet := first(arriving), first(idle)
	if quiet != nil && (slow == nil || now.Sub(slow.since) < displaceAfter) {
		return quiet
	}
	return slow
}

// remove takes the connection out of the table, if it is there.
func (t *table) remove(c *Conn) {
	if c.phase != closed {
		t.unlist(c)
		c.phase = closed
		t.open--
	}
}

func (t *table) unlist(c *Conn) {
	if c.element != nil {
		t.waiting[c.phase].Remove(c.element)
		c.element = nil
	}
}

// enter changes what the connection does, from now on. It returns false if the connection has been closed.
func (c *Conn) enter(p phase, now time.Time) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.phase == closed {
		return false
	}
	t.unlist(c)
	c.phase, c.since = p, now
	if p < serving {
		c.element = t.waiting[p].PushBack(c)
	}
	return true
}

// Read reads from the connection.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.touch && n > 0 {
		c.enter(arriving, c.now())
	}
	return n, err
}

// SetReadDeadline sets the deadline, unless the connection has been interrupted.
func (c *Conn) SetReadDeadline(at time.Time) error {
	if c.interrupted.Load() {
		return os.ErrDeadlineExceeded
	}
	if err := c.Conn.SetReadDeadline(at); err != nil {
		return err
	}
	// An interrupt between the two lines above must not be lost.
	if c.interrupted.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// interrupt ends reads in progress and later ones.
func (c *Conn) interrupt() {
	c.interrupted.Store(true)
	// The only error is that the connection has been closed, which ends its reads as well.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Close closes the connection and frees its place in the table. After a refusal it first reads a bounded part of the rest.
func (c *Conn) Close() error {
	if c.unread.Load() {
		c.linger()
	}
	return c.drop()
}

// drop closes the connection at once.
func (c *Conn) drop() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		c.table.remove(c)
	})
	return c.closeErr
}

func (c *Conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The connection is closed next, whatever the result is.
	_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
}
