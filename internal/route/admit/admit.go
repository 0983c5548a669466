package admit

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Result -transform=title-lower

// Result is what a caller is told.
type Result int

// The results. Refused is true: the job was not taken in and never will be by this call.
const (
	OK Result = iota
	Gone
	NoQueue
	BadKey
	BadRequest
	Refused
	// Unknown means that the call may have taken effect.
	Unknown
)

// Reply is a result with its details.
type Reply struct {
	Result Result
	// Why says more about a refusal.
	Why string
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	Phase      work.Phase
	Pending    int
	// Version is the configuration's version at the peer that made a relayed reply; zero in other replies.
	Version int64
}

// Caller is who calls, and with which key.
type Caller struct {
	Host string
	Path string
	Key  string
}

const (
	// retryAfter is told to callers while the key-value service or the policy can't be had; outages last seconds.
	retryAfter = time.Second
	// settlePause is the wait between tries to settle a lost answer.
	settlePause = 20 * time.Millisecond
	// callTimeout bounds one call to the key-value service; it is 250 times the usual answer.
	callTimeout = time.Second
	// firstTry is how long the key-value service is tried before a peer is asked: a store that is slow by a hundred times
	// answers in it.
	firstTry = 450 * time.Millisecond
	// slowAnswer is how long the service takes to answer when it counts as slow, ten times the usual; answeredLately is how
	// recent that answer must be, two reads of the configuration.
	slowAnswer     = 40 * time.Millisecond
	answeredLately = time.Second
)

// Service answers callers.
type Service struct {
	Store  store.Transactor
	Policy *policy.Holder
	// MaxAge is the oldest proof of the policy under which a key is accepted.
	MaxAge time.Duration
	// Servable returns why no worker of the service could ever run the job, or nothing; nil if that is not known.
	Servable func(ctx context.Context, service string, spec *work.Spec) string
	// Relay reaches other instances, or is nil.
	Relay Relay
	// Accepted is told of each job that was created, with its stored spec and its revision; it must not wait. It may be nil.
	Accepted func(job string, spec []byte, revision int64)
	Log      *event.Log
	Meter    *meter.Set
	// Now is the steady clock, WallNow the time of day.
	Now     func() time.Time
	WallNow func() time.Time

	// shown is the newest version of the configuration that a relayed reply has shown to a caller of this instance.
	shown atomic.Int64
}

// target is a call whose queue and workspace are known.
type target struct {
	queue     *policy.Queue
	workspace string
	rest      string
	guard     store.Expectation
}

// resolve finds queue and workspace, or the reply that refuses the call.
func (s *Service) resolve(caller Caller, now time.Time) (target, *Reply) {
	snapshot, proved := s.Policy.Current()
	if snapshot.Policy == nil {
		return target{}, &Reply{Result: Refused, Why: "no configuration yet", RetryAfter: retryAfter}
	}
	if shown := s.shown.Load(); snapshot.Policy.Version < shown {
		why := fmt.Sprintf("version %d of the configuration is in force, which has not come here yet", shown)
		return target{}, &Reply{Result: Refused, Why: why, RetryAfter: retryAfter}
	}
	if age := now.Sub(proved); age > s.MaxAge {
		return target{}, &Reply{Result: Refused, Why: "the configuration in force was last confirmed " + age.Round(time.Millisecond).String() + " ago", RetryAfter: retryAfter}
	}
	queue, rest := snapshot.Policy.Match(caller.Host, caller.Path)
	if queue == nil {
		return target{}, &Reply{Result: NoQueue, Why: "no queue has this host and path"}
	}
	t := target{queue: queue, rest: rest, guard: snapshot.Guard}
	ws := snapshot.Policy.Workspace(caller.Key)
	if ws != nil {
		t.workspace = ws.Name
	} else if !queue.Public {
		return target{}, &Reply{Result: BadKey, Why: "the key belongs to no workspace"}
	}
	return t, nil
}

// MaxBody returns the most bytes that a request's body may have; zero means no bound.
func (s *Service) MaxBody() int {
	snapshot, _ := s.Policy.Current()
	if snapshot.Policy == nil {
		return 0
	}
	return snapshot.Policy.MaxBody
}

// Submit takes in a job once, however often it is called with the same ID.
func (s *Service) Submit(ctx context.Context, caller Caller, spec *work.Spec) Reply {
	started := s.Now()
	reply := s.submit(ctx, caller, spec)
	s.report(event.Admitted, "submit", spec.Job, started, reply)
	return reply
}

// submit tries here, unless the last read failed, then through a peer, and then here until the time is over if the job may
// have been created.
func (s *Service) submit(ctx context.Context, caller Caller, spec *work.Spec) Reply {
	if s.Policy.Failing() && s.Relay != nil {
		relayed, tried := s.forward(ctx, &Call{Kind: Submit, Caller: caller, Spec: spec})
		if relayed != nil {
			return *relayed
		}
		return s.submitHere(ctx, caller, spec, tried)
	}
	first, done := context.WithTimeout(ctx, 2*firstTry)
	reply := s.submitHere(first, caller, spec, false)
	done()
	if !reply.local() {
		return reply
	}
	if reply.Result == Refused && reply.RetryAfter == 0 {
		return reply
	}
	relayed, tried := s.forward(ctx, &Call{Kind: Submit, Caller: caller, Spec: spec})
	if relayed != nil {
		return *relayed
	}
	if reply.Result == Refused && !tried {
		return reply
	}
	return s.submitHere(ctx, caller, spec, true)
}

// submitHere creates the job in the key-value service; mayBeDone is true if an earlier try may have done so.
func (s *Service) submitHere(ctx context.Context, caller Caller, spec *work.Spec, mayBeDone bool) Reply {
	for {
		t, refusal := s.resolve(caller, s.Now())
		if refusal != nil && !mayBeDone {
			return *refusal
		}
		err := error(refusalError{})
		if refusal == nil {
			if !work.ValidID(t.rest) {
				return Reply{Result: BadRequest, Why: "a job ID has 16 hexadecimal digits"}
			}
			spec.Job, spec.Workspace, spec.Queue, spec.Accepted = t.rest, t.workspace, t.queue.Name, s.WallNow()
			if err := spec.Check(); err != nil {
				return Reply{Result: BadRequest, Why: err.Error()}
			}
			if s.Servable != nil && !mayBeDone {
				if why := s.Servable(ctx, t.queue.Service, spec); why != "" {
					return Reply{Result: BadRequest, Why: why}
				}
			}
			if !mayBeDone {
				if err := s.alive(ctx); err != nil {
					return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}
				}
			}
			err = s.create(ctx, t, spec)
		}
		var refused *store.RefusedError
		var lost *store.LostError
		switch {
		case err == nil:
			return Reply{Result: OK}
		case errors.As(err, &refused) && refused.Current(work.SpecKey(spec.Job)).Revision != 0:
			return Reply{Result: OK, Why: "known already"}
		case errors.As(err, &refused):
			if err := s.Policy.Refresh(ctx); err != nil && !mayBeDone {
				return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}
			}
		case errors.As(err, &lost):
			mayBeDone = true
		case !mayBeDone:
			return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}
		}
		if mayBeDone && !pause.For(ctx, settlePause) {
			return Reply{Result: Unknown, Why: err.Error()}
		}
		if ctx.Err() != nil {
			return Reply{Result: Refused, Why: "no time left", RetryAfter: retryAfter}
		}
	}
}

// refusalError stands for a call that could not be tried again.
type refusalError struct{}

// Error says so.
func (refusalError) Error() string { return "the call could not be tried again" }

// alive makes sure that the key-value service answers before a write is sent to it: a job that was never sent can be
// refused at once, while one whose answer is lost holds its caller until the time is over.
//
// A service that was slow and has just answered is not asked again, as each answer takes most of what a quick job has.
func (s *Service) alive(ctx context.Context) error {
	if answered, took := s.Policy.Answered(); took > slowAnswer && s.Now().Sub(answered) < answeredLately {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, firstTry)
	defer cancel()
	_, err := s.Store.Item(call, work.OwnerKey)
	return err
}

func (s *Service) create(ctx context.Context, t target, spec *work.Spec) error {
	data, err := spec.Encode()
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := s.Store.Commit(call, store.Transaction{
		Expected: []store.Expectation{{Key: work.SpecKey(spec.Job)}, t.guard},
		Writes:   []store.Write{{Key: work.SpecKey(spec.Job), Data: data}, {Key: work.WaitKey(spec.Queue, spec.Job)}},
	})
	if err == nil && s.Accepted != nil {
		s.Accepted(spec.Job, data, revision)
	}
	return err
}

// Cancel records that the job must not go on.
func (s *Service) Cancel(ctx context.Context, caller Caller) Reply {
	started := s.Now()
	reply := s.hereOrThere(ctx, &Call{Kind: Cancel, Caller: caller})
	s.report(event.Cancelled, "cancel", caller.Path, started, reply)
	return reply
}

func (s *Service) cancelHere(ctx context.Context, caller Caller) Reply {
	t, refusal := s.resolve(caller, s.Now())
	if refusal != nil {
		return *refusal
	}
	if !work.ValidID(t.rest) {
		return Reply{Result: Gone}
	}
	for {
		call, done := context.WithTimeout(ctx, callTimeout)
		_, err := s.Store.Commit(call, store.Transaction{
			Expected: []store.Expectation{t.guard},
			Writes:   []store.Write{{Key: work.CancelKey(t.rest)}},
		})
		done()
		var refused *store.RefusedError
		switch {
		case err == nil:
			return Reply{Result: OK}
		case errors.As(err, &refused):
			if err := s.Policy.Refresh(ctx); err != nil {
				return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}
			}
			snapshot, _ := s.Policy.Current()
			t.guard = snapshot.Guard
		}
		// Cancelling twice does no harm, so any failure may be tried again.
		if !pause.For(ctx, settlePause) {
			return Reply{Result: Unknown, Why: ctx.Err().Error()}
		}
	}
}

// State answers how far the job is.
func (s *Service) State(ctx context.Context, caller Caller) Reply {
	started := s.Now()
	reply := s.hereOrThere(ctx, &Call{Kind: State, Caller: caller})
	s.report(event.Asked, "state", caller.Path, started, reply)
	return reply
}

func (s *Service) stateHere(ctx context.Context, caller Caller) Reply {
	t, refusal := s.resolve(caller, s.Now())
	if refusal != nil {
		return *refusal
	}
	return s.untilRead(ctx, func(call context.Context) (Reply, error) {
		if t.rest == "" {
			items, _, err := s.Store.Range(call, work.WaitPrefix+t.queue.Name+"/")
			return Reply{Result: OK, Pending: len(items)}, err
		}
		return s.state(call, t.rest)
	})
}

// untilRead tries a read again until it succeeds or ctx ends.
func (s *Service) untilRead(ctx context.Context, read func(context.Context) (Reply, error)) Reply {
	for {
		call, done := context.WithTimeout(ctx, callTimeout)
		reply, err := read(call)
		done()
		if err == nil {
			return reply
		}
		if !pause.For(ctx, settlePause) {
			return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}
		}
	}
}

func (s *Service) state(ctx context.Context, job string) (Reply, error) {
	if !work.ValidID(job) {
		return Reply{Result: Gone}, nil
	}
	item, err := s.Store.Item(ctx, work.RecordKey(job))
	if err != nil {
		return Reply{}, err
	}
	if item.Revision == 0 {
		spec, err := s.Store.Item(ctx, work.SpecKey(job))
		if err != nil {
			return Reply{}, err
		}
		if spec.Revision == 0 {
			return Reply{Result: Gone}, nil
		}
		return Reply{Result: OK, Phase: work.Queued}, nil
	}
	record, err := work.DecodeRecord(item.Data)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Result: OK, Phase: record.Phase}, nil
}

// report logs and counts the reply.
func (s *Service) report(kind event.Kind, call, job string, started time.Time, reply Reply) {
	took := s.Now().Sub(started)
	s.Meter.Count(call + "." + reply.Result.String())
	s.Meter.Quick.Add(took)
	fields := event.Fields{"job": job, "result": reply.Result.String(), "took": took.Round(time.Microsecond).String()}
	if reply.Why != "" {
		fields["why"] = reply.Why
	}
	if reply.Result == OK && call == "state" {
		fields["phase"] = reply.Phase.String()
	}
	s.Log.Emit(kind, fields)
}
