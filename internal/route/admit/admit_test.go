package admit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/sets"
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

// wishes is a source with one queue whose configuration lies under configKey.
type wishes struct {
	store *fake.Transactor
	keys  []string
	down  bool
	// wait is called before each answer, if it is set.
	wait func()
}

func (w *wishes) Read(ctx context.Context) (policy.Snapshot, error) {
	if w.wait != nil {
		w.wait()
	}
	if w.down {
		return policy.Snapshot{}, &store.UnavailableError{Cause: "down"}
	}
	item, err := w.store.Item(ctx, configKey)
	if err != nil {
		return policy.Snapshot{}, err
	}
	p := &policy.Policy{
		Version:    item.Revision,
		Queues:     []policy.Queue{{Queue: sets.Queue{Name: "plan"}, Host: "host", Prefix: "/plan/"}},
		Workspaces: []policy.Workspace{{Name: "alpha", Keys: append([]string(nil), w.keys...)}},
	}
	p.Prepare()
	return policy.Snapshot{Policy: p, Guard: store.Expectation{Key: configKey, Revision: item.Revision}}, nil
}

// peer is a relay with a fixed reply.
type peer struct {
	reply *admit.Reply
	tried bool
	calls int
}

func (p *peer) Forward(context.Context, *admit.Call) (*admit.Reply, bool) {
	p.calls++
	return p.reply, p.tried
}

type bench struct {
	service *admit.Service
	store   *fake.Transactor
	wishes  *wishes
	now     time.Time
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{store: fake.NewTransactor(), now: time.Unix(1000, 0)}
	b.wishes = &wishes{store: b.store, keys: []string{"key"}}
	b.store.Put(configKey, nil)
	clock := func() time.Time { return b.now }
	b.service = &admit.Service{
		Store: b.store, Policy: policy.NewHolder(b.wishes, clock, func(policy.Snapshot) {}), MaxAge: 3 * time.Second,
		Log: event.Discard(), Meter: meter.New(t.Name()), Now: clock, WallNow: clock,
	}
	assert.NilError(t, b.service.Policy.Refresh(t.Context()))
	return b
}

func caller() admit.Caller { return admit.Caller{Host: "host", Path: "/plan/" + job, Key: "key"} }

func spec() *work.Spec { return &work.Spec{Steps: []work.Step{{Count: 1}}} }

func brief(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func (b *bench) created(t *testing.T) bool {
	t.Helper()
	b.store.SetFates(nil)
	item, err := b.store.Item(t.Context(), work.SpecKey(job))
	assert.NilError(t, err)
	return item.Revision != 0
}

func TestSubmitUnderStoreFaults(t *testing.T) {
	always := func(fate fake.Fate) func(string) fake.Fate {
		return func(operation string) fake.Fate {
			if operation == "item" && fate != fake.Down {
				return fake.Delivered
			}
			return fate
		}
	}
	once := func(fate fake.Fate) func(string) fake.Fate {
		left := 1
		return func(operation string) fake.Fate {
			if operation == "commit" && left > 0 {
				left--
				return fate
			}
			return fake.Delivered
		}
	}
	for name, c := range map[string]struct {
		next    func(string) fake.Fate
		want    admit.Result
		created bool
	}{
		"no fault":         {nil, admit.OK, true},
		"down":             {always(fake.Down), admit.Refused, false},
		"answer lost once": {once(fake.AnswerLost), admit.OK, true},
		"call lost once":   {once(fake.CallLost), admit.OK, true},
		"answers lost":     {always(fake.AnswerLost), admit.Unknown, true},
		"calls lost":       {always(fake.CallLost), admit.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.store.SetFates(c.next)
			reply := b.service.Submit(brief(t), caller(), spec())
			assert.Equal(t, reply.Result, c.want, reply.Why)
			assert.Equal(t, b.created(t), c.created)
		})
	}
}

// The pattern: the store falls silent; a job that was not sent yet is refused truthfully, well before its caller's time is over.
func TestSilentStoreIsFoundOutBeforeTheJobIsSent(t *testing.T) {
	b := newBench(t)
	b.store.SetFates(func(operation string) fake.Fate {
		if operation == "item" {
			return fake.CallLost
		}
		return fake.Delivered
	})
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.Refused)
	assert.Assert(t, !b.created(t))
}

func TestRefusedSubmitNeverRunsLater(t *testing.T) {
	b := newBench(t)
	b.store.SetFates(func(string) fake.Fate { return fake.Down })
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.Refused)
	assert.Equal(t, b.store.Deliver(), 0)
	assert.Assert(t, !b.created(t))
}

func TestSecondSubmitIsTheSameJob(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
	items, _, err := b.store.Range(t.Context(), work.SpecPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 1)
}

func TestWithdrawnKeyIsRefusedThoughTheInstanceHasNotHeard(t *testing.T) {
	b := newBench(t)
	b.wishes.keys = nil
	b.store.Put(configKey, nil)
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.BadKey)
	assert.Assert(t, !b.created(t))
}

func TestKeysNeedAFreshConfiguration(t *testing.T) {
	b := newBench(t)
	b.now = b.now.Add(4 * time.Second)
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.Refused)
	assert.Equal(t, b.service.State(brief(t), caller()).Result, admit.Refused)
	assert.Equal(t, b.service.Cancel(brief(t), caller()).Result, admit.Refused)
}

// The pattern: the store serves some instances and not this one.
func TestCutOffInstanceAsksAPeer(t *testing.T) {
	b := newBench(t)
	b.store.SetFates(func(string) fake.Fate { return fake.Down })
	helper := &peer{reply: &admit.Reply{Result: admit.OK}, tried: true}
	b.service.Relay = helper
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, b.service.State(brief(t), caller()).Result, admit.OK)
	assert.Equal(t, helper.calls, 2)
}

func TestRelayedSubmitWithoutAnswerIsNeverCalledRefused(t *testing.T) {
	b := newBench(t)
	b.store.SetFates(func(string) fake.Fate { return fake.Down })
	b.service.Relay = &peer{tried: true}
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.Unknown)
}

func TestStateOfAJob(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.service.State(brief(t), caller()).Result, admit.Gone)
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, b.service.State(brief(t), caller()).Phase, work.Queued)
	queue := caller()
	queue.Path = "/plan/"
	assert.Equal(t, b.service.State(brief(t), queue).Pending, 1)
	record := work.Record{Phase: work.Completed}
	data, err := record.Encode()
	assert.NilError(t, err)
	b.store.Put(work.RecordKey(job), data)
	assert.Equal(t, b.service.State(brief(t), caller()).Phase, work.Completed)
}

func TestBadCalls(t *testing.T) {
	b := newBench(t)
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
			who, what := caller(), spec()
			c.change(&who, what)
			assert.Equal(t, b.service.Submit(brief(t), who, what).Result, c.want)
		})
	}
}

// countItems counts the reads of single keys.
func (b *bench) countItems(n *int) {
	b.store.SetFates(func(operation string) fake.Fate {
		if operation == "item" {
			*n++
		}
		return fake.Delivered
	})
}

// The pattern: each answer of the store takes a third of a second, which is most of what a quick job has.
func TestSlowStoreThatAnswersIsNotAskedBeforeAJobIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		took, ago time.Duration
		asked     int
	}{
		"usual":           {took: 4 * time.Millisecond, asked: 1},
		"slow":            {took: 360 * time.Millisecond, asked: 0},
		"slow, then mute": {took: 360 * time.Millisecond, ago: 1100 * time.Millisecond, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.wishes.wait = func() { b.now = b.now.Add(c.took) }
			assert.NilError(t, b.service.Policy.Refresh(t.Context()))
			b.now = b.now.Add(c.ago)
			asked := 0
			b.countItems(&asked)
			assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
			assert.Equal(t, asked, c.asked)
		})
	}
}

func TestOnlyACreatedJobIsAnnounced(t *testing.T) {
	b := newBench(t)
	var announced []string
	b.service.Accepted = func(job string, _ []byte, revision int64) {
		assert.Assert(t, revision > 0)
		announced = append(announced, job)
	}
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
	assert.DeepEqual(t, announced, []string{job})
}

// The pattern: the store refuses a third of the instances for seconds, and callers keep asking them how their jobs are. Each
// answer took the time of a first try before a peer was asked.
func TestInstanceThatKnowsItIsCutOffAsksAPeerFirst(t *testing.T) {
	b := newBench(t)
	b.wishes.down = true
	assert.Assert(t, b.service.Policy.Refresh(t.Context()) != nil)
	calls := 0
	b.store.SetFates(func(string) fake.Fate {
		calls++
		return fake.Down
	})
	helper := &peer{reply: &admit.Reply{Result: admit.OK}, tried: true}
	b.service.Relay = helper
	assert.Equal(t, b.service.State(brief(t), caller()).Result, admit.OK)
	assert.Equal(t, b.service.Cancel(brief(t), caller()).Result, admit.OK)
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, calls, 0, "the store was not tried")
	assert.Equal(t, helper.calls, 3)
	b.wishes.down = false
	b.store.SetFates(nil)
	assert.NilError(t, b.service.Policy.Refresh(t.Context()))
	assert.Equal(t, b.service.State(brief(t), caller()).Result, admit.Gone)
	assert.Equal(t, helper.calls, 3)
}

// The pattern: the peer that is asked is cut off as well; it says so at once, and truthfully, as it has tried nothing.
func TestPeerThatIsCutOffRefusesAtOnce(t *testing.T) {
	b := newBench(t)
	b.wishes.down = true
	assert.Assert(t, b.service.Policy.Refresh(t.Context()) != nil)
	reply, err := b.service.Admit(brief(t), &admit.Call{Kind: admit.Submit, Caller: caller(), Spec: spec()})
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, admit.Refused)
	assert.Assert(t, !b.created(t))
}

// The pattern: the peers may have created the job, and their answers are lost; it is never called refused.
func TestRelayedFirstSubmitWithoutAnswerIsNeverCalledRefused(t *testing.T) {
	b := newBench(t)
	b.wishes.down = true
	assert.Assert(t, b.service.Policy.Refresh(t.Context()) != nil)
	b.store.SetFates(func(string) fake.Fate { return fake.Down })
	b.service.Relay = &peer{tried: true}
	assert.Equal(t, b.service.Submit(brief(t), caller(), spec()).Result, admit.Unknown)
}

// The pattern: a hundred callers a second with wrong keys, and jobs far too large, beside callers of 24 workspaces. They are
// refused for what they are, without a call to the store, and the others are served.
func TestBadInputCostsTheStoreNothing(t *testing.T) {
	b := newBench(t)
	for i := range 24 {
		b.wishes.keys = append(b.wishes.keys, fmt.Sprintf("key-%d", i))
	}
	b.store.Put(configKey, nil)
	assert.NilError(t, b.service.Policy.Refresh(t.Context()))
	calls := 0
	b.store.SetFates(func(string) fake.Fate {
		calls++
		return fake.Delivered
	})
	b.service.Servable = func(_ context.Context, _ string, s *work.Spec) string {
		if s.Steps[0].Accelerators > 8 {
			return "too large"
		}
		return ""
	}
	for i := range 100 {
		who := caller()
		who.Key = fmt.Sprintf("wrong-%d", i)
		assert.Equal(t, b.service.Submit(brief(t), who, spec()).Result, admit.BadKey)
		assert.Equal(t, b.service.State(brief(t), who).Result, admit.BadKey)
		assert.Equal(t, b.service.Cancel(brief(t), who).Result, admit.BadKey)
	}
	for _, step := range []work.Step{{Count: work.MaxTasks + 1}, {Count: 1, Accelerators: 9}, {Count: -1}} {
		assert.Equal(t, b.service.Submit(brief(t), caller(), &work.Spec{Steps: []work.Step{step}}).Result, admit.BadRequest)
	}
	assert.Equal(t, calls, 0)
	who := caller()
	who.Key = "key-23"
	assert.Equal(t, b.service.Submit(brief(t), who, spec()).Result, admit.OK)
}

// The pattern: an instance is cut off from the store while versions of the configuration follow each other. A peer with a newer
// one has answered for it; once no peer answers, the old one here must not speak again.
func TestCutOffInstanceDoesNotGoBackBehindWhatAPeerHasShown(t *testing.T) {
	b := newBench(t)
	b.wishes.down = true
	assert.Assert(t, b.service.Policy.Refresh(t.Context()) != nil)
	helper := &peer{reply: &admit.Reply{Result: admit.OK, Version: 9}, tried: true}
	b.service.Relay = helper
	added := caller()
	added.Path = "/added/" + job
	assert.Equal(t, b.service.State(brief(t), added).Result, admit.OK)
	helper.reply = nil
	assert.Equal(t, b.service.State(brief(t), added).Result, admit.Refused, "the version here has no such queue")
	assert.Equal(t, b.service.Submit(brief(t), added, spec()).Result, admit.Unknown, "a peer may have created the job")
	b.wishes.down = false
	for range 9 {
		b.store.Put(configKey, nil)
	}
	assert.NilError(t, b.service.Policy.Refresh(t.Context()))
	assert.Equal(t, b.service.State(brief(t), added).Result, admit.NoQueue, "the version here is as new")
}

// The pattern: the peer that is asked has not heard of the version that the cut-off instance has.
func TestPeerWithAnOlderConfigurationDoesNotAnswer(t *testing.T) {
	b := newBench(t)
	call := &admit.Call{Kind: admit.State, Caller: caller(), Version: 1000}
	reply, err := b.service.Admit(brief(t), call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, admit.Refused)
	call.Version = 0
	reply, err = b.service.Admit(brief(t), call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, admit.Gone)
	assert.Assert(t, reply.Version > 0)
}
