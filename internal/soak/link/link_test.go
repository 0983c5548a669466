package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/link"
	"gotest.tools/v3/assert"
)

// open returns a connection over the link to a server that echoes.
func open(t *testing.T, l *link.Link) net.Conn {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	outer := l.Listener(inner)
	go func() {
		for {
			c, err := outer.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	t.Cleanup(func() { assert.NilError(t, inner.Close()) })
	c, err := net.Dial("tcp4", inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a byte and returns whether it comes back in time.
func echo(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(limit)))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func TestCutHoldsWhatIsSent(t *testing.T) {
	for _, change := range []func(*link.State, int){
		func(s *link.State, n int) { s.CutIn += n },
		func(s *link.State, n int) { s.CutOut += n },
	} {
		l := link.New(link.State{})
		c := open(t, l)
		assert.Equal(t, echo(t, c, 5*time.Second), true)
		l.Change(func(s *link.State) { change(s, 1) })
		assert.Equal(t, echo(t, c, 50*time.Millisecond), false)
		l.Change(func(s *link.State) { change(s, -1) })
		assert.Equal(t, echo(t, c, 5*time.Second), true)
	}
}

func TestResetAndSilenceSpareNewConnections(t *testing.T) {
	l := link.New(link.State{})
	reset := open(t, l)
	assert.Equal(t, echo(t, reset, 5*time.Second), true)
	l.Reset()
	assert.Equal(t, echo(t, reset, 5*time.Second), false)
	silent := open(t, l)
	assert.Equal(t, echo(t, silent, 5*time.Second), true)
	l.Silence()
	assert.Equal(t, echo(t, silent, 50*time.Millisecond), false)
	assert.Equal(t, echo(t, open(t, l), 5*time.Second), true)
}

func TestBandwidthIsShared(t *testing.T) {
	l := link.New(link.State{BytesPerS: 100_000})
	c := open(t, l)
	begin := time.Now()
	_, err := c.Write(make([]byte, 20_000))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 20_000))
	assert.NilError(t, err)
	assert.Equal(t, time.Since(begin) >= 150*time.Millisecond, true)
}
