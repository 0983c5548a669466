package term

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/peer/renew"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// helper answers an owner's requests and keeps the last.
type helper struct {
	life int64
	last *renew.Request
}

// Allow takes the request in.
func (h *helper) Allow(_ context.Context, _ string, request *renew.Request) (*renew.Reply, error) {
	h.last = request
	return &renew.Reply{Life: h.life, Clock: time.Minute, Token: request.Token, Number: request.Number}, nil
}

// twoCentres returns a term of an owner in "here" with a busy and an idle worker in each of two data centres.
func twoCentres(t *testing.T, h *helper) (*term, *time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	e := &Elector{
		DataCentre: "here", Substitutes: h, Log: event.Discard(), Meter: meter.New(t.Name()), Now: func() time.Time { return now },
		Bounds: Bounds{MaxHold: 6 * time.Second, StopTimeout: time.Second, Retention: time.Minute, RemoteFactor: 3},
	}
	tm := newTerm(e, 1, 7, now)
	tm.engine.SetPolicy([]sets.Queue{{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3}}, nil, nil)
	var infos []sets.WorkerInfo
	for _, id := range []string{"here-busy", "here-idle", "there-busy", "there-idle"} {
		infos = append(infos, sets.WorkerInfo{ID: id, Address: id, Service: "main", DataCentre: id[:len(id)-5], Rack: id, Labels: []string{id[len(id)-4:]}, Capacity: sets.Room{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}, Born: 1})
		tm.sessions[id] = &session{term: tm, id: id, heard: now}
	}
	tm.engine.SetWorkers(infos, now)
	for _, info := range infos {
		tm.engine.Listed(info.ID, sets.Listing{Born: 1}, now, now)
	}
	step := work.Step{Count: 2, MilliCores: 1000, Accelerators: 8, Estimate: time.Second, Requires: "busy"}
	tm.engine.Load(&work.Spec{Job: "0000000000000001", Queue: "plan", Steps: []work.Step{step}}, nil, 0, now, now)
	tm.engine.Decide(true, now)
	return tm, &now
}

func TestHelperIsAllowedTheBusyWorkersOfItsDataCentre(t *testing.T) {
	h := &helper{life: 3}
	tm, now := twoCentres(t, h)
	assert.DeepEqual(t, tm.otherCentres(), []string{"there"})
	s := &substitution{address: "a"}
	tm.allow(t.Context(), "there", s)
	assert.Equal(t, len(h.last.Workers), 0, "its clock is not known yet")
	*now = now.Add(400 * time.Millisecond)
	tm.allow(t.Context(), "there", s)
	assert.Equal(t, len(h.last.Workers), 1)
	assert.Equal(t, h.last.Workers[0].Worker, "there-busy")
	assert.Equal(t, h.last.Life, int64(3))
	assert.Equal(t, h.last.Until, time.Minute+400*time.Millisecond+allowFor)
}

func TestNothingIsAllowedForASilentWorkerOrAfterTheTerm(t *testing.T) {
	h := &helper{life: 3}
	tm, now := twoCentres(t, h)
	s := &substitution{address: "a"}
	tm.allow(t.Context(), "there", s)
	tm.sessions["there-busy"].heard = now.Add(-2 * silentAfter)
	tm.allow(t.Context(), "there", s)
	assert.Equal(t, len(h.last.Workers), 0)
	*now = now.Add(leaseTTL)
	_, ok := tm.permission("there", s, *now)
	assert.Assert(t, !ok, "the owner's lease may have lapsed")
}

func TestAnotherHelperIsChosenAfterSeveralMisses(t *testing.T) {
	s := &substitution{}
	assert.Assert(t, !s.choose(nil))
	assert.Assert(t, s.choose([]string{"a", "b"}))
	assert.Equal(t, s.address, "a")
	s.life, s.number, s.misses = 3, 9, missesMost-1
	assert.Assert(t, s.choose([]string{"a", "b"}))
	assert.Equal(t, s.address, "a")
	s.misses++
	assert.Assert(t, s.choose([]string{"a", "b"}))
	assert.DeepEqual(t, []any{s.address, s.life, s.number, s.misses}, []any{"b", int64(0), int64(9), 0})
}
