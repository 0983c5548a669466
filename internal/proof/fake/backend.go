package fake

import (
	"net"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/back"
	"github.com/valyala/fasthttp"
)

// Behaviour sets how a Backend behaves; the zero value answers every request at once.
type Behaviour struct {
	// Latency is the time that each request takes.
	Latency time.Duration
	// Leaving announces in every response that the server is leaving, and refuses all requests except pings.
	Leaving bool
	// Refuse answers "not run" to every request except pings.
	Refuse bool
	// HangOpenConnections makes the connections that are open when it is set hang until the server closes; new
	// connections work.
	HangOpenConnections bool
	// CloseWithoutResponse runs the request and then closes the connection without a response.
	CloseWithoutResponse bool
	// WrongRequestID returns a response that carries the ID of another request.
	WrongRequestID bool
	// TruncateBody sends a shorter body than its Content-Length announces.
	TruncateBody bool
}

// Backend is a fake backend server that echoes the request body and counts the runs of each request ID.
type Backend struct {
	Name        string
	mu          sync.Mutex
	behaviour   Behaviour
	listener    net.Listener
	server      *fasthttp.Server
	done        chan struct{}
	runs        map[string]int
	silentSince time.Time
	now         func() time.Time
}

// NewBackend starts a Backend that listens on the address until it is closed.
func NewBackend(name, address string, now func() time.Time) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, listener: listener, done: make(chan struct{}), runs: make(map[string]int), now: now}
	b.server = &fasthttp.Server{Handler: b.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	go func() {
		defer close(b.done)
		// Serve always returns an error after Close.
		_ = b.server.Serve(listener)
	}()
	return b, nil
}

// Address returns the host and port on which the server listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Done returns a channel that is closed when the server has stopped.
func (b *Backend) Done() <-chan struct{} { return b.done }

// Close closes the listener and waits until the server has stopped.
func (b *Backend) Close() error {
	err := b.listener.Close()
	<-b.done
	return err
}

// SetBehaviour changes the behaviour from the next request on.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
	if behaviour.HangOpenConnections {
		b.silentSince = b.now()
	}
}

// Runs returns how often the request with the ID ran.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// TotalRuns returns how many requests ran, with repeats of the same ID counted.
func (b *Backend) TotalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, n := range b.runs {
		total += n
	}
	return total
}

func (b *Backend) state() (Behaviour, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour, b.silentSince
}

func (b *Backend) handle(c *fasthttp.RequestCtx) {
	behaviour, silentAt := b.state()
	if behaviour.HangOpenConnections && c.ConnTime().Before(silentAt) {
		<-b.done
		return
	}
	if behaviour.Leaving {
		c.Response.Header.Set(back.HeaderLeaving, "true")
	}
	if string(c.Path()) == "/ping" {
		return
	}
	id := string(c.Request.Header.Peek(back.HeaderRequestID))
	c.Response.Header.Set(back.HeaderRequestID, id)
	if behaviour.Refuse || behaviour.Leaving {
		c.Response.Header.Set(back.HeaderNotRun, "true")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	b.run(c, id, behaviour)
}

func (b *Backend) run(c *fasthttp.RequestCtx, id string, behaviour Behaviour) {
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	if behaviour.Latency > 0 {
		time.Sleep(behaviour.Latency)
	}
	c.SetContentType(string(c.Request.Header.ContentType()))
	c.SetBody(append([]byte("answer to "+id+": "), c.Request.Body()...))
	switch {
	case behaviour.CloseWithoutResponse:
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
	case behaviour.WrongRequestID:
		c.Response.Header.Set(back.HeaderRequestID, "another-"+id)
	case behaviour.TruncateBody:
		body := append([]byte(nil), c.Response.Body()...)
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + back.HeaderRequestID + ": " + id + "\r\nContent-Length: 100000\r\n\r\n"))
			_, _ = conn.Write(body)
		})
	}
}
