package notify

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
	// callTimeout limits the delivery of one notification; after this time the owner's watch has most likely shown the job.
	callTimeout = 300 * time.Millisecond
	// maxQueued is the maximum number of queued notifications; further ones are dropped and counted.
	maxQueued = 64
	// senderCount is the number of notifications sent concurrently, as each may block for callTimeout.
	senderCount = 4
	// methodAccepted is the method's name on the wire.
	methodAccepted = "/lentildeck.Tell/Accepted"
)

// Job is an accepted job with its stored spec and the store revision at which it was created.
type Job struct {
	ID       string
	Spec     []byte
	Revision int64
}

// Reply reports in Taken whether the instance is the owner and has applied the job to its state.
type Reply struct{ Taken bool }

// Handler receives notifications.
type Handler interface {
	// Accepted applies the job to the owner's state if this instance is the owner.
	Accepted(ctx context.Context, job *Job) (*Reply, error)
}

// Description describes the notification service to drpc.
type Description struct{}

// NumMethods returns 1, the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes method n, counted from zero; the last result is false if there is none.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodAccepted, link.Codec{}, link.Receive(Handler.Accepted), Handler.Accepted, true
}

// Notifier sends notifications to the owner.
type Notifier struct {
	// Local applies the job if this instance is the owner.
	Local Handler
	// OwnerAddress returns the address of the owner, or an empty string if that is unknown.
	OwnerAddress func() string
	Link         *link.Client
	Log          *event.Log
	Meter        *meter.Metrics

	queue chan *Job
}

// New returns a Notifier with an empty queue; it sends nothing until Run is called.
func New(local Handler, ownerAddress func() string, client *link.Client, log *event.Log, counters *meter.Metrics) *Notifier {
	return &Notifier{Local: local, OwnerAddress: ownerAddress, Link: client, Log: log, Meter: counters, queue: make(chan *Job, maxQueued)}
}

// Notify queues a notification; it never blocks, and drops the notification if the queue is full.
func (n *Notifier) Notify(job *Job) {
	select {
	case n.queue <- job:
	default:
		n.Meter.Count("tell.dropped")
	}
}

// Run sends queued notifications until ctx ends.
func (n *Notifier) Run(ctx context.Context) {
	components := abort.Group{Log: n.Log}
	defer components.Wait()
	for range senderCount {
		components.Go("teller", func() { n.send(ctx) })
	}
}

func (n *Notifier) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-n.queue:
			n.Meter.Count("tell." + n.deliver(ctx, job))
		}
	}
}

// deliver sends one notification and returns the outcome, which is the suffix of a metric's name.
func (n *Notifier) deliver(ctx context.Context, job *Job) string {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := n.Local.Accepted(callCtx, job)
	if err == nil && reply.Taken {
		return "here"
	}
	address := n.OwnerAddress()
	if address == "" {
		return "nobody"
	}
	reply, err = link.Invoke[Job, Reply](callCtx, n.Link, address, methodAccepted, job)
	switch {
	case err != nil:
		n.Log.Emit(event.TellLost, event.Fields{"job": job.ID, "owner": address, "error": err.Error()})
		return "lost"
	case !reply.Taken:
		return "refused"
	default:
		return "sent"
	}
}
