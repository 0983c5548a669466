package server

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/edge/limit"
	"github.com/lentildeck/lentildeck/internal/kern/abort"
	"github.com/lentildeck/lentildeck/internal/kern/build"
	"github.com/lentildeck/lentildeck/internal/kern/clock"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/kern/plug"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/peer/ends"
	"github.com/lentildeck/lentildeck/internal/peer/extend"
	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/peer/notify"
	"github.com/lentildeck/lentildeck/internal/peer/probe"
	"github.com/lentildeck/lentildeck/internal/peer/relay"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// refreshInterval is how often the configuration is read: several times within its maximum age.
	refreshInterval = 400 * time.Millisecond
	// refreshTimeout limits one read; a store that is slower by a factor of 100 still answers within it.
	refreshTimeout = 600 * time.Millisecond
	// maxReadyAge is the maximum age of the configuration for the instance to be ready: two failed reads. It is well below
	// KeyAge, as the balancer takes two more seconds to notice.
	maxReadyAge = 1200 * time.Millisecond
	// resignTimeout limits the wait, after the listeners have closed, for the owner's lease to be revoked.
	resignTimeout = 700 * time.Millisecond
	// shutdownReserve is the part of the grace period that is left for closing connections and ending the process.
	shutdownReserve = 1500 * time.Millisecond
)

// Options are the settings and drivers that a site provides for an instance.
type Options struct {
	Instance string
	Store    store.Transactor
	Agent    agent.Client
	Lister   term.Lister
	Source   policy.Source
	Limits   term.Limits
	// KeyAge is the maximum age of the configuration for keys of callers to be accepted.
	KeyAge time.Duration
	// Grace is the time between the request to stop and the kill of the process.
	Grace time.Duration
	// DataCentre is the data centre of the instance.
	DataCentre string
	// Cores is the processor capacity of the instance in cores, which may be fractional; zero if it is not known.
	Cores float64
	// PeerAddress is the address for other instances; if it is empty, there are no calls between instances.
	PeerAddress string
	// Clients bounds what clients of all listeners can make the process hold; the zero value stands for limits of an unknown machine.
	Clients limit.Limits
	Log     *event.Log
	// Serve opens the listeners and returns after stop is closed or when a listener fails.
	Serve func(node *Server, stop <-chan struct{}) error
	// Check reads the settings again and returns what is wrong with them.
	Check func() error
}

// Opener reads the settings of a site and returns the options of its server.
type Opener func(log *event.Log) (Options, error)

// Sites are the registered sites.
var Sites = plug.New[Opener]("site")

// Server is one running instance.
type Server struct {
	Options
	Jobs  *admit.Service
	Meter *meter.Metrics
	// Guard bounds what the clients of each listener can make the process hold.
	Guard       *limit.Guard
	policy      *policy.Holder
	peers       *relay.Peers
	workerSizes *workerSizes
	elector     *term.Elector
	// notifier notifies the owner of accepted jobs; nil without a PeerAddress.
	notifier *notify.Notifier
	// leaseProxy extends leases in this data centre for an owner in another one.
	leaseProxy *extend.Proxy
	// now is the monotonic clock.
	now            func() time.Time
	stopping       atomic.Bool
	refreshFailing bool
}

// New returns an instance that is not yet running.
func New(options Options) *Server {
	log := options.Log
	clients := cmp.Or(options.Clients, limit.Derive(limit.Machine{}, 0))
	s := &Server{Options: options, Meter: meter.New(options.Instance), Guard: limit.NewGuard(clients, log, clock.Now), now: clock.Now}
	s.policy = policy.NewHolder(options.Source, s.now, s.logActivePolicy)
	s.Jobs = &admit.Service{
		Store: options.Store, Policy: s.policy, MaxPolicyAge: options.KeyAge, MaxValueBytes: options.Limits.MaxValueBytes, Log: log, Meter: s.Meter, Now: clock.Now, WallNow: time.Now,
	}
	s.workerSizes = &workerSizes{lister: options.Lister, store: options.Store, reads: event.ListReads(log, "workers"), log: log, now: clock.Now, wallNow: time.Now}
	s.Jobs.UnservableReason = s.workerSizes.unservableReason
	s.peers = &relay.Peers{Store: options.Store, Self: relay.Peer{Name: options.Instance, Address: options.PeerAddress, DataCentre: options.DataCentre, Cores: options.Cores}, Log: log}
	client := link.NewClient(nil)
	if options.PeerAddress != "" {
		s.Jobs.Ping = s.peers.Ping
		s.Jobs.Relay = &relay.Relay{Peers: s.peers, Client: client, Log: log, Now: clock.Now}
	}
	s.leaseProxy = &extend.Proxy{Agent: options.Agent, Log: log, Now: clock.Now, Incarnation: rand.Int64N(math.MaxInt64) + 1}
	s.elector = &term.Elector{
		Instance: options.Instance, Store: options.Store, Agent: options.Agent, Lister: options.Lister, Policy: s.policy,
		DataCentre: options.DataCentre, Proxies: &extend.Client{Link: client},
		Limits: options.Limits, Peers: s.peers, Log: log, Meter: s.Meter, Now: clock.Now, WallNow: time.Now,
	}
	if options.PeerAddress != "" {
		s.elector.Predecessors = &grants.Client{Link: client, AddressOf: s.peers.AddressOf}
		s.elector.Readers = &probe.Client{Link: client, Addresses: s.peers.Addresses}
		ownerAddress := func() string { return s.peers.AddressOf(s.elector.KnownOwner()) }
		s.notifier = notify.New(s.elector, ownerAddress, client, log, s.Meter)
		if options.Limits.EndKeepers > 0 {
			s.Jobs.Ends = &ends.Client{Local: s.elector, OwnerAddress: ownerAddress, Link: client}
		}
		s.Jobs.OnAccepted = func(job string, spec []byte, revision int64) {
			s.notifier.Notify(&notify.Job{ID: job, Spec: spec, Revision: revision})
		}
	}
	s.Meter.Publish("clientsRefused", s.Guard.Refusals)
	s.Meter.Publish("bodyBytes", s.Guard.BodyBytes)
	s.Meter.Publish("owner", func() any { return s.elector.Owns() })
	return s
}

func (s *Server) logActivePolicy(snapshot policy.Snapshot) {
	s.Log.Emit(event.PolicyInForce, event.Fields{"version": snapshot.Policy.Version, "queues": len(snapshot.Policy.Queues), "workspaces": len(snapshot.Policy.Workspaces), "evacuated": len(snapshot.Evacuated)})
}

// Stopping reports whether a planned stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Leaving reports whether callers should open their next connection to another instance.
func (s *Server) Leaving() bool { return !s.Ready() }

// Ready reports whether the balancer should send callers to this instance.
func (s *Server) Ready() bool {
	snapshot, confirmedAt := s.policy.Current()
	return !s.Stopping() && snapshot.Policy != nil && s.now().Sub(confirmedAt) < min(s.KeyAge, maxReadyAge)
}

// Signals returns a channel of the signals that Run handles.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Run serves until a signal requests a stop or a listener fails; SIGHUP makes it read the settings again.
func (s *Server) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	electorDone := make(chan struct{})
	served := make(chan error, 1)
	owning, resign := context.WithCancel(ctx)
	defer resign()
	components := abort.Group{Log: s.Log}
	components.Go("configuration", func() { s.refresh(store.From(ctx, store.Configuration)) })
	components.Go("workers", func() { s.workerSizes.run(store.From(ctx, store.Sizes)) })
	components.Go("owner", func() { s.elector.Run(store.From(owning, store.Election), electorDone) })
	if s.PeerAddress != "" {
		components.Go("instances", func() { s.peers.Run(store.From(ctx, store.Instances)) })
		components.Go("peers", func() { s.servePeers(ctx) })
		components.Go("substitute", func() { s.leaseProxy.Run(ctx) })
		components.Go("teller", func() { s.notifier.Run(ctx) })
	}
	components.Go("front", func() { served <- s.Serve(s, stop) })
	s.Log.Emit(event.Started, event.Fields{"instance": s.Instance, "version": build.Version()})
	for {
		select {
		case err := <-served:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				s.reload()
				continue
			}
			s.stopping.Store(true)
			s.Log.Emit(event.Stopping, event.Fields{"signal": sig.String(), "grace": s.Grace.String()})
			resign()
			pause.For(ctx, max(s.Grace-shutdownReserve, 0))
			close(stop)
			err := <-served
			select {
			case <-electorDone:
			case <-time.After(resignTimeout):
			}
			s.Log.Emit(event.Stopped, event.Fields{})
			return err
		}
	}
}

// servePeers serves instances that are cut off from the key-value store, and the requests of the owner.
func (s *Server) servePeers(ctx context.Context) {
	server, err := link.Serve(link.Service{Handler: s.Jobs, Methods: relay.Description{}}, link.Service{Handler: s.leaseProxy, Methods: extend.Description{}},
		link.Service{Handler: s.elector, Methods: notify.Description{}}, link.Service{Handler: s.elector, Methods: grants.Description{}},
		link.Service{Handler: s.elector, Methods: probe.Description{}}, link.Service{Handler: s.elector, Methods: ends.Description{}})
	if err == nil {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", s.PeerAddress); err == nil {
			err = server.Serve(ctx, s.Guard.Streams(listener))
		}
	}
	if err != nil && ctx.Err() == nil {
		s.Log.Emit(event.PartFailed, event.Fields{"part": "peers", "error": err.Error()})
	}
}

// reload checks the settings again and logs the result; changes take effect at the next start.
func (s *Server) reload() {
	fields := event.Fields{}
	if err := s.Check(); err != nil {
		fields["error"] = err.Error()
	}
	s.Log.Emit(event.Reloaded, fields)
}

// refresh reads the configuration repeatedly until ctx ends, at twice the rate after a failure.
func (s *Server) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		call, done := context.WithTimeout(ctx, refreshTimeout)
		err := s.policy.Refresh(call)
		done()
		if failed := err != nil; failed != s.refreshFailing {
			s.refreshFailing = failed
			if failed {
				s.Log.Emit(event.StoreLost, event.Fields{"call": "configuration", "error": err.Error()})
			} else {
				s.Log.Emit(event.StoreBack, event.Fields{"call": "configuration"})
			}
		}
		wait := refreshInterval
		if err != nil {
			wait = refreshInterval / 2
		}
		pause.For(ctx, wait)
	}
}
