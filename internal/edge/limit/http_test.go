package limit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const (
	maxBody  = 100_000
	patience = 30 * time.Second
)

// site is a server on loopback whose handler answers with the length of the body.
type site struct {
	guard    *Guard
	listener *listener
	address  string
	served   chan int
	requests atomic.Int64
}

// open returns the number of open connections.
func (s *site) open() int {
	s.listener.table.mu.Lock()
	defer s.listener.table.mu.Unlock()
	return s.listener.table.open
}

func serve(t *testing.T, limits Limits, timeout time.Duration, handler fasthttp.RequestHandler) *site {
	t.Helper()
	s := &site{guard: NewGuard(limits, event.Discard(), time.Now), served: make(chan int, 100)}
	if handler == nil {
		handler = func(ctx *fasthttp.RequestCtx) {
			s.served <- len(ctx.PostBody())
			fmt.Fprint(ctx, len(ctx.PostBody()))
		}
	}
	h := &HTTP{Guard: s.guard, Listener: "test", MaxBody: func() int { return maxBody }, Copies: 1, BodyTimeout: timeout, WriteTimeout: timeout, Decodes: true}
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) { h.Serve(ctx, func() { s.requests.Add(1); handler(ctx) }) }, ReadTimeout: patience,
		CloseOnShutdown: true,
	}
	h.Configure(server)
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = raw.Addr().String()
	s.listener = s.guard.Callers(raw).(*listener)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(s.listener) }()
	t.Cleanup(func() {
		assert.Check(t, raw.Close())
		<-ended
	})
	return s
}

var roomy = Derive(Machine{MemoryMB: 64, Descriptors: 1000}, maxBody)

func (s *site) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func read(t *testing.T, from *bufio.Reader) (status int, header http.Header, body string) {
	t.Helper()
	response, err := http.ReadResponse(from, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header, string(data)
}

// awaitReturn waits until all room is returned.
func (s *site) awaitReturn(t *testing.T) {
	t.Helper()
	for begin := time.Now(); s.guard.budget.Taken() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < patience, "%d bytes are still taken", s.guard.budget.Taken())
	}
}

func announced(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
}

func chunked(n int) string {
	var text strings.Builder
	text.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for ; n > 0; n -= min(n, 3000) {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", min(n, 3000), bytes.Repeat([]byte("x"), min(n, 3000)))
	}
	return text.String() + "0\r\n\r\n"
}

// Guards against bodies that are cut, mixed up with the next request or refused although they are within the limit.
func TestBodiesWithinTheLimitArriveWhole(t *testing.T) {
	s := serve(t, roomy, patience, nil)
	conn := s.dial(t)
	from := bufio.NewReader(conn)
	for _, n := range []int{0, 1, 2, 4095, 4096, 4097, 32768, 32769, maxBody - 1, maxBody} {
		go func() {
			_, _ = io.WriteString(conn, announced(n)+strings.Repeat("x", n)+chunked(n)+"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}()
		for _, want := range []int{n, n, 0} {
			status, _, body := read(t, from)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, fmt.Sprint(want))
		}
	}
	s.awaitReturn(t)
}

// Guards against refusals that the client loses because the connection is reset while it still sends.
func TestRefusalReachesAClientThatSendsTheWholeBody(t *testing.T) {
	s := serve(t, roomy, patience, nil)
	for _, text := range []string{
		announced(maxBody+1) + strings.Repeat("x", maxBody+1), chunked(maxBody + 1),
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100001\r\n\r\n",
	} {
		conn := s.dial(t)
		write(t, conn, text)
		from := bufio.NewReader(conn)
		status, _, _ := read(t, from)
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
		_, err := from.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
	assert.Equal(t, len(s.served), 0)
	assert.Equal(t, s.guard.counts.snapshot()["test"]["bodyTooLarge"], int64(3))
}

// Guards against room that is lost when a client leaves or is too slow, and against requests that run with half a body.
func TestRoomIsReturnedAfterHalfABody(t *testing.T) {
	s := serve(t, roomy, 100*time.Millisecond, nil)
	for _, text := range []string{announced(50_000) + "half", chunked(50_000)[:30_000]} {
		gone := s.dial(t)
		write(t, gone, text)
		assert.NilError(t, gone.Close())
		slow := s.dial(t)
		write(t, slow, text)
		status, _, _ := read(t, bufio.NewReader(slow))
		assert.Equal(t, status, http.StatusRequestTimeout)
	}
	s.awaitReturn(t)
	assert.Equal(t, len(s.served), 0)
}

// Guards against slow bodies that keep others out: they are refused with a true reason, and a client that waits gets their room.
func TestSlowBodyIsRefusedForAnother(t *testing.T) {
	s := serve(t, Limits{BodyBytes: 120_000, LargeBytes: maxBody, Callers: 100, Others: 10}, patience, nil)
	slow := s.dial(t)
	write(t, slow, announced(maxBody)+"x")
	for begin := time.Now(); s.guard.budget.Taken() < maxBody; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < patience)
	}
	for begin := time.Now(); ; {
		assert.Assert(t, time.Since(begin) < patience)
		conn := s.dial(t)
		write(t, conn, announced(maxBody)+strings.Repeat("x", maxBody))
		status, header, _ := read(t, bufio.NewReader(conn))
		if status == http.StatusOK {
			break
		}
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get("Retry-After"), "1")
	}
	status, header, _ := read(t, bufio.NewReader(slow))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "1")
	s.awaitReturn(t)
}

// Guards against bodies within the limit that are far larger once they are decoded.
func TestCompressedBodyIsDecodedUpToTheLimit(t *testing.T) {
	s := serve(t, roomy, patience, nil)
	zeros := func(n int) []byte { return fasthttp.AppendGzipBytes(nil, make([]byte, n)) }
	for _, c := range []struct {
		encoding string
		body     []byte
		status   int
	}{
		{"gzip", zeros(maxBody), 200}, {"gzip", zeros(50 * maxBody), 413}, {"gzip", []byte("no gzip"), 415}, {"gzip, br", zeros(1), 415}, {"own", zeros(1), 200},
	} {
		conn := s.dial(t)
		write(t, conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Encoding: %s\r\nContent-Length: %d\r\n\r\n%s", c.encoding, len(c.body), c.body))
		status, _, _ := read(t, bufio.NewReader(conn))
		assert.Equal(t, status, c.status, "%s, %d bytes", c.encoding, len(c.body))
	}
	assert.Equal(t, <-s.served, maxBody)
	assert.Equal(t, <-s.served, len(zeros(1)))
	s.awaitReturn(t)
}

// Guards against clients that hold a connection for ever by not reading a response.
func TestUnreadResponseEndsTheConnection(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 64<<20)
	s := serve(t, roomy, 100*time.Millisecond, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(large) })
	conn := s.dial(t)
	write(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for begin := time.Now(); s.requests.Load() == 0 || s.open() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < patience, "the connection stays open")
	}
}

// Guards against a crowd at one listener that closes another, such as that for readiness checks.
func TestListenersHaveTheirOwnConnections(t *testing.T) {
	guard := NewGuard(Limits{Callers: 1, Others: 1}, event.Discard(), time.Now)
	for _, bound := range []func(net.Listener) net.Listener{guard.Callers, guard.Others("readiness")} {
		raw, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		l := bound(raw)
		far, err := net.Dial("tcp4", raw.Addr().String())
		assert.NilError(t, err)
		near, err := l.Accept()
		assert.NilError(t, err)
		assert.Assert(t, near.(*Conn).enter(serving, time.Now()))
		defer func() {
			assert.Check(t, far.Close())
			assert.Check(t, near.Close())
			assert.Check(t, raw.Close())
		}()
	}
	assert.Equal(t, len(guard.counts.snapshot()), 0)
}
