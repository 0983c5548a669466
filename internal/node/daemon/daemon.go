package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/lentildeck/lentildeck/internal/edge/back"
	"github.com/lentildeck/lentildeck/internal/edge/limit"
	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/node/owner"
	"github.com/lentildeck/lentildeck/internal/node/setup"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/peer/list"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/route/claim"
	"github.com/lentildeck/lentildeck/internal/route/pool"
	"github.com/lentildeck/lentildeck/internal/route/quick"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/lease"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/sourcegraph/conc"
)

// Daemon is one entry instance.
type Daemon struct {
	settings setup.Settings
	policy   engine.Policy
	log      *event.Log
	now      func() time.Time
	meters   *meter.Metrics
	guard    *limit.Guard

	store         *store.Client
	conf          *config.Holder
	ledger        *ledger.Ledger
	claims        *claim.Claims
	owner         *owner.Owner
	holder        *lease.Holder
	peers         *peers
	permits       *startPermits
	pool          *pool.Pool
	backendClient *back.HTTP
	quick         *quick.Service
	checker       checker

	callerListener, operatorListener, peerListener net.Listener
	ready                                          atomic.Bool
	stopping                                       atomic.Bool
	killed                                         atomic.Bool
	done                                           chan struct{}
}

// New returns an instance with its ports bound; it serves nothing before Run.
func New(settings setup.Settings, log *event.Log, now func() time.Time) (*Daemon, error) {
	policy, err := engine.Policies.Lookup(settings.Policy)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: settings, policy: policy, log: log, now: now, meters: meter.New(settings.Instance), done: make(chan struct{})}
	d.guard = limit.NewGuard(limit.Derive(settings.Limits.Machine(), bodyCopies*max(settings.Quick.MaxBodyBytes, maxOperatorBodyBytes)), log, now)
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.wire(); err != nil {
		return nil, errors.Join(err, d.closeListeners())
	}
	return d, nil
}

func (d *Daemon) listen() error {
	for _, port := range []struct {
		listener *net.Listener
		address  string
		bound    func(net.Listener) net.Listener
	}{
		{&d.callerListener, d.settings.Listen.Callers, d.guard.Callers}, {&d.operatorListener, d.settings.Listen.Operators, d.guard.Others("operators")},
		{&d.peerListener, d.settings.Listen.Peers, d.guard.Streams},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return errors.Join(fmt.Errorf("listen on %s: %w", port.address, err), d.closeListeners())
		}
		*port.listener = port.bound(listener)
	}
	return nil
}

func (d *Daemon) closeListeners() error {
	var all error
	for _, listener := range []net.Listener{d.callerListener, d.operatorListener, d.peerListener} {
		if listener != nil {
			all = errors.Join(all, listener.Close())
		}
	}
	return all
}

func (d *Daemon) wire() error {
	s := d.settings
	openStore, err := store.Drivers.Lookup(s.Store.Driver)
	if err != nil {
		return err
	}
	openList, err := list.Drivers.Lookup(s.List.Driver)
	if err != nil {
		return err
	}
	openWorkers, err := worker.Drivers.Lookup(s.Workers.Driver)
	if err != nil {
		return err
	}
	certs, err := loadCertificates(s.Keys)
	if err != nil {
		return err
	}
	d.store = store.NewClient(openStore(s.Store.Endpoint), store.NewBudget(s.Store.CallsPerSecond, s.Store.Burst), d.now, uuid.NewString)
	d.conf = config.NewHolder(d.store, d.policy)
	d.ledger = ledger.New(d.store, d.now, d.meters.Group)
	d.claims = claim.New(d.store, s.Instance, d.now, d.meters.Group)
	d.holder = lease.NewHolder(d.store, s.DataCentre, s.Instance)
	d.peers = &peers{source: openList(s.List.Endpoint), client: link.NewClient(certs.clientConfig()), self: s.Instance, reads: event.ListReads(d.log, "instances")}
	d.permits = &startPermits{daemon: d}
	d.checker = checker{conf: d.conf, policy: d.policy}
	d.pool = pool.New(s.DataCentre, pool.Limits{Slots: s.Quick.Slots, Connections: s.Quick.Connections}, s.Quick.QueueLimit, s.Seed)
	d.backendClient = back.NewHTTP(s.Quick.Connections)
	d.quick = quick.New(d.pool, d.backendClient, d.claims, d.log, d.now)
	d.owner = owner.New(owner.Config{
		Instance: s.Instance, Centre: s.DataCentre, Policy: d.policy, WorkerLease: s.Workers.Lease.Duration, PollInterval: s.Workers.PollInterval.Duration,
		Holder: d.holder, Ledger: d.ledger, Configuration: d.conf, Link: openWorkers(s.Workers.Endpoint, s.Workers.Token),
		Permits: d.permits, Log: d.log, Now: d.now, Pause: pause.For,
	})
	if certs != nil {
		d.operatorListener = certs.wrapListener(d.operatorListener)
		d.peerListener = certs.wrapListener(d.peerListener)
	}
	return nil
}

// Addresses returns the addresses on which the instance listens for callers, operators and peers.
func (d *Daemon) Addresses() (callers, operators, peers string) {
	return d.callerListener.Addr().String(), d.operatorListener.Addr().String(), d.peerListener.Addr().String()
}

// Done returns a channel that is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until ctx ends, then completes all requests in flight and stops.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := link.NewServer(d)
	if err != nil {
		return err
	}
	callers, operators := d.callerApp(), d.operatorApp()
	var loops, ports conc.WaitGroup
	ports.Go(func() { d.logFailure("callers", callers.Listener(d.callerListener)) })
	ports.Go(func() { d.logFailure("operators", operators.Listener(d.operatorListener)) })
	ports.Go(func() { d.logFailure("peers", server.Serve(inner, d.peerListener)) })
	ownerCtx, stopOwner := context.WithCancel(inner)
	loops.Go(func() { d.owner.Run(ownerCtx) })
	loops.Go(func() { d.runEvery(inner, d.settings.List.PollInterval.Duration, d.refreshList) })
	loops.Go(func() { d.runEvery(inner, d.settings.Quick.PingInterval.Duration, d.pingServers) })
	loops.Go(func() { d.runEvery(inner, peerProofInterval, d.permits.askPeers) })
	loops.Go(func() { d.watchStore(inner) })
	d.ready.Store(true)
	c, o, p := d.Addresses()
	d.log.Emit(event.Started, event.Fields{"instance": d.settings.Instance, "dataCentre": d.settings.DataCentre, "callers": c, "operators": o, "peers": p})
	<-ctx.Done()
	d.stop(callers, stopOwner)
	err = operators.Shutdown()
	cancel()
	loops.Wait()
	ports.Wait()
	d.ledger.Close()
	d.claims.Close()
	d.log.Emit(event.Stopped, event.Fields{"instance": d.settings.Instance})
	return errors.Join(err, d.peers.client.Close())
}

// Kill makes Run end like a crashed process: it does not wait for the balancer, and the lease is left to lapse.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	d.holder.Abandon()
}

// logFailure logs the error that ended a component, unless the instance is stopping.
func (d *Daemon) logFailure(name string, err error) {
	if err != nil && !d.stopping.Load() {
		d.log.Emit(event.PartFailed, event.Fields{"part": name, "error": err.Error()})
	}
}

// shutdowner is the part of a server that a planned stop needs.
type shutdowner interface{ Shutdown() error }

// stop turns readiness off, waits until the balancer has noticed, completes the requests in flight and releases the lease.
func (d *Daemon) stop(callers shutdowner, stopOwner context.CancelFunc) {
	d.log.Emit(event.Stopping, event.Fields{"instance": d.settings.Instance})
	d.ready.Store(false)
	if !d.killed.Load() {
		time.Sleep(d.settings.BalancerLag.Duration)
	}
	d.stopping.Store(true)
	d.logFailure("callers", callers.Shutdown())
	stopOwner()
	<-d.owner.Done()
}

// runEvery calls step at once and then at each interval until ctx ends.
func (d *Daemon) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// IsOwner reports whether this instance is the owner of its data centre.
func (d *Daemon) IsOwner() bool { return d.owner.Epoch() != 0 }
