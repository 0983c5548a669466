package back

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// The headers of the protocol between entry instances and backend servers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
	HeaderLeaving   = "X-Leaving"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
)

// Request is one dispatch to a backend server.
type Request struct {
	ID          string
	Path        string
	ContentType string
	Body        []byte
}

// Answer is the complete answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Caller sends requests to backend servers.
type Caller interface {
	// Call returns the complete answer, a NotRunError if the server certainly did not run the request, or else a LostError.
	Call(ctx context.Context, address string, request Request) (Answer, error)
	// Ping checks that a server responds; leaving is true if it is about to stop.
	Ping(ctx context.Context, address string) (leaving bool, err error)
	// Reset closes the idle connections to a server, so that the next call opens a new one.
	Reset(address string)
}

// NotRunError reports that the request had no effect.
type NotRunError struct {
	Address string
	Cause   string
	// Leaving is true if the server refused because it is about to stop.
	Leaving bool
}

// Error gives the cause.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("backend server %s did not run the request: %s", e.Address, e.Cause)
}

// LostError reports that no complete answer came, so the request may have run.
type LostError struct {
	Address string
	Cause   string
}

// Error gives the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("backend server %s may have run the request: %s", e.Address, e.Cause)
}

// HTTP is a Caller that keeps a bounded number of connections to each server.
type HTTP struct {
	connections int
	mu          sync.Mutex
	hosts       map[string]*fasthttp.HostClient
}

// NewHTTP returns an HTTP caller with at most the given number of connections to each server.
func NewHTTP(connections int) *HTTP {
	return &HTTP{connections: connections, hosts: make(map[string]*fasthttp.HostClient)}
}

func (h *HTTP) hostClient(address string) *fasthttp.HostClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	client := h.hosts[address]
	if client == nil {
		client = &fasthttp.HostClient{
			Addr: address, MaxConns: h.connections, MaxIdleConnDuration: idleTimeout,
			MaxResponseBodySize: maxAnswerBytes, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:       func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
		}
		h.hosts[address] = client
	}
	return client
}

// Call posts the request and accepts only a complete answer that carries the request's ID.
func (h *HTTP) Call(ctx context.Context, address string, request Request) (Answer, error) {
	call, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(reply)
	call.Header.SetMethod(fasthttp.MethodPost)
	call.SetRequestURI("http://" + address + request.Path)
	call.Header.Set(HeaderRequestID, request.ID)
	call.Header.SetContentType(request.ContentType)
	call.SetBodyRaw(request.Body)
	if err := h.do(ctx, address, call, reply); err != nil {
		return Answer{}, err
	}
	return parseAnswer(address, request, reply)
}

func (h *HTTP) do(ctx context.Context, address string, call *fasthttp.Request, reply *fasthttp.Response) error {
	if ctx.Err() != nil {
		return &NotRunError{Address: address, Cause: "no time is left"}
	}
	var err error
	if deadline, ok := ctx.Deadline(); ok {
		err = h.hostClient(address).DoDeadline(call, reply, deadline)
	} else {
		err = h.hostClient(address).Do(call, reply)
	}
	if err == nil {
		return nil
	}
	if neverSent(err) {
		return &NotRunError{Address: address, Cause: err.Error()}
	}
	return &LostError{Address: address, Cause: err.Error()}
}

// neverSent reports whether the error occurred before any byte of the request was sent.
func neverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
}

func parseAnswer(address string, request Request, reply *fasthttp.Response) (Answer, error) {
	if string(reply.Header.Peek(HeaderRequestID)) != request.ID {
		return Answer{}, &LostError{Address: address, Cause: "the answer belongs to another request"}
	}
	if string(reply.Header.Peek(HeaderNotRun)) == "true" {
		leaving := string(reply.Header.Peek(HeaderLeaving)) == "true"
		return Answer{}, &NotRunError{Address: address, Cause: "the server refused it", Leaving: leaving}
	}
	if length := reply.Header.ContentLength(); length >= 0 && length != len(reply.Body()) {
		return Answer{}, &LostError{Address: address, Cause: "the answer is not whole"}
	}
	return Answer{
		Status: reply.StatusCode(), ContentType: string(reply.Header.ContentType()),
		Body: append([]byte(nil), reply.Body()...),
	}, nil
}

// Ping requests the server's state; leaving is true if it is about to stop.
func (h *HTTP) Ping(ctx context.Context, address string) (bool, error) {
	call, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(reply)
	call.SetRequestURI("http://" + address + "/ping")
	if err := h.do(ctx, address, call, reply); err != nil {
		return false, err
	}
	return string(reply.Header.Peek(HeaderLeaving)) == "true", nil
}

// Reset closes the idle connections to the server; busy ones are not reused.
func (h *HTTP) Reset(address string) {
	h.mu.Lock()
	client := h.hosts[address]
	delete(h.hosts, address)
	h.mu.Unlock()
	if client != nil {
		client.CloseIdleConnections()
	}
}
