package limit

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testConn(t *testing.T, table *table) *Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		assert.Check(t, near.Close())
		assert.Check(t, far.Close())
	})
	return &Conn{Conn: near, table: table, now: func() time.Time { return start }}
}

func fill(t *testing.T, tb *table) []*Conn {
	t.Helper()
	var conns []*Conn
	for n := range tb.limit {
		c := testConn(t, tb)
		_, ok := tb.add(c, start.Add(time.Duration(n)*time.Millisecond))
		assert.Assert(t, ok)
		conns = append(conns, c)
	}
	return conns
}

// Guards against crowds of silent connections that keep ordinary callers out.
func TestSlowRequestGivesWayBeforeIdleConnection(t *testing.T) {
	tb := &table{limit: 3}
	conns := fill(t, tb)
	conns[0].enter(idle, start)
	displaced, ok := tb.add(testConn(t, tb), start.Add(displaceAfter-time.Millisecond))
	assert.Assert(t, ok && displaced == conns[0], "the idle one, as no request is late yet")
	displaced, ok = tb.add(testConn(t, tb), start.Add(displaceAfter+time.Millisecond))
	assert.Assert(t, ok && displaced == conns[1], "the first whose request is late")
	assert.Equal(t, tb.open, 3)
}

// Guards against requests that are cut off while they run.
func TestConnectionWithARequestInProgressStays(t *testing.T) {
	tb := &table{limit: 3}
	for _, c := range fill(t, tb) {
		assert.Assert(t, c.enter(serving, start))
	}
	displaced, ok := tb.add(testConn(t, tb), start.Add(time.Hour))
	assert.Assert(t, !ok && displaced == nil)
}

// Guards against requests that run although their connection has been closed for another one.
func TestDisplacedConnectionServesNoRequest(t *testing.T) {
	tb := &table{limit: 1}
	c := fill(t, tb)[0]
	displaced, ok := tb.add(testConn(t, tb), start)
	assert.Assert(t, ok && displaced == c)
	assert.Assert(t, !c.enter(serving, start))
	assert.NilError(t, c.drop())
	assert.Equal(t, tb.open, 1)
}

// Guards against operators' connections, which use TLS, whose requests are not known to be in progress.
func TestConnectionIsFoundBelowTLS(t *testing.T) {
	c := testConn(t, &table{limit: 1})
	for _, outer := range []net.Conn{c, tls.Server(c, &tls.Config{})} {
		found, ok := accepted(outer)
		assert.Assert(t, ok && found == c)
	}
	_, ok := accepted(c.Conn)
	assert.Assert(t, !ok)
}

// Guards against a deadline that makes an interrupted connection readable again.
func TestInterruptOutlastsDeadlines(t *testing.T) {
	c := testConn(t, &table{limit: 1})
	c.interrupt()
	assert.ErrorContains(t, c.SetReadDeadline(time.Now().Add(time.Hour)), "timeout")
	_, err := c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
}
