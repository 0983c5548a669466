package admit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

const (
	configKey = "config"
	job       = "5c0e7a21d94b36f8"
)

// policySource returns a policy with one queue; its version is the revision of configKey in the store.
type policySource struct {
	store *fake.Transactor
	keys  []string
	// limit is the cap of the workspace.
	limit group.Resources
	down  bool
	// beforeRead is called at the start of each read, if it is set.
	beforeRead func()
}

func (s *policySource) Read(ctx context.Context) (policy.Snapshot, error) {
	if s.beforeRead != nil {
		s.beforeRead()
	}
	if s.down {
		return policy.Snapshot{}, &store.UnavailableError{Cause: "down"}
	}
	item, err := s.store.Item(ctx, configKey)
	if err != nil {
		return policy.Snapshot{}, err
	}
	p := &policy.Policy{
		Version:    item.Revision,
		Queues:     []policy.Queue{{Queue: group.Queue{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3, Target: time.Second}, Host: "host", Prefix: "/plan/"}},
		Workspaces: []policy.Workspace{{Workspace: group.Workspace{Name: "alpha", Cap: s.limit}, Keys: append([]string(nil), s.keys...)}},
	}
	p.Prepare()
	return policy.Snapshot{Policy: p, Guard: store.Expectation{Key: configKey, Revision: item.Revision}}, nil
}

// fakeRelay returns a fixed reply and counts its calls.
type fakeRelay struct {
	reply *admit.Reply
	tried bool
	calls int
	// isolated is the result of Isolated after the first call.
	isolated bool
}

func (r *fakeRelay) Isolated() bool { return r.isolated && r.calls > 0 }

func (r *fakeRelay) Forward(context.Context, *admit.Call) (*admit.Reply, bool) {
	r.calls++
	return r.reply, r.tried
}

type fixture struct {
	service *admit.Service
	store   *fake.Transactor
	source  *policySource
	now     time.Time
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{store: fake.NewTransactor(), now: time.Unix(1000, 0)}
	f.source = &policySource{store: f.store, keys: []string{"key"}}
	f.store.Put(configKey, nil)
	clock := func() time.Time { return f.now }
	f.service = &admit.Service{
		Store: f.store, Policy: policy.NewHolder(f.source, clock, func(policy.Snapshot) {}), MaxPolicyAge: 3 * time.Second,
		Log: event.Discard(), Meter: meter.New(t.Name()), Now: clock, WallNow: clock,
	}
	assert.NilError(t, f.service.Policy.Refresh(t.Context()))
	return f
}

func caller() admit.Caller { return admit.Caller{Host: "host", Path: "/plan/" + job, Key: "key"} }

func spec() *work.Spec { return &work.Spec{Steps: []work.Step{{Count: 1}}} }

func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func (f *fixture) jobCreated(t *testing.T) bool {
	t.Helper()
	f.store.SetOutcomes(nil)
	item, err := f.store.Item(t.Context(), work.SpecKey(job))
	assert.NilError(t, err)
	return item.Revision != 0
}

func TestSubmitUnderStoreFaults(t *testing.T) {
	always := func(outcome fake.CallOutcome) func(string) fake.CallOutcome {
		return func(operation string) fake.CallOutcome {
			if operation == "item" && outcome != fake.Down {
				return fake.Delivered
			}
			return outcome
		}
	}
	once := func(outcome fake.CallOutcome) func(string) fake.CallOutcome {
		left := 1
		return func(operation string) fake.CallOutcome {
			if operation == "commit" && left > 0 {
				left--
				return outcome
			}
			return fake.Delivered
		}
	}
	for name, c := range map[string]struct {
		outcomes func(string) fake.CallOutcome
		want     admit.Result
		created  bool
	}{
		"no fault":         {nil, admit.OK, true},
		"down":             {always(fake.Down), admit.Refused, false},
		"answer lost once": {once(fake.ResponseLost), admit.OK, true},
		"call lost once":   {once(fake.RequestLost), admit.OK, true},
		"answers lost":     {always(fake.ResponseLost), admit.Unknown, true},
		"calls lost":       {always(fake.RequestLost), admit.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.store.SetOutcomes(c.outcomes)
			reply := f.service.Submit(shortContext(t), caller(), spec())
			assert.Equal(t, reply.Result, c.want, reply.Why)
			assert.Equal(t, f.jobCreated(t), c.created)
		})
	}
}

// A store that stops responding must be detected before the job is written, so that the job can be refused definitely and
// well before its caller's deadline.
func TestSilentStoreIsFoundOutBeforeTheJobIsSent(t *testing.T) {
	f := newFixture(t)
	f.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation == "item" {
			return fake.RequestLost
		}
		return fake.Delivered
	})
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.Refused)
	assert.Assert(t, !f.jobCreated(t))
}

// Guards against a ping that is no check: a job is sent only after the store has responded to it, and is refused for good otherwise.
func TestPingReplacesTheReadBeforeTheJobIsSent(t *testing.T) {
	for _, down := range []error{nil, &store.LostError{Cause: "silent"}} {
		f := newFixture(t)
		var operations []string
		f.store.SetOutcomes(func(operation string) fake.CallOutcome {
			operations = append(operations, operation)
			return fake.Delivered
		})
		f.service.Ping = func(ctx context.Context) error {
			_, bounded := ctx.Deadline()
			assert.Assert(t, bounded)
			assert.Equal(t, store.ComponentOf(ctx), store.Check)
			operations = append(operations, "ping")
			return down
		}
		reply := f.service.Submit(shortContext(t), caller(), spec())
		if down != nil {
			assert.Equal(t, reply.Result, admit.Refused)
			assert.DeepEqual(t, operations, []string{"ping"})
			continue
		}
		assert.Equal(t, reply.Result, admit.OK)
		assert.DeepEqual(t, operations, []string{"ping", "commit"})
	}
}

func TestRefusedSubmitNeverRunsLater(t *testing.T) {
	f := newFixture(t)
	f.store.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.Refused)
	assert.Equal(t, f.store.DeliverLost(), 0)
	assert.Assert(t, !f.jobCreated(t))
}

// Guards against callers that repeat a job that the store will never accept, as if its answer had been lost.
func TestJobThatTheStoreRejectsIsInvalid(t *testing.T) {
	f := newFixture(t)
	f.store.SetAccepted(func(store.Transaction) bool { return false })
	reply := f.service.Submit(shortContext(t), caller(), spec())
	assert.Equal(t, reply.Result, admit.BadRequest)
	assert.Equal(t, reply.RetryAfter, time.Duration(0))
	assert.Equal(t, f.service.Cancel(shortContext(t), caller()).Result, admit.BadRequest)
	assert.Assert(t, !f.jobCreated(t))
}

// Guards against jobs that are accepted and never run, as their spec or their record is above the limit of the store, whatever it is.
func TestJobAboveTheLimitOfTheStoreIsRefused(t *testing.T) {
	gang := &work.Spec{Steps: []work.Step{{Count: 100, Gang: true}}}
	for maxValueBytes, want := range map[int]admit.Result{0: admit.OK, 64 << 10: admit.OK, 16 << 10: admit.BadRequest} {
		f := newFixture(t)
		f.service.MaxValueBytes = maxValueBytes
		reply := f.service.Submit(shortContext(t), caller(), gang)
		assert.Equal(t, reply.Result, want, "%d", maxValueBytes)
		assert.Equal(t, f.jobCreated(t), want == admit.OK)
		assert.Equal(t, strings.Contains(reply.Why, "at most 16384 are allowed"), want != admit.OK, "%s", reply.Why)
	}
}

// Guards against a refusal of a job that runs: the answer to an earlier attempt was lost, and the store rejects the next one.
func TestRejectionAfterALostAnswerIsNotFinal(t *testing.T) {
	f := newFixture(t)
	commits := 0
	f.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation != "commit" {
			return fake.Delivered
		}
		commits++
		if commits == 1 {
			return fake.RequestLost
		}
		f.store.SetAccepted(func(store.Transaction) bool { return false })
		return fake.Delivered
	})
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.Unknown)
}

// Guards against a new owner that does not know where the jobs of a removed queue run (review/5).
func TestAcceptedJobKeepsTheConfigurationOfItsQueue(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	item, err := f.store.Item(t.Context(), work.SpecKey(job))
	assert.NilError(t, err)
	stored, err := work.DecodeSpec(item.Data)
	assert.NilError(t, err)
	assert.DeepEqual(t, stored.Config, &work.QueueConfig{Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3, Target: time.Second})
}

func TestSecondSubmitIsTheSameJob(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	items, _, err := f.store.Range(t.Context(), work.SpecPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 1)
}

func TestWithdrawnKeyIsRefusedThoughTheInstanceHasNotHeard(t *testing.T) {
	f := newFixture(t)
	f.source.keys = nil
	f.store.Put(configKey, nil)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.BadKey)
	assert.Assert(t, !f.jobCreated(t))
}

func TestKeysNeedAFreshConfiguration(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(4 * time.Second)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.Refused)
	assert.Equal(t, f.service.State(shortContext(t), caller()).Result, admit.Refused)
	assert.Equal(t, f.service.Cancel(shortContext(t), caller()).Result, admit.Refused)
}

// The store may be reachable from some instances but not from this one; a peer then executes the request.
func TestCutOffInstanceAsksAPeer(t *testing.T) {
	f := newFixture(t)
	f.store.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
	relay := &fakeRelay{reply: &admit.Reply{Result: admit.OK}, tried: true}
	f.service.Relay = relay
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, f.service.State(shortContext(t), caller()).Result, admit.OK)
	assert.Equal(t, relay.calls, 2)
}

func TestRelayedSubmitWithoutAnswerIsNeverCalledRefused(t *testing.T) {
	f := newFixture(t)
	f.store.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
	f.service.Relay = &fakeRelay{tried: true}
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.Unknown)
}

func TestStateOfAJob(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.service.State(shortContext(t), caller()).Result, admit.Gone)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, f.service.State(shortContext(t), caller()).Phase, work.Queued)
	queue := caller()
	queue.Path = "/plan/"
	assert.Equal(t, f.service.State(shortContext(t), queue).Pending, 1)
	record := work.Record{Phase: work.Completed}
	data, err := record.Encode()
	assert.NilError(t, err)
	f.store.Put(work.RecordKey(job), data)
	assert.Equal(t, f.service.State(shortContext(t), caller()).Phase, work.Completed)
}

func TestBadCalls(t *testing.T) {
	f := newFixture(t)
	for name, c := range map[string]struct {
		change func(*admit.Caller, *work.Spec)
		want   admit.Result
	}{
		"unknown path":  {func(c *admit.Caller, _ *work.Spec) { c.Path = "/other/" + job }, admit.NoQueue},
		"unknown host":  {func(c *admit.Caller, _ *work.Spec) { c.Host = "other" }, admit.NoQueue},
		"unknown key":   {func(c *admit.Caller, _ *work.Spec) { c.Key = "other" }, admit.BadKey},
		"short ID":      {func(c *admit.Caller, _ *work.Spec) { c.Path = "/plan/5c0e" }, admit.BadRequest},
		"no steps":      {func(_ *admit.Caller, s *work.Spec) { s.Steps = nil }, admit.BadRequest},
		"later step":    {func(_ *admit.Caller, s *work.Spec) { s.Steps[0].After = []int{0} }, admit.BadRequest},
		"large payload": {func(_ *admit.Caller, s *work.Spec) { s.Payload = string(make([]byte, 4001)) }, admit.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			badCaller, badSpec := caller(), spec()
			c.change(&badCaller, badSpec)
			assert.Equal(t, f.service.Submit(shortContext(t), badCaller, badSpec).Result, c.want)
		})
	}
}

// countItemReads counts the reads of single keys in n.
func (f *fixture) countItemReads(n *int) {
	f.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation == "item" {
			*n++
		}
		return fake.Delivered
	})
}

// While each response of the store takes a third of a second, an extra read before the write would use up most of the time
// that a quick job has.
func TestSlowButRespondingStoreIsNotProbedBeforeSubmit(t *testing.T) {
	for name, c := range map[string]struct {
		readTime, age time.Duration
		itemReads     int
	}{
		"usual":             {readTime: 4 * time.Millisecond, itemReads: 1},
		"slow":              {readTime: 360 * time.Millisecond, itemReads: 0},
		"slow, then silent": {readTime: 360 * time.Millisecond, age: 1100 * time.Millisecond, itemReads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.source.beforeRead = func() { f.now = f.now.Add(c.readTime) }
			assert.NilError(t, f.service.Policy.Refresh(t.Context()))
			f.now = f.now.Add(c.age)
			itemReads := 0
			f.countItemReads(&itemReads)
			assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
			assert.Equal(t, itemReads, c.itemReads)
		})
	}
}

func TestAcceptedIsCalledOnlyForCreatedJobs(t *testing.T) {
	f := newFixture(t)
	var accepted []string
	f.service.OnAccepted = func(job string, _ []byte, revision int64) {
		assert.Assert(t, revision > 0)
		accepted = append(accepted, job)
	}
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	assert.DeepEqual(t, accepted, []string{job})
}

// A peer that is cut off as well must refuse immediately; the refusal is definite, as the peer has tried nothing.
func TestCutOffPeerRefusesImmediately(t *testing.T) {
	f := newFixture(t)
	f.source.down = true
	assert.Assert(t, f.service.Policy.Refresh(t.Context()) != nil)
	reply, err := f.service.Admit(shortContext(t), &admit.Call{Kind: admit.Submit, Caller: caller(), Spec: spec()})
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, admit.Refused)
	assert.Assert(t, !f.jobCreated(t))
}

// Peers may have created the job although their responses are lost, so the result must not be a refusal.
func TestLostResponseToAFirstRelayedSubmitIsNeverRefused(t *testing.T) {
	f := newFixture(t)
	f.source.down = true
	assert.Assert(t, f.service.Policy.Refresh(t.Context()) != nil)
	f.store.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
	f.service.Relay = &fakeRelay{tried: true}
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.Unknown)
}

// Requests with a wrong key and jobs that are too large must be refused with the right result and without a call to the
// store, so that 100 of them per second do not slow down the callers of 24 workspaces.
func TestBadInputCausesNoStoreCalls(t *testing.T) {
	f := newFixture(t)
	for i := range 24 {
		f.source.keys = append(f.source.keys, fmt.Sprintf("key-%d", i))
	}
	f.store.Put(configKey, nil)
	assert.NilError(t, f.service.Policy.Refresh(t.Context()))
	calls := 0
	f.store.SetOutcomes(func(string) fake.CallOutcome {
		calls++
		return fake.Delivered
	})
	f.service.UnservableReason = func(_ context.Context, _ string, s *work.Spec) string {
		if s.Steps[0].Accelerators > 8 {
			return "too large"
		}
		return ""
	}
	for i := range 100 {
		badCaller := caller()
		badCaller.Key = fmt.Sprintf("wrong-%d", i)
		assert.Equal(t, f.service.Submit(shortContext(t), badCaller, spec()).Result, admit.BadKey)
		assert.Equal(t, f.service.State(shortContext(t), badCaller).Result, admit.BadKey)
		assert.Equal(t, f.service.Cancel(shortContext(t), badCaller).Result, admit.BadKey)
	}
	for _, step := range []work.Step{{Count: work.MaxTasks + 1}, {Count: 1, Accelerators: 9}, {Count: -1}} {
		assert.Equal(t, f.service.Submit(shortContext(t), caller(), &work.Spec{Steps: []work.Step{step}}).Result, admit.BadRequest)
	}
	assert.Equal(t, calls, 0)
	goodCaller := caller()
	goodCaller.Key = "key-23"
	assert.Equal(t, f.service.Submit(shortContext(t), goodCaller, spec()).Result, admit.OK)
}

// An instance is cut off from the store while the configuration changes, and a peer with a newer version has answered for
// it. Once no peer answers, the instance must not answer from its own older version.
func TestCutOffInstanceDoesNotAnswerFromAnOlderConfigurationThanAPeer(t *testing.T) {
	f := newFixture(t)
	f.source.down = true
	assert.Assert(t, f.service.Policy.Refresh(t.Context()) != nil)
	relay := &fakeRelay{reply: &admit.Reply{Result: admit.OK, Version: 9}, tried: true}
	f.service.Relay = relay
	added := caller()
	added.Path = "/added/" + job
	assert.Equal(t, f.service.State(shortContext(t), added).Result, admit.OK)
	relay.reply = nil
	assert.Equal(t, f.service.State(shortContext(t), added).Result, admit.Refused, "the local version is older and has no such queue")
	assert.Equal(t, f.service.Submit(shortContext(t), added, spec()).Result, admit.Unknown, "a peer may have created the job")
	f.source.down = false
	for range 9 {
		f.store.Put(configKey, nil)
	}
	assert.NilError(t, f.service.Policy.Refresh(t.Context()))
	assert.Equal(t, f.service.State(shortContext(t), added).Result, admit.NoQueue, "the local version is as new as the peer's")
}

// A peer must refuse if its configuration is older than that of the cut-off instance.
func TestPeerWithOlderConfigurationRefuses(t *testing.T) {
	f := newFixture(t)
	call := &admit.Call{Kind: admit.State, Caller: caller(), Version: 1000}
	reply, err := f.service.Admit(shortContext(t), call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, admit.Refused)
	call.Version = 0
	reply, err = f.service.Admit(shortContext(t), call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, admit.Gone)
	assert.Assert(t, reply.Version > 0)
}

// Guards against accepting calls without a key: a configuration lists an empty one among a workspace's keys.
func TestCallWithoutAKeyIsNotAcceptedThoughAnEmptyKeyIsConfigured(t *testing.T) {
	f := newFixture(t)
	f.source.keys = []string{"key", ""}
	f.store.Put(configKey, nil)
	assert.NilError(t, f.service.Policy.Refresh(t.Context()))
	keyless := caller()
	keyless.Key = ""
	assert.Equal(t, f.service.Submit(t.Context(), keyless, spec()).Result, admit.BadKey)
	assert.Equal(t, f.service.Cancel(t.Context(), keyless).Result, admit.BadKey)
	assert.Equal(t, f.service.State(t.Context(), keyless).Result, admit.BadKey)
	assert.Equal(t, f.service.Submit(t.Context(), caller(), spec()).Result, admit.OK)
}
