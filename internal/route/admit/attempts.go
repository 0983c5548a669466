package admit

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// settlePause is the wait before another read to settle a call that can't be tried again for now.
const settlePause = 100 * time.Millisecond

// attempts is what the attempts to execute one call may have caused. The answer to the caller covers all of them: once one may
// have taken effect, a refusal of another one is not final, whoever gives it.
type attempts struct {
	// unknown is true if an attempt may have taken effect, or may still do so.
	unknown bool
	// byPeer is true if a peer made such an attempt, with a guard that is not known here.
	byPeer bool
	// guard is the latest expectation on which such an attempt of this instance depends.
	guard store.Expectation
	// settled is true once nothing more can be found out about them.
	settled bool
}

// lost records an attempt of this instance without a response.
func (a *attempts) lost(guard store.Expectation) {
	a.unknown = true
	if guard.Revision > a.guard.Revision {
		a.guard = guard
	}
}

// relayed records a call to peers that one of them may have executed.
func (a *attempts) relayed() { a.unknown, a.byPeer = true, true }

// failed reports whether an attempt that had no effect until the guard was read can't have one any more.
func (a *attempts) failed(guard store.Expectation) bool {
	return !a.byPeer && guard.Key == a.guard.Key && guard.Revision > a.guard.Revision
}

// settle reads the key that the call writes, after a refusal that follows attempts with an unknown outcome. It returns OK if the
// key exists, the refusal if no attempt can take effect any more, and otherwise Unknown; done is false if the call is worth
// another attempt.
func (s *Service) settle(ctx context.Context, key string, a *attempts, refusal Reply) (reply Reply, done bool) {
	// A write that depends on an older guard is not executed after this one was read, so the read below is newer.
	snapshot, _ := s.Policy.Current()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	item, err := s.Store.Item(callCtx, key)
	cancel()
	switch {
	case err != nil:
	case item.Revision != 0:
		return Reply{Result: OK, Why: "known already"}, true
	case refusal.Result == Refused:
	case a.failed(snapshot.Guard):
		return refusal, true
	default:
		a.settled = true
		return unknownReply(refusal.Why), true
	}
	pause.For(ctx, settlePause)
	return unknownReply(refusal.Why), false
}

// unknownReply is the answer to a call that may have taken effect and can't be tried again.
func unknownReply(why string) Reply {
	return Reply{Result: Unknown, Why: "an earlier attempt may have taken effect, and the call could not be tried again: " + why}
}

// jobOf returns the ID at the end of the path, or an empty string; the queue may have been removed since the ID was found.
func jobOf(path string) string {
	id := path[max(len(path)-work.IDLength, 0):]
	if !work.ValidID(id) {
		return ""
	}
	return id
}
