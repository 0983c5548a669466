package admit

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Ends gives access to what the owner knows and has not recorded.
type Ends interface {
	// End returns the final phase of a job that no later owner contradicts, or false if there is none.
	End(ctx context.Context, job string) (work.Phase, bool)
}

// endInterval is the time between questions to the owner while a caller waits for the state of a job.
const endInterval = 250 * time.Millisecond

// awaitState reads the state, and asks the owner for the end in between, until one of them succeeds, the call is refused or ctx ends.
func (s *Service) awaitState(ctx context.Context, call *Call) Reply {
	for {
		try, cancel := context.WithTimeout(ctx, endInterval)
		reply := s.stateLocally(try, call.Caller)
		expired := try.Err() != nil
		cancel()
		if !reply.worthRelaying() || !expired || ctx.Err() != nil {
			return reply
		}
		if end, ended := s.unrecordedEnd(ctx, call); ended {
			return end
		}
	}
}

// unrecordedEnd answers a question for a job that has ended from the owner's word, as its record can't be read. The caller's key is
// checked as always.
func (s *Service) unrecordedEnd(ctx context.Context, call *Call) (Reply, bool) {
	if call.Kind != State || s.Ends == nil {
		return Reply{}, false
	}
	t, refusal := s.resolve(call.Caller, s.Now())
	if refusal != nil || !work.ValidID(t.jobID) {
		return Reply{}, false
	}
	phase, ended := s.Ends.End(ctx, t.jobID)
	if !ended {
		return Reply{}, false
	}
	return Reply{Result: OK, Why: "the end is not on record yet", Phase: phase}, true
}
