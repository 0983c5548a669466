package term

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/peer/extend"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// fakeProxy answers the requests of an owner and keeps the last one.
type fakeProxy struct {
	incarnation int64
	last        *extend.Request
}

// Allow stores the request and accepts it.
func (h *fakeProxy) Allow(_ context.Context, _ string, request *extend.Request) (*extend.Reply, error) {
	h.last = request
	return &extend.Reply{Life: h.incarnation, Clock: time.Minute, Token: request.Token, Number: request.Number}, nil
}

// twoCentres returns the term and the clock of an owner in data centre "here", with a busy and an idle worker in each of two
// data centres.
func twoCentres(t *testing.T, h *fakeProxy) (*term, *time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	e := &Elector{
		DataCentre: "here", Proxies: h, Log: event.Discard(), Meter: meter.New(t.Name()), Now: func() time.Time { return now },
		Limits: Limits{MaxLease: 6 * time.Second, StopTimeout: time.Second, Retention: time.Minute, RemoteFactor: 3},
	}
	tm := newTerm(e, 1, 7, now)
	tm.engine.SetPolicy(group.Policy{Queues: []group.Queue{{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3}}})
	var infos []group.WorkerInfo
	for _, id := range []string{"here-busy", "here-idle", "there-busy", "there-idle"} {
		infos = append(infos, group.WorkerInfo{ID: id, Address: id, Service: "main", DataCentre: id[:len(id)-5], Rack: id, Labels: []string{id[len(id)-4:]}, Capacity: group.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}, Incarnation: 1})
		tm.sessions[id] = &session{term: tm, id: id, seenAt: now}
	}
	tm.engine.SetWorkers(infos, now)
	for _, info := range infos {
		tm.engine.ApplyListing(info.ID, group.Listing{Incarnation: 1}, now, now)
	}
	step := work.Step{Count: 2, MilliCores: 1000, Accelerators: 8, Estimate: time.Second, Requires: "busy"}
	tm.engine.Load(&work.Spec{Job: "0000000000000001", Queue: "plan", Steps: []work.Step{step}}, nil, 0, now, now)
	tm.engine.Decide(true, now)
	return tm, &now
}

func TestProxyMayExtendLeasesOfBusyWorkersInItsDataCentre(t *testing.T) {
	h := &fakeProxy{incarnation: 3}
	tm, now := twoCentres(t, h)
	assert.DeepEqual(t, tm.otherCentres(), []string{"there"})
	p := &proxy{address: "a"}
	tm.authorizeProxy(t.Context(), "there", p)
	assert.Equal(t, len(h.last.Workers), 0, "the proxy's clock is not known yet")
	*now = now.Add(400 * time.Millisecond)
	tm.authorizeProxy(t.Context(), "there", p)
	assert.Equal(t, len(h.last.Workers), 1)
	assert.Equal(t, h.last.Workers[0].Worker, "there-busy")
	assert.Equal(t, h.last.Life, int64(3))
	assert.Equal(t, h.last.Until, time.Minute+400*time.Millisecond+proxyExtension)
}

func TestNoExtensionForASilentWorkerOrAfterTheTerm(t *testing.T) {
	h := &fakeProxy{incarnation: 3}
	tm, now := twoCentres(t, h)
	p := &proxy{address: "a"}
	tm.authorizeProxy(t.Context(), "there", p)
	tm.sessions["there-busy"].seenAt = now.Add(-2 * silentAfter)
	tm.authorizeProxy(t.Context(), "there", p)
	assert.Equal(t, len(h.last.Workers), 0)
	*now = now.Add(leaseTTL)
	_, ok := tm.nextProxyRequest("there", p, *now)
	assert.Assert(t, !ok, "the owner's lease may have lapsed")
}

func TestAnotherProxyIsChosenAfterSeveralMisses(t *testing.T) {
	p := &proxy{}
	assert.Assert(t, !p.choose(nil))
	assert.Assert(t, p.choose([]string{"a", "b"}))
	assert.Equal(t, p.address, "a")
	p.incarnation, p.number, p.misses = 3, 9, maxProxyMisses-1
	assert.Assert(t, p.choose([]string{"a", "b"}))
	assert.Equal(t, p.address, "a")
	p.misses++
	assert.Assert(t, p.choose([]string{"a", "b"}))
	assert.DeepEqual(t, []any{p.address, p.incarnation, p.number, p.misses}, []any{"b", int64(0), int64(9), 0})
}
