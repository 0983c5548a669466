package term

import (
	"context"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/peer/extend"
	"github.com/sourcegraph/conc"
)

const (
	// proxyExtension is how long after the owner's last request a proxy may extend leases. Tasks in a data centre that is
	// cut off live for that time and their lease; a successor already waits as long because of extendPastLapse.
	proxyExtension = extendPastLapse
	// proxyInterval is the time between requests to the proxy of a data centre; the proxy acts after two missed requests.
	proxyInterval = 400 * time.Millisecond
	// proxyTimeout limits one request.
	proxyTimeout = 300 * time.Millisecond
	// maxProxyMisses is the number of failed requests in a row after which another instance is chosen.
	maxProxyMisses = 4
)

// proxy is the owner's view of the lease proxy in one data centre: the instance that extends workers' leases there while
// the owner is silent.
type proxy struct {
	address     string
	incarnation int64
	number      int64
	misses      int
	// clock is the reading of the proxy's own clock in the reply that came at clockAt.
	clock   time.Duration
	clockAt time.Time
}

// runProxies keeps one instance in each other data centre authorized to extend leases there, until the term ends.
func (t *term) runProxies(ctx context.Context) {
	if t.Proxies == nil || t.Peers == nil {
		return
	}
	known := make(map[string]*proxy)
	for pause.For(ctx, proxyInterval) {
		var calls conc.WaitGroup
		for _, centre := range t.otherCentres() {
			if known[centre] == nil {
				known[centre] = &proxy{}
			}
			p := known[centre]
			if p.choose(t.Peers.AddressesIn(centre)) {
				calls.Go(func() { t.authorizeProxy(ctx, centre, p) })
			}
		}
		calls.Wait()
	}
}

// otherCentres returns the data centres of the workers, without that of this instance.
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

// choose keeps the chosen instance until it has missed maxProxyMisses requests or is no longer listed, and then takes the
// next; it reports false if there is none.
func (p *proxy) choose(addresses []string) bool {
	at := slices.Index(addresses, p.address)
	if at >= 0 && p.misses < maxProxyMisses {
		return true
	}
	if len(addresses) == 0 {
		return false
	}
	*p = proxy{address: addresses[(at+1)%len(addresses)], number: p.number}
	return true
}

// authorizeProxy sends one request to the proxy and applies its reply.
func (t *term) authorizeProxy(ctx context.Context, centre string, p *proxy) {
	request, ok := t.nextProxyRequest(centre, p, t.Now())
	if !ok {
		return
	}
	call, done := context.WithTimeout(ctx, proxyTimeout)
	defer done()
	reply, err := t.Proxies.Allow(call, p.address, request)
	if err != nil {
		p.misses++
		t.Meter.Count("substitute.lost")
		return
	}
	now := t.Now()
	if reply.Life != p.incarnation {
		t.Log.Emit(event.SubstituteChosen, event.Fields{"dataCentre": centre, "address": p.address, "life": reply.Life, "token": t.token})
	}
	p.misses, p.incarnation, p.clock, p.clockAt = 0, reply.Life, reply.Clock, now
	if reply.Token == t.token && reply.Number == request.Number {
		t.releaseOthers(centre, p, request, reply, now)
	}
}

// nextProxyRequest builds the next request, with the workers that have tasks and answer this instance. From now on the
// engine expects that their leases may be extended. It reports false if the owner's lease may have lapsed.
func (t *term) nextProxyRequest(centre string, p *proxy, now time.Time) (*extend.Request, bool) {
	t.state.Lock()
	defer t.state.Unlock()
	if t.closed || !t.leaseValid(now) {
		return nil, false
	}
	p.number++
	request := &extend.Request{Life: p.incarnation, Token: t.token, Number: p.number, Lease: t.leaseDuration()}
	if p.incarnation == 0 {
		return request, true
	}
	request.Until = p.clock + now.Sub(p.clockAt) + proxyExtension
	for _, w := range t.engine.Workers() {
		session := t.sessions[w.ID]
		if w.DataCentre != centre || session == nil || !w.Listed || w.Draining || !w.Busy() || !t.mayGrant(w.ID) || now.Sub(session.lastSeen()) > silentAfter {
			continue
		}
		request.Workers = append(request.Workers, agent.Target{Worker: w.ID, Address: w.Address})
		t.engine.AllowExtension(w.ID, p.id(), now.Add(worstCaseLease(proxyExtension)+worstCaseLease(t.leaseDuration())))
	}
	return request, true
}

// id identifies one incarnation of the instance.
func (p *proxy) id() string { return p.address + "/" + time.Duration(p.incarnation).String() }

// releaseOthers records that the proxy, which has the request, no longer extends the leases of other workers. A lease that
// it has extended lasts for leaseDuration from that extension.
func (t *term) releaseOthers(centre string, p *proxy, request *extend.Request, reply *extend.Reply, now time.Time) {
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
		leaseEnds := time.Time{}
		if ago, extended := reply.Prolonged[w.ID]; extended {
			leaseEnds = now.Add(worstCaseLease(t.leaseDuration()) - ago)
		}
		t.engine.EndExtension(w.ID, p.id(), leaseEnds)
	}
}
