package limit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// HTTP bounds the requests of one HTTP listener of a Guard.
type HTTP struct {
	Guard *Guard
	// Listener is the name in logs and metrics.
	Listener string
	// MaxBody returns the size of the largest body that is accepted now, in bytes.
	MaxBody func() int
	// Copies is how often the handler holds a body at the same time.
	Copies int
	// BodyTimeout bounds the time in which a body arrives after its header, WriteTimeout that in which the client reads the response.
	BodyTimeout, WriteTimeout time.Duration
	// Decodes means that compressed bodies are decoded, to at most MaxBody bytes.
	Decodes bool
	// Refuse writes the body of a refusal, whose status is set; it may be nil.
	Refuse func(ctx *fasthttp.RequestCtx, reason Reason)
}

// prefetchBytes is how much of a body the HTTP library reads before the handler is called. The handler reads the rest, as only it can
// take the room for it from the budget.
const prefetchBytes = 1

// firstChunk is the first buffer for a body without an announced size, which is doubled as often as it is full.
const firstChunk = 4 << 10

// retryAfter is the time after which a refused caller should try again: by then, bodies that arrive slowly can be displaced.
const retryAfter = displaceAfter

// Configure makes the server leave the reading of bodies to Serve. Its ReadTimeout bounds the time for a header.
func (h *HTTP) Configure(s *fasthttp.Server) {
	s.StreamRequestBody, s.MaxRequestBodySize, s.DisablePreParseMultipartForm = true, prefetchBytes, true
	// Without it each connection keeps a buffer for responses while it waits for a request.
	s.ReduceMemoryUsage = true
	s.WriteTimeout = h.WriteTimeout
	s.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: h.BodyTimeout}
	}
	s.ConnState = h.connState
	s.ExpectHandler = h.expect
	answer := s.ErrorHandler
	if answer == nil {
		answer = answerFailed
	}
	s.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) {
		h.Guard.counts.add(h.Listener, BadHeader, h.Guard.now())
		answer(ctx, err)
	}
}

// expect answers clients that ask whether to send a body.
func (h *HTTP) expect(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() <= h.MaxBody() {
		return fasthttp.StatusContinue
	}
	h.Guard.counts.add(h.Listener, BodyTooLarge, h.Guard.now())
	return fasthttp.StatusRequestEntityTooLarge
}

func (h *HTTP) connState(c net.Conn, state fasthttp.ConnState) {
	conn, ok := accepted(c)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		conn.enter(arriving, h.Guard.now())
	case fasthttp.StateIdle:
		conn.enter(idle, h.Guard.now())
	default:
	}
}

// answerFailed answers a request that the HTTP library could not read as the library does by default.
func answerFailed(ctx *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &tooLarge):
		ctx.Error("Too big request header", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &network) && network.Timeout():
		ctx.Error("Request timeout", fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("Error when parsing request", fasthttp.StatusBadRequest)
	}
}

// Serve receives the body of a request within the budget and calls next, or refuses the request.
func (h *HTTP) Serve(ctx *fasthttp.RequestCtx, next func()) {
	conn := h.conn(ctx)
	claim := h.Guard.budget.Claim(conn.interrupt, h.Guard.now())
	defer func() {
		// The response may be written slowly, so the body must not stay with the request until then.
		ctx.Request.ResetBody()
		claim.Return()
	}()
	if stream := ctx.RequestBodyStream(); stream != nil {
		if err := h.receive(ctx, claim, stream); err != nil {
			h.refuse(ctx, conn, err)
			return
		}
	}
	if !claim.Arrived() || !conn.enter(serving, h.Guard.now()) {
		h.refuse(ctx, conn, &refusedError{reason: BodyDisplaced})
		return
	}
	defer func() { conn.enter(arriving, h.Guard.now()) }()
	next()
}

// conn returns the request's connection. One that no Guard has accepted, as in tests without a network, is in no table of others.
func (h *HTTP) conn(ctx *fasthttp.RequestCtx) *Conn {
	if conn, ok := accepted(ctx.Conn()); ok {
		return conn
	}
	return &Conn{Conn: ctx.Conn(), table: &table{}, now: h.Guard.now}
}

// accepted returns the connection as a Guard has accepted it, also from below TLS.
func accepted(c net.Conn) (*Conn, bool) {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	conn, ok := c.(*Conn)
	return conn, ok
}

// receive puts the whole body into the request, decoded if need be, or returns a *refusedError.
func (h *HTTP) receive(ctx *fasthttp.RequestCtx, claim *Claim, stream io.Reader) error {
	body, err := h.read(claim, stream, ctx.Request.Header.ContentLength())
	if err != nil {
		return err
	}
	ctx.Request.SetBodyRaw(body)
	return h.decode(ctx, claim)
}

// read reads a body, for which it takes room before each allocation. A negative length means that it is not announced.
func (h *HTTP) read(claim *Claim, stream io.Reader, length int) ([]byte, error) {
	limit := h.MaxBody()
	if length > limit {
		return nil, &refusedError{reason: BodyTooLarge}
	}
	if length >= 0 {
		body, err := h.fill(claim, stream, nil, length)
		if err == nil && len(body) < length {
			return nil, &refusedError{reason: BodyTimeout}
		}
		return body, err
	}
	var body []byte
	for size := min(firstChunk, limit); ; size = min(2*size, limit) {
		var err error
		if body, err = h.fill(claim, stream, body, size); err != nil || len(body) < size {
			return body, err
		}
		if size == limit {
			return body, checkEnd(stream)
		}
	}
}

// checkEnd returns a *refusedError unless a body that has reached the limit ends there.
func checkEnd(stream io.Reader) error {
	var one [1]byte
	for {
		n, err := stream.Read(one[:])
		switch {
		case n > 0:
			return &refusedError{reason: BodyTooLarge}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return &refusedError{reason: BodyTimeout}
		}
	}
}

// fill continues the body until it has the size or the stream ends.
func (h *HTTP) fill(claim *Claim, stream io.Reader, body []byte, size int) ([]byte, error) {
	// The smaller buffer is there until its bytes are copied.
	if err := h.take(claim, h.Copies*size+len(body)); err != nil {
		return nil, err
	}
	next := make([]byte, size)
	at := copy(next, body)
	for at < size {
		n, err := stream.Read(next[at:])
		at += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil {
			continue
		}
		if claim.Displaced() {
			return nil, &refusedError{reason: BodyDisplaced}
		}
		return nil, &refusedError{reason: BodyTimeout}
	}
	return next[:at], nil
}

// take takes room for a body, for which it waits for a while, or returns a *refusedError.
func (h *HTTP) take(claim *Claim, bytes int) error {
	end := time.NewTimer(waitForRoom)
	defer end.Stop()
	for {
		ok, returned := claim.Grow(bytes, h.Guard.now())
		switch {
		case ok:
			return nil
		case returned == nil:
			return &refusedError{reason: BodyDisplaced}
		}
		select {
		case <-returned:
		case <-end.C:
			return &refusedError{reason: NoRoom}
		}
	}
}

// refusedError means that a request is refused before it has run.
type refusedError struct{ reason Reason }

// Error names the reason.
func (e *refusedError) Error() string { return "request refused: " + e.reason.String() }

// statusCodes are the responses to the requests that are refused.
var statusCodes = map[Reason]int{
	BodyTooLarge: http.StatusRequestEntityTooLarge, NoRoom: http.StatusServiceUnavailable, BodyDisplaced: http.StatusServiceUnavailable,
	BodyTimeout: http.StatusRequestTimeout, BadEncoding: http.StatusUnsupportedMediaType,
}

// refuse answers a request that did not run. The connection is closed, as the rest of the body would have to be read.
func (h *HTTP) refuse(ctx *fasthttp.RequestCtx, conn *Conn, cause error) {
	reason := NoRoom
	var refused *refusedError
	if errors.As(cause, &refused) {
		reason = refused.reason
	}
	h.Guard.counts.add(h.Listener, reason, h.Guard.now())
	conn.unread.Store(true)
	ctx.SetStatusCode(statusCodes[reason])
	if reason == NoRoom || reason == BodyDisplaced {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(retryAfter.Seconds())))
	}
	if h.Refuse != nil {
		h.Refuse(ctx, reason)
	}
	ctx.SetConnectionClose()
}
