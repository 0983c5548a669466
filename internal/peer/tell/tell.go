package tell

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/abort"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"storj.io/drpc"
)

const (
	// callTimeout bounds one message: later, the owner's watch has most likely shown the job.
	callTimeout = 300 * time.Millisecond
	// waitingMost bounds the messages that wait to be sent; further ones are dropped and counted.
	waitingMost = 64
	// senders is how many messages are on their way at a time, as one may hang for callTimeout.
	senders = 4
	// methodAccepted is the method's name on the wire.
	methodAccepted = "/lentildeck.Tell/Accepted"
)

// Job is a job that was accepted: its stored spec, and the revision at which it was created.
type Job struct {
	ID       string
	Spec     []byte
	Revision int64
}

// Reply says whether the instance decides and has taken the job in.
type Reply struct{ Taken bool }

// Handler takes messages in.
type Handler interface {
	// Accepted takes the job in if this instance decides.
	Accepted(ctx context.Context, job *Job) (*Reply, error)
}

// Description lists the methods for drpc.
type Description struct{}

// NumMethods returns the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes the nth method.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodAccepted, link.Codec{}, link.Receive(Handler.Accepted), Handler.Accepted, true
}

// Teller sends messages to whoever decides.
type Teller struct {
	// Self takes the job in if this instance decides.
	Self Handler
	// Owner returns the address of the instance that decides, or nothing if that is not known.
	Owner func() string
	Link  *link.Client
	Log   *event.Log
	Meter *meter.Set

	waiting chan *Job
}

// New returns a teller that has nothing to send.
func New(self Handler, owner func() string, client *link.Client, log *event.Log, counts *meter.Set) *Teller {
	return &Teller{Self: self, Owner: owner, Link: client, Log: log, Meter: counts, waiting: make(chan *Job, waitingMost)}
}

// Tell hands a message over to be sent; it never waits.
func (t *Teller) Tell(job *Job) {
	select {
	case t.waiting <- job:
	default:
		t.Meter.Count("tell.dropped")
	}
}

// Run sends messages until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	parts := abort.Parts{Log: t.Log}
	defer parts.Wait()
	for range senders {
		parts.Go("teller", func() { t.send(ctx) })
	}
}

func (t *Teller) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-t.waiting:
			t.Meter.Count("tell." + t.deliver(ctx, job))
		}
	}
}

// deliver sends one message and returns what became of it.
func (t *Teller) deliver(ctx context.Context, job *Job) string {
	call, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	reply, err := t.Self.Accepted(call, job)
	if err == nil && reply.Taken {
		return "here"
	}
	address := t.Owner()
	if address == "" {
		return "nobody"
	}
	reply, err = link.Invoke[Job, Reply](call, t.Link, address, methodAccepted, job)
	switch {
	case err != nil:
		t.Log.Emit(event.TellLost, event.Fields{"job": job.ID, "owner": address, "error": err.Error()})
		return "lost"
	case !reply.Taken:
		return "refused"
	default:
		return "sent"
	}
}
