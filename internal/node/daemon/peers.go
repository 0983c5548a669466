package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/peer/list"
	"github.com/lentildeck/lentildeck/internal/route/pool"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/sourcegraph/conc"
	concpool "github.com/sourcegraph/conc/pool"
)

const (
	// peerTimeout bounds one call to a peer.
	peerTimeout = 800 * time.Millisecond
	// maxPeerCalls bounds the concurrent calls to peers.
	maxPeerCalls = 16
	// pingTimeout bounds one ping of a backend server.
	pingTimeout = 700 * time.Millisecond
	// maxPings bounds the concurrent pings of backend servers.
	maxPings = 32
)

// peers holds the last known instance list and the client to call the instances.
type peers struct {
	source    list.Source
	client    *link.Client
	self      string
	mu        sync.Mutex
	instances []list.Instance
	reads     *event.Dependency
}

// others returns the other entry instances.
func (p *peers) others() []list.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []list.Instance
	for _, instance := range p.instances {
		if instance.Kind == list.Entry && instance.Name != p.self {
			found = append(found, instance)
		}
	}
	return found
}

// callAll calls the instances concurrently and returns the answers in the order of the list, with nil for a failed call.
func callAll[T any](ctx context.Context, instances []list.Instance, ask func(ctx context.Context, address string) (*T, error)) []*T {
	answers := make([]*T, len(instances))
	calls := concpool.New().WithMaxGoroutines(maxPeerCalls)
	for i, instance := range instances {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if answer, err := ask(callCtx, instance.Address); err == nil {
				answers[i] = answer
			}
		})
	}
	calls.Wait()
	return answers
}

// refreshList reads the instance list; if it can't be read, the last one stays in use.
func (d *Daemon) refreshList(ctx context.Context) {
	instances, err := d.peers.source.Instances(ctx)
	d.peers.mu.Lock()
	if err == nil {
		d.peers.instances = instances
	}
	if ctx.Err() == nil {
		d.peers.reads.Report(err)
	}
	d.peers.mu.Unlock()
	if err != nil {
		d.pool.AssignSlots(d.now())
		return
	}
	var members []pool.Backend
	for _, instance := range instances {
		if instance.Kind == list.Backend {
			members = append(members, pool.Backend{
				Name: instance.Name, DataCentre: instance.DataCentre, Address: instance.Address, Leaving: instance.State == list.Leaving,
			})
		}
	}
	d.pool.SetBackends(members, d.now())
}

// pingServers pings every backend server; one that does not respond is pinged again over a new connection, which decides.
func (d *Daemon) pingServers(ctx context.Context) {
	pings := concpool.New().WithMaxGoroutines(maxPings)
	for _, server := range d.pool.Servers() {
		pings.Go(func() { d.pingServer(ctx, server) })
	}
	pings.Wait()
}

func (d *Daemon) pingServer(ctx context.Context, server pool.Server) {
	leaving, err := d.ping(ctx, server.Address)
	if err != nil && ctx.Err() == nil {
		d.backendClient.Reset(server.Address)
		d.log.Emit(event.ServerSilent, event.Fields{"server": server.Name, "error": err.Error()})
		leaving, err = d.ping(ctx, server.Address)
	}
	switch {
	case err != nil:
		d.pool.RecordResult(server.Name, pool.Lost, d.now())
	case leaving:
		d.pool.RecordResult(server.Name, pool.Leaving, d.now())
	default:
		d.pool.RecordResult(server.Name, pool.Answered, d.now())
	}
}

func (d *Daemon) ping(ctx context.Context, address string) (bool, error) {
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return d.backendClient.Ping(pingCtx, address)
}

// offerToAll sends a document to every other instance and waits for the answers.
func (d *Daemon) offerToAll(ctx context.Context, doc *config.Document) {
	callAll(ctx, d.peers.others(), func(callCtx context.Context, address string) (*link.OfferReply, error) {
		return d.peers.client.Offer(callCtx, address, &link.OfferRequest{Document: *doc})
	})
}

// offerToDataCentre sends a document to the other instances of the same data centre in the background.
func (d *Daemon) offerToDataCentre(ctx context.Context, wg *conc.WaitGroup, doc *config.Document) {
	var sameCentre []list.Instance
	for _, instance := range d.peers.others() {
		if instance.DataCentre == d.settings.DataCentre {
			sameCentre = append(sameCentre, instance)
		}
	}
	wg.Go(func() {
		callAll(ctx, sameCentre, func(callCtx context.Context, address string) (*link.OfferReply, error) {
			return d.peers.client.Offer(callCtx, address, &link.OfferRequest{Document: *doc})
		})
	})
}
