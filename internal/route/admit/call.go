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
	// Version is the newest version of the configuration that the caller may have seen the effect of; a peer with an older one
	// must not answer.
	Version int64
}

// Relay carries requests to other instances.
type Relay interface {
	// Forward returns a reply that settles the request, or nil; tried is true if a peer may have carried it out.
	Forward(ctx context.Context, call *Call) (reply *Reply, tried bool)
}

// local reports whether another instance may do better.
func (r Reply) local() bool { return r.Result == Refused || r.Result == Unknown }

// forward asks peers. What their newer configuration has shown to a caller is not taken back by the older one here.
func (s *Service) forward(ctx context.Context, call *Call) (*Reply, bool) {
	if s.Relay == nil {
		return nil, false
	}
	call.Version = max(s.version(), s.shown.Load())
	reply, tried := s.Relay.Forward(ctx, call)
	if reply != nil {
		s.show(reply.Version)
	}
	return reply, tried
}

// version returns the version of the configuration in force here, zero before the first.
func (s *Service) version() int64 {
	snapshot, _ := s.Policy.Current()
	if snapshot.Policy == nil {
		return 0
	}
	return snapshot.Policy.Version
}

// show notes that a caller has seen the effect of the version.
func (s *Service) show(version int64) {
	for shown := s.shown.Load(); shown < version; shown = s.shown.Load() {
		if s.shown.CompareAndSwap(shown, version) {
			return
		}
	}
}

// Admit carries out a peer's request here, within the time of a first try; it refuses at once while this instance is as badly
// placed as the peer, or knows an older configuration.
func (s *Service) Admit(ctx context.Context, call *Call) (*Reply, error) {
	if s.Policy.Failing() {
		return &Reply{Result: Refused, Why: "this instance is cut off, too", RetryAfter: retryAfter}, nil
	}
	if s.version() < call.Version {
		return &Reply{Result: Refused, Why: "the configuration here is older", RetryAfter: retryAfter}, nil
	}
	first, done := context.WithTimeout(ctx, 2*firstTry)
	defer done()
	reply := s.here(first, call)
	reply.Version = s.version()
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
