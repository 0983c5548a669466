package term

import (
	"context"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/peer/renew"
	"github.com/sourcegraph/conc"
)

const (
	// allowFor is how long after the owner's last word leases may be prolonged for it. Tasks in a data centre that is cut off
	// live for that and MaxHold; a successor waits no longer than it does for holdPast anyway.
	allowFor = holdPast
	// allowEvery is how often the owner speaks to each data centre; a substitute acts after two requests that it misses.
	allowEvery = 400 * time.Millisecond
	// allowTimeout bounds one request.
	allowTimeout = 300 * time.Millisecond
	// missesMost is how many requests in a row may fail before another instance is chosen.
	missesMost = 4
)

// substitution is the owner's dealings with the instance that may act for it in one data centre.
type substitution struct {
	address string
	life    int64
	number  int64
	misses  int
	// clock is the instance's own clock as it was when clockAt had come.
	clock   time.Duration
	clockAt time.Time
}

// substitute keeps an instance of each other data centre able to prolong leases while this one can't.
func (t *term) substitute(ctx context.Context) {
	if t.Substitutes == nil || t.Peers == nil {
		return
	}
	known := make(map[string]*substitution)
	for pause.For(ctx, allowEvery) {
		var calls conc.WaitGroup
		for _, centre := range t.otherCentres() {
			if known[centre] == nil {
				known[centre] = &substitution{}
			}
			s := known[centre]
			if s.choose(t.Peers.In(centre)) {
				calls.Go(func() { t.allow(ctx, centre, s) })
			}
		}
		calls.Wait()
	}
}

// otherCentres lists the data centres of workers that this instance is not in.
func (t *term) otherCentres() []string {
	t.state.Lock()
	defer t.state.Unlock()
	var centres []string
	for _, w := range t.engine.Workers() {
		if w.DataCentre != "" && w.DataCentre != t.DataCentre && !slices.Contains(centres, w.DataCentre) {
			centres = append(centres, w.DataCentre)
		}
	}
	return centres
}

// choose keeps to one instance until it fails several times or is no longer listed; it reports false if there is none.
func (s *substitution) choose(addresses []string) bool {
	at := slices.Index(addresses, s.address)
	if at >= 0 && s.misses < missesMost {
		return true
	}
	if len(addresses) == 0 {
		return false
	}
	*s = substitution{address: addresses[(at+1)%len(addresses)], number: s.number}
	return true
}

// allow speaks to the instance once and takes in what it says.
func (t *term) allow(ctx context.Context, centre string, s *substitution) {
	request, ok := t.permission(centre, s, t.Now())
	if !ok {
		return
	}
	call, done := context.WithTimeout(ctx, allowTimeout)
	defer done()
	reply, err := t.Substitutes.Allow(call, s.address, request)
	if err != nil {
		s.misses++
		t.Meter.Count("substitute.lost")
		return
	}
	now := t.Now()
	if reply.Life != s.life {
		t.Log.Emit(event.SubstituteChosen, event.Fields{"dataCentre": centre, "address": s.address, "life": reply.Life, "token": t.token})
	}
	s.misses, s.life, s.clock, s.clockAt = 0, reply.Life, reply.Clock, now
	if reply.Token == t.token && reply.Number == request.Number {
		t.released(centre, s, request, reply, now)
	}
}

// permission is the next request: workers with tasks that answer this instance; what runs on them may live longer from now on.
func (t *term) permission(centre string, s *substitution, now time.Time) (*renew.Request, bool) {
	t.state.Lock()
	defer t.state.Unlock()
	if !t.valid(now) {
		return nil, false
	}
	s.number++
	request := &renew.Request{Life: s.life, Token: t.token, Number: s.number, Lease: t.Bounds.MaxHold}
	if s.life == 0 {
		return request, true
	}
	request.Until = s.clock + now.Sub(s.clockAt) + allowFor
	for _, w := range t.engine.Workers() {
		own := t.sessions[w.ID]
		if w.DataCentre != centre || own == nil || !w.Present || w.Draining || !w.Busy() || now.Sub(own.lastHeard()) > silentAfter {
			continue
		}
		request.Workers = append(request.Workers, agent.Target{Worker: w.ID, Address: w.Address})
		t.engine.MayProlong(w.ID, s.name(), now.Add(stretch(allowFor)+stretch(t.Bounds.MaxHold)))
	}
	return request, true
}

// name tells one life of an instance from all others.
func (s *substitution) name() string { return s.address + "/" + time.Duration(s.life).String() }

// released notes that the instance, which has the request, prolongs the leases of no other workers; what it has prolonged
// lives for MaxHold from then on.
func (t *term) released(centre string, s *substitution, request *renew.Request, reply *renew.Reply, now time.Time) {
	allowed := make(map[string]bool, len(request.Workers))
	for _, to := range request.Workers {
		allowed[to.Worker] = true
	}
	t.state.Lock()
	defer t.state.Unlock()
	for _, w := range t.engine.Workers() {
		if w.DataCentre != centre || allowed[w.ID] {
			continue
		}
		ends := time.Time{}
		if ago, prolonged := reply.Prolonged[w.ID]; prolonged {
			ends = now.Add(stretch(t.Bounds.MaxHold) - ago)
		}
		t.engine.ProlongsNoLonger(w.ID, s.name(), ends)
	}
}
