package crowd_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crowd is a number of clients that each open one connection, use it and hold it until all have done so.
type crowd struct {
	address string
	clients int
	// use sends what the client has to send; an error means that the process has refused it or closed the connection.
	use func(conn net.Conn) error
}

const (
	// hold is how long the connections stay open after the last client has sent all.
	hold = 500 * time.Millisecond
	// writeTimeout bounds one write of a client, which blocks if the process does not read.
	writeTimeout = 2 * time.Second
	// dialsAtOnce bounds connections that are being opened, so that the backlog of the listener is not the limit.
	dialsAtOnce = 32
	// socketBuffer keeps the kernel's memory for a crowd small.
	socketBuffer = 64 << 10
)

// play returns how many clients could send all they had to. It ends by itself, as each write has a deadline.
func (c crowd) play(t *testing.T) int {
	t.Helper()
	var sent atomic.Int64
	var used, ended sync.WaitGroup
	dials, leave := make(chan struct{}, dialsAtOnce), make(chan struct{})
	for range c.clients {
		used.Add(1)
		ended.Add(1)
		go func() {
			defer ended.Done()
			conn := c.open(t, dials)
			if conn != nil && c.use(limited{conn}) == nil {
				sent.Add(1)
			}
			used.Done()
			<-leave
			if conn != nil {
				closeQuietly(t, conn)
			}
		}()
	}
	used.Wait()
	time.Sleep(hold)
	close(leave)
	ended.Wait()
	return int(sent.Load())
}

func (c crowd) open(t *testing.T, dials chan struct{}) net.Conn {
	dials <- struct{}{}
	defer func() { <-dials }()
	conn, err := net.DialTimeout("tcp4", c.address, patience)
	if err != nil {
		return nil
	}
	for _, set := range []func(int) error{conn.(*net.TCPConn).SetReadBuffer, conn.(*net.TCPConn).SetWriteBuffer} {
		if err := set(socketBuffer); err != nil {
			t.Log(err)
		}
	}
	return conn
}

func closeQuietly(t *testing.T, conn net.Conn) {
	if err := conn.Close(); err != nil {
		t.Log(err)
	}
}

// limited bounds the time of each write.
type limited struct{ net.Conn }

// Write fails if the process does not take the data in time.
func (l limited) Write(data []byte) (int, error) {
	if err := l.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return l.Conn.Write(data)
}
