package admit

import (
	"context"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Kind -transform=title-lower

// Kind is what a caller wants.
type Kind int

// The kinds.
const (
	Submit Kind = iota
	Cancel
	State
)

// Call is a caller's request as it goes to a peer.
type Call struct {
	Kind   Kind
	Caller Caller
	Spec   *work.Spec
}

// Relay carries requests to other instances.
type Relay interface {
	// Forward returns a reply that settles the request, or nil; tried is true if a peer may have carried it out.
	Forward(ctx context.Context, call *Call) (reply *Reply, tried bool)
}

// local reports whether another instance may do better.
func (r Reply) local() bool { return r.Result == Refused || r.Result == Unknown }

func (s *Service) forward(ctx context.Context, call *Call) (*Reply, bool) {
	if s.Relay == nil {
		return nil, false
	}
	return s.Relay.Forward(ctx, call)
}

// Admit carries out a peer's request here, within the time of a first try; it refuses at once while this instance is as badly
// placed as the peer.
func (s *Service) Admit(ctx context.Context, call *Call) (*Reply, error) {
	if s.Policy.Failing() {
		return &Reply{Result: Refused, Why: "this instance is cut off, too", RetryAfter: retryAfter}, nil
	}
	first, done := context.WithTimeout(ctx, 2*firstTry)
	defer done()
	reply := s.here(first, call)
	return &reply, nil
}

func (s *Service) here(ctx context.Context, call *Call) Reply {
	switch call.Kind {
	case Submit:
		if call.Spec == nil {
			return Reply{Result: BadRequest, Why: "no job"}
		}
		return s.submitHere(ctx, call.Caller, call.Spec, false)
	case Cancel:
		return s.cancelHere(ctx, call.Caller)
	default:
		return s.stateHere(ctx, call.Caller)
	}
}

// hereOrThere carries out a request that may be repeated: here, then through a peer, then here until the time is over.
func (s *Service) hereOrThere(ctx context.Context, call *Call) Reply {
	if !s.Policy.Failing() {
		first, done := context.WithTimeout(ctx, firstTry)
		reply := s.here(first, call)
		done()
		if !reply.local() {
			return reply
		}
	}
	if relayed, _ := s.forward(ctx, call); relayed != nil {
		return *relayed
	}
	return s.here(ctx, call)
}
