package link

import (
	"io"
	"net"
	"sync"
	"time"
)

const dialTimeout = time.Second

// Forwarder passes connections on to an address over a link.
type Forwarder struct {
	inner net.Listener
	done  chan struct{}
	open  sync.WaitGroup
}

// Forward accepts connections at one address and passes them on to another.
func (l *Link) Forward(from, to string) (*Forwarder, error) {
	inner, err := net.Listen("tcp4", from)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{inner: inner, done: make(chan struct{})}
	outer := l.Listener(inner)
	go func() {
		defer close(f.done)
		for {
			in, err := outer.Accept()
			if err != nil {
				return
			}
			f.open.Add(1)
			go func() {
				defer f.open.Done()
				pipe(in, to)
			}()
		}
	}()
	return f, nil
}

func pipe(in net.Conn, to string) {
	out, err := net.DialTimeout("tcp4", to, dialTimeout)
	if err != nil {
		_ = in.Close()
		return
	}
	back := make(chan struct{})
	go func() {
		defer close(back)
		relay(in, out)
	}()
	relay(out, in)
	<-back
}

// relay copies until one side ends, and closes both, as the protocols here don't use half-closed connections.
func relay(to, from net.Conn) {
	// The error is that of a closed connection.
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// Close stops accepting; connections end with the instances that hold them.
func (f *Forwarder) Close() error {
	err := f.inner.Close()
	<-f.done
	return err
}
