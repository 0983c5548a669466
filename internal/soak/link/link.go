package link

import (
	"net"
	"sync"
	"time"
)

// State is what a link does to the connections that run over it.
type State struct {
	// CutIn and CutOut count the cuts that hold what the peer sends and what is sent to it.
	CutIn, CutOut int
	// Delay is added to each write.
	Delay time.Duration
	// BytesPerS is the bandwidth towards the peer, shared by all connections; zero sets no limit.
	BytesPerS int
}

// Link is the network between one machine and a server on this side.
type Link struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
	conns   map[*conn]bool
	free    time.Time
}

// New returns a link in the given state.
func New(state State) *Link {
	return &Link{state: state, changed: make(chan struct{}), conns: make(map[*conn]bool)}
}

// Change modifies the state.
func (l *Link) Change(change func(*State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.state)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	var open []*conn
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Silence holds all connections that are open now for good; new ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent = true
	}
}

// Listener returns a listener whose connections run over the link.
func (l *Link) Listener(inner net.Listener) net.Listener { return &listener{Listener: inner, link: l} }

type listener struct {
	net.Listener
	link *Link
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, link: l.link, done: make(chan struct{})}
	l.link.mu.Lock()
	l.link.conns[c] = true
	l.link.mu.Unlock()
	return c, nil
}

type conn struct {
	net.Conn
	link   *Link
	silent bool
	once   sync.Once
	done   chan struct{}
}

// Read returns what the peer sent, once the link lets it pass.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	if !c.pass(func(s State) bool { return s.CutIn == 0 }) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends the data once the link lets it pass.
func (c *conn) Write(data []byte) (int, error) {
	if !c.pass(func(s State) bool { return s.CutOut == 0 }) {
		return 0, net.ErrClosed
	}
	if wait := c.link.reserve(len(data), time.Now()); wait > 0 {
		select {
		case <-time.After(wait):
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(data)
}

// pass waits until the link is open; it returns false if the connection was closed first.
func (c *conn) pass(open func(State) bool) bool {
	for {
		c.link.mu.Lock()
		ok, changed := open(c.link.state) && !c.silent, c.link.changed
		c.link.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

// reserve returns how long a write of that size has to wait for the link.
func (l *Link) reserve(size int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.state.Delay
	if l.state.BytesPerS > 0 {
		if l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(float64(size) / float64(l.state.BytesPerS) * float64(time.Second)))
		wait += l.free.Sub(now)
	}
	if wait < time.Millisecond {
		return 0
	}
	return wait
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
	return c.Conn.Close()
}
