package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"storj.io/drpc"
)

const (
	// callTimeout limits one relayed request: the peer's own first attempts and the network round trip.
	callTimeout = 1000 * time.Millisecond
	// peersAsked is how many peers are asked concurrently, as some may be cut off too, and maxPeersAsked how many in all: a
	// peer that refuses is replaced by the next one until askFor has passed.
	peersAsked    = 2
	maxPeersAsked = 6
	askFor        = 500 * time.Millisecond
	// methodAdmit is the method's name on the wire.
	methodAdmit = "/lentildeck.Relay/Admit"
)

// Handler executes requests for other instances.
type Handler interface {
	// Admit executes a request against the key-value store and does not relay it further.
	Admit(ctx context.Context, call *admit.Call) (*admit.Reply, error)
}

// Description describes the relay service to drpc.
type Description struct{}

// NumMethods returns 1, the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes method n, counted from zero; the last result is false if there is none.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodAdmit, link.Codec{}, link.Receive(Handler.Admit), Handler.Admit, true
}

// Relay forwards requests to peers.
type Relay struct {
	Peers  *Peers
	Client *link.Client
	Log    *event.Log
	// Now is a monotonic clock.
	Now func() time.Time

	recent recent
}

// Forward asks several peers concurrently and returns a conclusive reply, or nil if there is none; mayHaveRun is true if any of
// them may have executed the request.
func (r *Relay) Forward(ctx context.Context, call *admit.Call) (reply *admit.Reply, mayHaveRun bool) {
	ask := func(peer Peer) (*admit.Reply, bool) { return r.callPeer(ctx, peer, call) }
	return r.askPeers(ctx, r.Peers.Others(), call.Kind, ask)
}

// Isolated reports whether peers of other data centres were asked lately and none of them was reached.
func (r *Relay) Isolated() bool {
	remote := slices.DeleteFunc(r.Peers.Others(), func(peer Peer) bool { return peer.DataCentre == r.Peers.Self.DataCentre })
	return r.recent.noneReached(remote, r.Now())
}

// askPeers calls ask for peersAsked peers at a time, those that gave a conclusive reply lately first; ask also returns whether
// the peer was reached. It returns the first success, or a refusal once all peers that were asked have replied, as one of
// them may have executed the request. Requests that change nothing need no such wait.
func (r *Relay) askPeers(ctx context.Context, peers []Peer, kind admit.Kind, ask func(Peer) (*admit.Reply, bool)) (reply *admit.Reply, mayHaveRun bool) {
	started := r.Now()
	peers = r.recent.choose(peers, peersAsked, maxPeersAsked, started)
	replies := make(chan *admit.Reply, len(peers))
	next := func() {
		peer := peers[0]
		peers = peers[1:]
		go func() {
			answer, reached := ask(peer)
			// A call that was abandoned since another peer had replied says nothing about this peer.
			if ctx.Err() == nil {
				r.recent.note(peer.Name, recentReply{at: r.Now(), reached: reached, conclusive: conclusive(answer)})
			}
			replies <- answer
		}()
	}
	pending := min(peersAsked, len(peers))
	for range pending {
		next()
	}
	for ; pending > 0; pending-- {
		answer := <-replies
		switch {
		case conclusive(answer) && (answer.Result == admit.OK || kind == admit.State):
			return answer, true
		case conclusive(answer):
			reply = answer
		default:
			mayHaveRun = mayHaveRun || answer == nil || answer.Result == admit.Unknown
		}
		if reply == nil && len(peers) > 0 && ctx.Err() == nil && r.Now().Sub(started) < askFor {
			next()
			pending++
		}
	}
	return reply, mayHaveRun
}

// conclusive reports whether another peer could give no better reply.
func conclusive(reply *admit.Reply) bool {
	return reply != nil && reply.Result != admit.Refused && reply.Result != admit.Unknown
}

// callPeer returns the peer's reply, a refusal if the peer can't be reached, or nil if the call failed after it may have
// been executed; reached is true for the first of them.
func (r *Relay) callPeer(ctx context.Context, peer Peer, call *admit.Call) (reply *admit.Reply, reached bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fields := event.Fields{"peer": peer.Name, "job": call.Caller.Path}
	defer func() { r.Log.Emit(event.Relayed, fields) }()
	answer, err := link.Invoke[admit.Call, admit.Reply](callCtx, r.Client, peer.Address, methodAdmit, call)
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		fields["error"] = err.Error()
		return &admit.Reply{Result: admit.Refused, Why: "the peer can't be reached"}, false
	}
	if err != nil {
		fields["error"] = err.Error()
		return nil, false
	}
	fields["result"] = answer.Result.String()
	return answer, true
}
