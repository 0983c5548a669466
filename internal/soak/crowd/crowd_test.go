package crowd_test

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/site"
)

const (
	// overLimit is above the 262,144 bytes that the configuration allows, underLimit just below.
	overLimit  = 1_000_000
	underLimit = 262_000
	chunkBytes = 64 << 10
)

// body is sent by all clients, so that the crowd itself needs little memory. It is no valid JSON.
var body = bytes.Repeat([]byte(" "), overLimit)

func head(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nKey: %s\r\n%s\r\n", method, path, site.Host, site.Key(0), fields)
}

func post(length int) string {
	return head("POST", "/accrual/0123456789abcdef", fmt.Sprintf("Content-Length: %d\r\n", length))
}

func send(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// Guards against bodies that are kept although their announced size will be refused: 400 of 1,000,000 bytes took 425 MB.
func TestBodiesAnnouncedOverTheLimit(t *testing.T) {
	p := start(t)
	p.withstands(t, crowd{address: p.front, clients: 300, use: func(conn net.Conn) error {
		return send(conn, []byte(post(overLimit)), body[:overLimit-1])
	}})
}

// Guards against bodies without an announced size that are kept beyond the limit.
func TestChunkedBodiesOverTheLimit(t *testing.T) {
	p := start(t)
	chunk := append(fmt.Appendf(nil, "%x\r\n", chunkBytes), body[:chunkBytes]...)
	chunk = append(chunk, "\r\n"...)
	p.withstands(t, crowd{address: p.front, clients: 300, use: func(conn net.Conn) error {
		err := send(conn, []byte(head("POST", "/accrual/0123456789abcdef", "Transfer-Encoding: chunked\r\n")))
		for n := 0; n < 15 && err == nil; n++ {
			err = send(conn, chunk)
		}
		return err
	}})
}

// Guards against bodies that are allowed one by one, but not all at once: 1,500 of 262,000 bytes took 423 MB.
func TestSlowBodiesUnderTheLimit(t *testing.T) {
	p := start(t)
	p.withstands(t, crowd{address: p.front, clients: 600, use: func(conn net.Conn) error {
		err := send(conn, []byte(post(underLimit)))
		for at := 0; at < underLimit-1 && err == nil; at += chunkBytes {
			time.Sleep(100 * time.Millisecond)
			err = send(conn, body[at:min(at+chunkBytes, underLimit-1)])
		}
		return err
	}})
}

// Guards against descriptors that are used up by connections without requests, at the callers' listener and the one for readiness.
func TestConnectionsThatSendLittle(t *testing.T) {
	p := start(t)
	var crowds sync.WaitGroup
	crowds.Go(func() {
		crowd{address: p.readiness, clients: 200, use: func(net.Conn) error { return nil }}.play(t)
	})
	var next sync.Mutex
	silent := false
	p.withstands(t, crowd{address: p.front, clients: 1000, use: func(conn net.Conn) error {
		next.Lock()
		silent = !silent
		own := silent
		next.Unlock()
		if own {
			return nil
		}
		err := send(conn, []byte("GET /accrual/ HTTP/1.1\r\n"))
		for n := 0; n < 3 && err == nil; n++ {
			err = send(conn, fmt.Appendf(nil, "Field-%d: value\r\n", n))
			time.Sleep(time.Second)
		}
		return err
	}})
	crowds.Wait()
}

// Guards against connections and responses that are held for clients that never read.
func TestResponsesThatAreNotRead(t *testing.T) {
	p := start(t)
	requests := bytes.Repeat([]byte(head("GET", "/nowhere/", "")), 10)
	p.withstands(t, crowd{address: p.front, clients: 1000, use: func(conn net.Conn) error { return send(conn, requests) }})
}

// Guards against pipelined requests that are kept for clients that do not read the responses.
func TestPipelinedRequests(t *testing.T) {
	p := start(t)
	request := append([]byte(post(underLimit)), body[:underLimit]...)
	p.withstands(t, crowd{address: p.front, clients: 600, use: func(conn net.Conn) error {
		return send(conn, request, request, request[:len(request)-1])
	}})
}
