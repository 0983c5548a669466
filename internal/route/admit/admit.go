package admit

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Result -transform=title-lower

// Result is the outcome of a call as it is returned to the caller.
type Result int

// The results. Refused is definite: the call has not created a job and never will.
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

// Reply is the result of a call with its details.
type Reply struct {
	Result Result
	// Why explains the result; it is empty if there is nothing to explain.
	Why string
	// RetryAfter is how long a refused caller should wait before it tries again; zero if a retry would not help.
	RetryAfter time.Duration
	Phase      work.Phase
	Pending    int
	// Version is the configuration version of the peer that made a relayed reply; zero in other replies.
	Version int64
}

// Caller holds the host, path and API key of a caller's request.
type Caller struct {
	Host string
	Path string
	Key  string
}

const (
	// retryAfter is sent to callers while the key-value store or the policy is unavailable; outages last seconds.
	retryAfter = time.Second
	// retryPause is the wait before a store call that failed or whose response was lost is repeated.
	retryPause = 20 * time.Millisecond
	// callTimeout limits one call to the key-value store; it is 250 times the usual response time.
	callTimeout = time.Second
	// firstTryTimeout is how long the key-value store is tried before a peer is asked; a store that is 100 times slower than
	// usual still responds within it.
	firstTryTimeout = 450 * time.Millisecond
	// slowResponse is the response time above which the store counts as slow, 10 times the usual; recentResponse is how recent
	// such a response must be, two intervals between reads of the configuration.
	slowResponse   = 40 * time.Millisecond
	recentResponse = time.Second
)

// Service accepts and cancels jobs and reports their state for callers.
type Service struct {
	Store  store.Transactor
	Policy *policy.Holder
	// MaxPolicyAge is the maximum age of the policy's last confirmation at which a key is accepted.
	MaxPolicyAge time.Duration
	// MaxValueBytes is the size of the largest value that the store accepts; zero stands for store.DefaultMaxValueBytes.
	MaxValueBytes int
	// UnservableReason returns why no worker of the service could ever run the job, or an empty string; nil skips
	// the check.
	UnservableReason func(ctx context.Context, service string, spec *work.Spec) string
	// Ping is a cheap call that learns whether the store responds; nil stands for a read of one key.
	Ping func(ctx context.Context) error
	// Relay forwards requests to other instances; it may be nil.
	Relay Relay
	// Ends is asked for the ends of jobs while their records can't be read; it may be nil.
	Ends Ends
	// OnAccepted is called for each created job with its stored spec and its revision; it must not block. It may be nil.
	OnAccepted func(job string, spec []byte, revision int64)
	Log        *event.Log
	Meter      *meter.Metrics
	// Now is a monotonic clock, WallNow the time of day.
	Now     func() time.Time
	WallNow func() time.Time

	// shownVersion is the newest configuration version that a relayed reply to a caller of this instance was based on.
	shownVersion atomic.Int64
}

// target is the queue, the workspace and the job that a call refers to; jobID is empty if the call refers to the queue.
type target struct {
	queue     *policy.Queue
	workspace string
	cap       group.Resources
	jobID     string
	guard     store.Expectation
}

// resolve finds the queue and the workspace of the call, or returns the reply that refuses it.
func (s *Service) resolve(caller Caller, now time.Time) (target, *Reply) {
	snapshot, confirmedAt := s.Policy.Current()
	if snapshot.Policy == nil {
		return target{}, &Reply{Result: Refused, Why: "no configuration yet", RetryAfter: retryAfter}
	}
	if shown := s.shownVersion.Load(); snapshot.Policy.Version < shown {
		why := fmt.Sprintf("version %d of the configuration is in force, which has not come here yet", shown)
		return target{}, &Reply{Result: Refused, Why: why, RetryAfter: retryAfter}
	}
	if age := now.Sub(confirmedAt); age > s.MaxPolicyAge {
		return target{}, &Reply{Result: Refused, Why: "the configuration in force was last confirmed " + age.Round(time.Millisecond).String() + " ago", RetryAfter: retryAfter}
	}
	queue, jobID := snapshot.Policy.Match(caller.Host, caller.Path)
	if queue == nil {
		return target{}, &Reply{Result: NoQueue, Why: "no queue has this host and path"}
	}
	t := target{queue: queue, jobID: jobID, guard: snapshot.Guard}
	ws := snapshot.Policy.Workspace(caller.Key)
	if ws != nil {
		t.workspace, t.cap = ws.Name, ws.Cap
	} else if !queue.Public {
		return target{}, &Reply{Result: BadKey, Why: "the key belongs to no workspace"}
	}
	return t, nil
}

// MaxBody returns the maximum size of a request body in bytes; zero means no limit.
func (s *Service) MaxBody() int {
	snapshot, _ := s.Policy.Current()
	if snapshot.Policy == nil {
		return 0
	}
	return snapshot.Policy.MaxBodyBytes
}

// Submit creates a job; further calls with the same ID return OK and change nothing.
func (s *Service) Submit(ctx context.Context, caller Caller, spec *work.Spec) Reply {
	started := s.Now()
	reply := s.submit(ctx, caller, spec)
	s.report(event.Admitted, "submit", spec.Job, started, reply)
	return reply
}

// submit tries this instance and then a peer, or the peer first if the last read of the configuration failed. If the job may
// have been created by then, it tries this instance until ctx ends.
func (s *Service) submit(ctx context.Context, caller Caller, spec *work.Spec) Reply {
	if s.isolated() {
		return isolatedReply()
	}
	a := &attempts{}
	call := &Call{Kind: Submit, Caller: caller, Spec: spec}
	if s.Policy.Failing() && s.Relay != nil {
		if relayed, final := s.forward(ctx, call, a); final {
			return relayed
		}
		if s.isolated() && !a.unknown {
			return isolatedReply()
		}
		return s.submitLocally(ctx, caller, spec, a)
	}
	firstCtx, cancel := context.WithTimeout(ctx, 2*firstTryTimeout)
	reply := s.submitLocally(firstCtx, caller, spec, a)
	cancel()
	if !reply.worthRelaying() || a.settled || reply.Result == Refused && reply.RetryAfter == 0 {
		return reply
	}
	if relayed, final := s.forward(ctx, call, a); final {
		return relayed
	}
	if !a.unknown {
		return reply
	}
	return s.submitLocally(ctx, caller, spec, a)
}

// submitLocally creates the job in the key-value store. If an attempt may have created it, the job is tried again until ctx ends.
func (s *Service) submitLocally(ctx context.Context, caller Caller, spec *work.Spec, a *attempts) Reply {
	ctx = store.From(ctx, store.Submit)
	for {
		reply, done := s.trySubmit(ctx, caller, spec, a)
		if done {
			return reply
		}
		if a.unknown {
			pause.For(ctx, retryPause)
		}
		switch {
		case ctx.Err() == nil:
		case a.unknown:
			return reply
		default:
			return Reply{Result: Refused, Why: "no time left", RetryAfter: retryAfter}
		}
	}
}

// trySubmit makes one attempt to create the job; done is false if another one is worthwhile.
func (s *Service) trySubmit(ctx context.Context, caller Caller, spec *work.Spec, a *attempts) (reply Reply, done bool) {
	t, refusal := s.admissible(ctx, caller, spec, a)
	switch {
	case refusal != nil && a.unknown:
		return s.settle(ctx, work.SpecKey(jobOf(caller.Path)), a, *refusal)
	case refusal != nil:
		return *refusal, true
	}
	err := s.create(ctx, t, spec)
	var refusedErr *store.RefusedError
	var rejectedErr *store.RejectedError
	var lostErr *store.LostError
	switch {
	case err == nil:
		return Reply{Result: OK}, true
	case errors.As(err, &rejectedErr) && a.unknown:
		return s.settle(ctx, work.SpecKey(spec.Job), a, Reply{Result: BadRequest, Why: err.Error()})
	case errors.As(err, &rejectedErr):
		return Reply{Result: BadRequest, Why: err.Error()}, true
	case errors.As(err, &refusedErr) && refusedErr.Current(work.SpecKey(spec.Job)).Revision != 0:
		return Reply{Result: OK, Why: "known already"}, true
	case errors.As(err, &refusedErr):
		if err := s.Policy.Refresh(ctx); err != nil && !a.unknown {
			return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}, true
		}
	case errors.As(err, &lostErr):
		a.lost(t.guard)
	case !a.unknown:
		return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}, true
	}
	return Reply{Result: Unknown, Why: err.Error()}, false
}

// admissible finds where the job belongs and completes its spec, or returns the reply that refuses it. Once an attempt may have
// created the job, it does not check again whether any worker could run it and whether the store responds.
func (s *Service) admissible(ctx context.Context, caller Caller, spec *work.Spec, a *attempts) (target, *Reply) {
	t, refusal := s.resolve(caller, s.Now())
	if refusal != nil {
		return target{}, refusal
	}
	if !work.ValidID(t.jobID) {
		return target{}, &Reply{Result: BadRequest, Why: "a job ID has 16 hexadecimal digits"}
	}
	spec.Job, spec.Workspace, spec.Queue, spec.Accepted = t.jobID, t.workspace, t.queue.Name, s.WallNow()
	spec.Config = &work.QueueConfig{
		Service: t.queue.Service, Priority: t.queue.Priority, MaxAttempts: t.queue.MaxAttempts, Stretch: t.queue.Stretch, Target: t.queue.Target,
	}
	if t.cap != (group.Resources{}) {
		spec.Config.Cap = &work.Cap{MilliCores: t.cap.MilliCores, MemoryMB: t.cap.MemoryMB, Accelerators: t.cap.Accelerators}
	}
	if err := spec.Check(); err != nil {
		return target{}, &Reply{Result: BadRequest, Why: err.Error()}
	}
	if a.unknown {
		return t, nil
	}
	if err := spec.CheckAccepted(cmp.Or(s.MaxValueBytes, store.DefaultMaxValueBytes)); err != nil {
		return target{}, &Reply{Result: BadRequest, Why: err.Error()}
	}
	if why := group.AboveCap(spec, t.cap); why != "" {
		return target{}, &Reply{Result: BadRequest, Why: why}
	}
	if s.UnservableReason != nil {
		if why := s.UnservableReason(ctx, t.queue.Service, spec); why != "" {
			return target{}, &Reply{Result: BadRequest, Why: why}
		}
	}
	if err := s.checkStore(ctx); err != nil {
		return target{}, &Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}
	}
	return t, nil
}

// checkStore checks that the key-value store responds before a write is sent to it. A job that was never sent can be refused
// immediately, while a lost response keeps its caller waiting until the request's deadline.
//
// A store that was slow but responded recently is not checked, as each response takes most of the time that a quick job has.
func (s *Service) checkStore(ctx context.Context) error {
	if answered, took := s.Policy.LastRead(); took > slowResponse && s.Now().Sub(answered) < recentResponse {
		return nil
	}
	callCtx, cancel := context.WithTimeout(store.From(ctx, store.Check), firstTryTimeout)
	defer cancel()
	if s.Ping != nil {
		return s.Ping(callCtx)
	}
	_, err := s.Store.Item(callCtx, work.OwnerKey)
	return err
}

func (s *Service) create(ctx context.Context, t target, spec *work.Spec) error {
	data, err := spec.Encode()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := s.Store.Commit(callCtx, store.Transaction{
		Expected: []store.Expectation{{Key: work.SpecKey(spec.Job)}, t.guard},
		Writes:   []store.Write{{Key: work.SpecKey(spec.Job), Data: data}, {Key: work.WaitKey(spec.Queue, spec.Job)}},
	})
	if err == nil && s.OnAccepted != nil {
		s.OnAccepted(spec.Job, data, revision)
	}
	return err
}

// Cancel records that the job must not start or continue.
func (s *Service) Cancel(ctx context.Context, caller Caller) Reply {
	started := s.Now()
	reply := s.localOrRelayed(ctx, &Call{Kind: Cancel, Caller: caller})
	s.report(event.Cancelled, "cancel", caller.Path, started, reply)
	return reply
}

// cancelLocally records the cancellation in the key-value store. A repeated cancel has no further effect, so it is tried until ctx
// ends.
func (s *Service) cancelLocally(ctx context.Context, caller Caller, a *attempts) Reply {
	ctx = store.From(ctx, store.Cancel)
	for {
		reply, done := s.tryCancel(ctx, caller, a)
		if done || !pause.For(ctx, retryPause) {
			return reply
		}
	}
}

// tryCancel makes one attempt to record the cancellation; done is false if another one is worthwhile.
func (s *Service) tryCancel(ctx context.Context, caller Caller, a *attempts) (reply Reply, done bool) {
	t, refusal := s.resolve(caller, s.Now())
	switch {
	case refusal != nil && a.unknown:
		return s.settle(ctx, work.CancelKey(jobOf(caller.Path)), a, *refusal)
	case refusal != nil:
		return *refusal, true
	case !work.ValidID(t.jobID):
		return Reply{Result: Gone}, true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	_, err := s.Store.Commit(callCtx, store.Transaction{
		Expected: []store.Expectation{t.guard},
		Writes:   []store.Write{{Key: work.CancelKey(t.jobID)}},
	})
	cancel()
	var refusedErr *store.RefusedError
	var rejectedErr *store.RejectedError
	var lostErr *store.LostError
	switch {
	case err == nil:
		return Reply{Result: OK}, true
	case errors.As(err, &rejectedErr) && a.unknown:
		return s.settle(ctx, work.CancelKey(t.jobID), a, Reply{Result: BadRequest, Why: err.Error()})
	case errors.As(err, &rejectedErr):
		return Reply{Result: BadRequest, Why: err.Error()}, true
	case errors.As(err, &lostErr):
		a.lost(t.guard)
	case errors.As(err, &refusedErr):
		if err := s.Policy.Refresh(ctx); err != nil && !a.unknown {
			return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}, true
		}
	}
	return Reply{Result: Unknown, Why: err.Error()}, false
}

// State returns the phase of the job, or the number of pending jobs if the path names a queue.
func (s *Service) State(ctx context.Context, caller Caller) Reply {
	started := s.Now()
	reply := s.localOrRelayed(ctx, &Call{Kind: State, Caller: caller})
	s.report(event.Asked, "state", caller.Path, started, reply)
	if reply.Result == OK && reply.Phase.Final() {
		s.Log.Emit(event.JobShown, event.Fields{"job": caller.Path[strings.LastIndexByte(caller.Path, '/')+1:], "phase": reply.Phase.String()})
	}
	return reply
}

func (s *Service) stateLocally(ctx context.Context, caller Caller) Reply {
	ctx = store.From(ctx, store.State)
	t, refusal := s.resolve(caller, s.Now())
	if refusal != nil {
		return *refusal
	}
	return s.retryRead(ctx, func(callCtx context.Context) (Reply, error) {
		if t.jobID == "" {
			items, _, err := s.Store.Range(callCtx, work.WaitPrefix+t.queue.Name+"/")
			return Reply{Result: OK, Pending: len(items)}, err
		}
		return s.readState(callCtx, t.jobID)
	})
}

// retryRead repeats a read until it succeeds or ctx ends.
func (s *Service) retryRead(ctx context.Context, read func(context.Context) (Reply, error)) Reply {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := read(callCtx)
		cancel()
		if err == nil {
			return reply
		}
		if !pause.For(ctx, retryPause) {
			return Reply{Result: Refused, Why: err.Error(), RetryAfter: retryAfter}
		}
	}
}

func (s *Service) readState(ctx context.Context, job string) (Reply, error) {
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

// report logs the reply, counts it by result and records how long the call took.
func (s *Service) report(kind event.Kind, operation, job string, started time.Time, reply Reply) {
	took := s.Now().Sub(started)
	s.Meter.Count(operation + "." + reply.Result.String())
	s.Meter.Quick.Record(took)
	fields := event.Fields{"job": job, "result": reply.Result.String(), "took": took.Round(time.Microsecond).String()}
	if reply.Why != "" {
		fields["why"] = reply.Why
	}
	if reply.Result == OK && operation == "state" {
		fields["phase"] = reply.Phase.String()
	}
	s.Log.Emit(kind, fields)
}
