package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"storj.io/drpc"
)

const (
	// callTimeout bounds one relayed request: the peer's own first tries and the way.
	callTimeout = 1000 * time.Millisecond
	// tries is how many peers are asked, as some may be cut off too.
	tries = 2
	// methodAdmit is the method's name on the wire.
	methodAdmit = "/lentildeck.Relay/Admit"
)

// Handler carries out requests for other instances.
type Handler interface {
	// Admit carries out a request against the key-value service, without relaying it any further.
	Admit(ctx context.Context, call *admit.Call) (*admit.Reply, error)
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
	return methodAdmit, link.Codec{}, link.Receive(Handler.Admit), Handler.Admit, true
}

// Relay asks peers.
type Relay struct {
	Peers  *Peers
	Client *link.Client
	Log    *event.Log
}

// Forward asks several peers at once and returns the first reply that settles the request; tried is true if any of them
// may have carried it out.
func (r *Relay) Forward(ctx context.Context, call *admit.Call) (reply *admit.Reply, tried bool) {
	peers := r.Peers.Others()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(tries, len(peers))]
	replies := make(chan *admit.Reply, len(peers))
	for _, peer := range peers {
		go func() { replies <- r.ask(ctx, peer, call) }()
	}
	for range peers {
		answer := <-replies
		if answer != nil && answer.Result != admit.Refused && answer.Result != admit.Unknown {
			return answer, true
		}
		tried = tried || answer == nil || answer.Result == admit.Unknown
	}
	return nil, tried
}

// ask returns one peer's reply, or nil if there is none.
func (r *Relay) ask(ctx context.Context, peer Peer, call *admit.Call) *admit.Reply {
	one, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	fields := event.Fields{"peer": peer.Name, "job": call.Caller.Path}
	defer func() { r.Log.Emit(event.Relayed, fields) }()
	answer, err := link.Invoke[admit.Call, admit.Reply](one, r.Client, peer.Address, methodAdmit, call)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		fields["error"] = err.Error()
		return &admit.Reply{Result: admit.Refused, Why: "the peer can't be reached"}
	}
	if err != nil {
		fields["error"] = err.Error()
		return nil
	}
	fields["result"] = answer.Result.String()
	return answer
}
