package term_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

const soakInstances = 3

// soakPolicy is the source of a configuration with two queues.
type soakPolicy struct{}

func (soakPolicy) Read(context.Context) (policy.Snapshot, error) {
	p := &policy.Policy{Version: 1, Queues: []policy.Queue{
		{Queue: group.Queue{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3}},
		{Queue: group.Queue{Name: "quick", Service: "main", Priority: 0, MaxAttempts: 2, Stretch: 2}},
	}}
	p.Prepare()
	return policy.Snapshot{Policy: p}, nil
}

// instanceStore is one instance's access to the store: its leases expire, and it can be cut off.
type instanceStore struct {
	*fake.Transactor
	mu      sync.Mutex
	random  *rand.Rand
	calm    bool
	cut     bool
	ttl     time.Duration
	renewed map[int64]time.Time
}

func (s *instanceStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// end ends the disturbances.
func (s *instanceStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calm, s.cut = true, false
}

// slowCalls is the share of calls to the store that are slow, by up to slowCall.
const (
	slowCalls = 0.1
	slowCall  = 300 * time.Millisecond
)

// reach returns after the delay of a call, or with an error when ctx ends if the instance is cut off.
func (s *instanceStore) reach(ctx context.Context) error {
	s.mu.Lock()
	cut, delay := s.cut, time.Millisecond
	if !s.calm && s.random.Float64() < slowCalls {
		delay = upTo(s.random, slowCall)
	}
	s.mu.Unlock()
	if !cut && pause.For(ctx, delay) {
		return nil
	}
	<-ctx.Done()
	return &store.LostError{Cause: "cut off"}
}

// countTTL ends the lease unless it is renewed in time.
func (s *instanceStore) countTTL(lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.renewed[lease] = now
	time.AfterFunc(s.ttl, func() {
		s.mu.Lock()
		renewed := s.renewed[lease] != now
		s.mu.Unlock()
		if !renewed {
			s.ExpireLease(lease)
		}
	})
}

func (s *instanceStore) Item(ctx context.Context, key string) (store.Item, error) {
	if err := s.reach(ctx); err != nil {
		return store.Item{}, err
	}
	return s.Transactor.Item(ctx, key)
}

func (s *instanceStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	return s.Transactor.Range(ctx, prefix)
}

func (s *instanceStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	if err := s.reach(ctx); err != nil {
		return nil, after, err
	}
	return s.Transactor.Changes(ctx, prefix, after, wait)
}

func (s *instanceStore) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	return s.Transactor.Commit(ctx, tx)
}

func (s *instanceStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	lease, err := s.Transactor.Grant(ctx, ttl)
	if err == nil {
		s.ttl = ttl
		s.countTTL(lease)
	}
	return lease, err
}

func (s *instanceStore) Renew(ctx context.Context, lease int64) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	if err := s.Transactor.Renew(ctx, lease); err != nil {
		return err
	}
	s.countTTL(lease)
	return nil
}

func (s *instanceStore) Revoke(ctx context.Context, lease int64) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	return s.Transactor.Revoke(ctx, lease)
}

// soakInstance is an instance that competes for ownership.
type soakInstance struct {
	soak *soak
	// play is the context of the whole play.
	play    context.Context
	number  int
	name    string
	store   *instanceStore
	elector *term.Elector
	kill    context.CancelFunc
	starts  uint64
	done    chan struct{}
}

func (s *soak) startInstances(ctx context.Context) []*soakInstance {
	var list []*soakInstance
	for n := range soakInstances {
		i := &soakInstance{soak: s, play: ctx, number: n, name: fmt.Sprintf("i%d", n)}
		i.start()
		list = append(list, i)
	}
	return list
}

// start starts a new process of the instance.
func (i *soakInstance) start() {
	s := i.soak
	holder := policy.NewHolder(soakPolicy{}, time.Now, func(policy.Snapshot) {})
	assert.NilError(s.t, holder.Refresh(i.play))
	i.starts++
	i.store = &instanceStore{Transactor: s.store, random: s.random(10*i.starts + uint64(i.number)), renewed: make(map[int64]time.Time)}
	i.elector = &term.Elector{
		Instance: i.name, Store: i.store, Agent: agent.Client(s.fleet), Lister: s.fleet, Policy: holder,
		Limits: term.Limits{MaxLease: soakLease, StopTimeout: time.Second, PolicyAge: time.Hour, ListAge: 2 * time.Second, Retention: time.Hour, RemoteFactor: 3},
		Log:    event.NewLog(&log.Logger{Handler: log.HandlerFunc(i.note), Level: log.DebugLevel}), Meter: meter.New(s.t.Name() + i.name),
		Now: time.Now, WallNow: time.Now,
	}
	life, kill := context.WithCancel(i.play)
	i.kill, i.done = kill, make(chan struct{})
	go i.elector.Run(life, i.done)
}

// note adds a log line of the instance to the journal of the fleet.
func (i *soakInstance) note(entry *log.Entry) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s", i.name, entry.Message)
	for _, name := range entry.Fields.Names() {
		fmt.Fprintf(&text, " %s=%v", name, entry.Fields.Get(name))
	}
	i.soak.fleet.Note(text.String())
	return nil
}

// disturbInstances kills the owner now and then, or cuts it off from the store.
func (s *soak) disturbInstances(ctx context.Context, instances []*soakInstance) {
	random := s.random(3)
	for pause.For(ctx, 2*time.Second+upTo(random, 5*time.Second)) {
		for _, i := range instances {
			if !i.elector.Owns() {
				continue
			}
			cutFor := upTo(random, 4*time.Second)
			i.store.setCut(true)
			if random.IntN(2) == 0 {
				s.fleet.Note(i.name + " is cut off from the store")
				time.Sleep(cutFor)
				i.store.setCut(false)
				continue
			}
			s.fleet.Note(i.name + " is killed")
			i.kill()
			<-i.done
			time.Sleep(cutFor / 4)
			i.start()
		}
	}
}

// storeOutcomes loses calls to the store, and responses to them.
func (s *soak) storeOutcomes(share float64) func(string) fake.CallOutcome {
	random := s.random(4)
	var mu sync.Mutex
	return func(string) fake.CallOutcome {
		mu.Lock()
		defer mu.Unlock()
		switch chance := random.Float64(); {
		case chance < share:
			return fake.Down
		case chance < 2*share:
			return fake.ResponseLost
		default:
			return fake.Delivered
		}
	}
}
