package admit

import (
	"context"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Kind -transform=title-lower

// Kind is the operation that a caller requests.
type Kind int

// The operations on jobs.
const (
	Submit Kind = iota
	Cancel
	State
)

// Call is a caller's request as it is sent to a peer.
type Call struct {
	Kind   Kind
	Caller Caller
	Spec   *work.Spec
	// Version is the newest configuration version whose effect the caller may have seen; a peer with an older one must refuse.
	Version int64
}

// Relay forwards requests to other instances.
type Relay interface {
	// Forward returns a conclusive reply, or nil if no peer gave one; mayHaveRun is true if a peer may have executed the request,
	// also beside a refusal.
	Forward(ctx context.Context, call *Call) (reply *Reply, mayHaveRun bool)
	// Isolated reports whether no peer of another data centre was reached by the latest requests.
	Isolated() bool
}

// isolated reports whether this instance reaches neither the key-value store nor other data centres. Its callers are then sent
// away at once, since another instance serves them sooner than this one will.
func (s *Service) isolated() bool {
	return s.Relay != nil && s.Policy.Failing() && s.Relay.Isolated()
}

// isolatedReply refuses a request of which nothing was tried.
func isolatedReply() Reply {
	return Reply{Result: Refused, Why: "this instance is cut off from the store and from other data centres", RetryAfter: retryAfter}
}

// worthRelaying reports whether another instance might give a better reply.
func (r Reply) worthRelaying() bool { return r.Result == Refused || r.Result == Unknown }

// forward sends the call to peers and remembers the configuration version of the reply, so that this instance does not
// answer later callers from an older one. The reply is final if it is a success, or if no attempt may have taken effect.
func (s *Service) forward(ctx context.Context, call *Call, a *attempts) (reply Reply, final bool) {
	if s.Relay == nil {
		return Reply{}, false
	}
	call.Version = max(s.version(), s.shownVersion.Load())
	answer, mayHaveRun := s.Relay.Forward(ctx, call)
	if answer != nil {
		s.markShown(answer.Version)
		if answer.Result == OK || call.Kind == State {
			return *answer, true
		}
	}
	if mayHaveRun {
		a.relayed()
	}
	if answer == nil || a.unknown {
		return Reply{}, false
	}
	return *answer, true
}

// version returns the version of this instance's active configuration, or zero if there is none yet.
func (s *Service) version() int64 {
	snapshot, _ := s.Policy.Current()
	if snapshot.Policy == nil {
		return 0
	}
	return snapshot.Policy.Version
}

// markShown records that a caller has seen the effect of the version.
func (s *Service) markShown(version int64) {
	for shown := s.shownVersion.Load(); shown < version; shown = s.shownVersion.Load() {
		if s.shownVersion.CompareAndSwap(shown, version) {
			return
		}
	}
}

// Admit executes a peer's request on this instance, within twice firstTryTimeout. It refuses immediately if this instance
// can't read the configuration either, or has an older version than the caller may have seen.
func (s *Service) Admit(ctx context.Context, call *Call) (*Reply, error) {
	if s.Policy.Failing() {
		return &Reply{Result: Refused, Why: "this instance is cut off, too", RetryAfter: retryAfter}, nil
	}
	if s.version() < call.Version {
		return &Reply{Result: Refused, Why: "the configuration here is older", RetryAfter: retryAfter}, nil
	}
	firstCtx, cancel := context.WithTimeout(ctx, 2*firstTryTimeout)
	defer cancel()
	reply := s.runLocally(firstCtx, call, &attempts{})
	reply.Version = s.version()
	return &reply, nil
}

func (s *Service) runLocally(ctx context.Context, call *Call, a *attempts) Reply {
	switch call.Kind {
	case Submit:
		if call.Spec == nil {
			return Reply{Result: BadRequest, Why: "no job"}
		}
		return s.submitLocally(ctx, call.Caller, call.Spec, a)
	case Cancel:
		return s.cancelLocally(ctx, call.Caller, a)
	default:
		return s.stateLocally(ctx, call.Caller)
	}
}

// localOrRelayed executes a request that may be repeated: on this instance, unless its last read of the configuration
// failed, then through a peer, and then on this instance until ctx ends. A cancellation that an earlier attempt may have
// recorded is not refused.
func (s *Service) localOrRelayed(ctx context.Context, call *Call) Reply {
	if s.isolated() {
		return isolatedReply()
	}
	a := &attempts{}
	if !s.Policy.Failing() {
		firstCtx, cancel := context.WithTimeout(ctx, firstTryTimeout)
		reply := s.runLocally(firstCtx, call, a)
		cancel()
		if !reply.worthRelaying() || a.settled {
			return reply
		}
	}
	if reply, ended := s.unrecordedEnd(ctx, call); ended {
		return reply
	}
	if relayed, final := s.forward(ctx, call, a); final {
		return relayed
	}
	if s.isolated() && (call.Kind == State || !a.unknown) {
		return isolatedReply()
	}
	if call.Kind == State && s.Ends != nil {
		return s.awaitState(ctx, call)
	}
	return s.runLocally(ctx, call, a)
}
