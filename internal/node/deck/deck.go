package deck

import (
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
	"github.com/lentildeck/lentildeck/internal/kern/abort"
	"github.com/lentildeck/lentildeck/internal/kern/build"
	"github.com/lentildeck/lentildeck/internal/kern/clock"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/kern/plug"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/peer/relay"
	"github.com/lentildeck/lentildeck/internal/peer/renew"
	"github.com/lentildeck/lentildeck/internal/peer/tell"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// refreshEvery is how often the configuration is read: several times within the oldest allowed age of its proof.
	refreshEvery = 400 * time.Millisecond
	// refreshTimeout bounds one read; a store that is slow by a hundred times still answers in it.
	refreshTimeout = 600 * time.Millisecond
	// readyAge is the oldest proof of the configuration under which callers are led here: two reads that failed. It is well
	// below what keys need, as the balancer takes two more seconds to notice.
	readyAge = 1200 * time.Millisecond
	// resignTimeout bounds the wait for the owner's lease to be handed back, which began with the stop.
	resignTimeout = 700 * time.Millisecond
	// leaveBefore is kept of the grace period for closing channels and ending the process.
	leaveBefore = 1500 * time.Millisecond
)

// Parts is what a site provides.
type Parts struct {
	Instance string
	Store    store.Transactor
	Agent    agent.Client
	Lister   term.Lister
	Source   policy.Source
	Bounds   term.Bounds
	// KeyAge is the oldest proof of the configuration under which keys are accepted.
	KeyAge time.Duration
	// Grace is the time between a request to stop and a kill.
	Grace time.Duration
	// DataCentre is where the instance is.
	DataCentre string
	// Cores is how much of a processor the instance has, zero if that is not known.
	Cores float64
	// PeerAddress is where other instances reach this one; without it, requests are not relayed.
	PeerAddress string
	// Log is where the instance's events go.
	Log *event.Log
	// Serve opens the listeners and returns after stop is closed or when one fails.
	Serve func(node *Node, stop <-chan struct{}) error
	// Check reads the settings again.
	Check func() error
}

// Opener makes the parts of a site.
type Opener func(log *event.Log) (Parts, error)

// Sites are the registered sites.
var Sites = plug.New[Opener]("site")

// Node is one instance.
type Node struct {
	Parts
	Jobs    *admit.Service
	Meter   *meter.Set
	policy  *policy.Holder
	peers   *relay.Peers
	fleet   *fleet
	elector *term.Elector
	// teller tells the owner of accepted jobs; nil where instances don't reach each other.
	teller *tell.Teller
	// substitute prolongs leases for an owner elsewhere.
	substitute *renew.Substitute
	stopping   atomic.Bool
	lost       bool
}

// New wires an instance.
func New(parts Parts) *Node {
	log := parts.Log
	n := &Node{Parts: parts, Meter: meter.New(parts.Instance)}
	n.policy = policy.NewHolder(parts.Source, clock.Now, n.inForce)
	n.Jobs = &admit.Service{
		Store: parts.Store, Policy: n.policy, MaxAge: parts.KeyAge, Log: log, Meter: n.Meter, Now: clock.Now, WallNow: time.Now,
	}
	n.fleet = &fleet{lister: parts.Lister, log: log, now: clock.Now}
	n.Jobs.Servable = n.fleet.servable
	n.peers = &relay.Peers{Store: parts.Store, Self: relay.Peer{Name: parts.Instance, Address: parts.PeerAddress, DataCentre: parts.DataCentre, Cores: parts.Cores}, Log: log}
	client := link.NewClient(nil)
	if parts.PeerAddress != "" {
		n.Jobs.Relay = &relay.Relay{Peers: n.peers, Client: client, Log: log}
	}
	n.substitute = &renew.Substitute{Agent: parts.Agent, Log: log, Now: clock.Now, Life: rand.Int64N(math.MaxInt64) + 1}
	n.elector = &term.Elector{
		Instance: parts.Instance, Store: parts.Store, Agent: parts.Agent, Lister: parts.Lister, Policy: n.policy,
		DataCentre: parts.DataCentre, Substitutes: &renew.Client{Link: client},
		Bounds: parts.Bounds, Peers: n.peers, Log: log, Meter: n.Meter, Now: clock.Now, WallNow: time.Now,
	}
	if parts.PeerAddress != "" {
		n.teller = tell.New(n.elector, func() string { return n.peers.Address(n.elector.Known()) }, client, log, n.Meter)
		n.Jobs.Accepted = func(job string, spec []byte, revision int64) {
			n.teller.Tell(&tell.Job{ID: job, Spec: spec, Revision: revision})
		}
	}
	n.Meter.Publish("owner", func() any { return n.elector.Owns() })
	return n
}

func (n *Node) inForce(s policy.Snapshot) {
	n.Log.Emit(event.PolicyInForce, event.Fields{"version": s.Policy.Version, "queues": len(s.Policy.Queues), "workspaces": len(s.Policy.Workspaces), "evacuated": len(s.Evacuated)})
}

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Leaving reports whether callers should open their next channel to another instance.
func (n *Node) Leaving() bool { return !n.Ready() }

// Ready reports whether callers should be led here.
func (n *Node) Ready() bool {
	snapshot, proved := n.policy.Current()
	return !n.Stopping() && snapshot.Policy != nil && clock.Now().Sub(proved) < min(n.KeyAge, readyAge)
}

// Signals returns the signals that Run understands as they come.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Run serves until a signal tells it to stop; SIGHUP makes it read its settings again.
func (n *Node) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	elected := make(chan struct{})
	served := make(chan error, 1)
	owning, resign := context.WithCancel(ctx)
	defer resign()
	parts := abort.Parts{Log: n.Log}
	parts.Go("configuration", func() { n.refresh(ctx) })
	parts.Go("workers", func() { n.fleet.run(ctx) })
	parts.Go("owner", func() { n.elector.Run(owning, elected) })
	if n.PeerAddress != "" {
		parts.Go("instances", func() { n.peers.Run(ctx) })
		parts.Go("peers", func() { n.servePeers(ctx) })
		parts.Go("substitute", func() { n.substitute.Run(ctx) })
		parts.Go("teller", func() { n.teller.Run(ctx) })
	}
	parts.Go("front", func() { served <- n.Serve(n, stop) })
	n.Log.Emit(event.Started, event.Fields{"instance": n.Instance, "version": build.Version()})
	for {
		select {
		case err := <-served:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				n.reload()
				continue
			}
			n.stopping.Store(true)
			n.Log.Emit(event.Stopping, event.Fields{"signal": sig.String(), "grace": n.Grace.String()})
			resign()
			pause.For(ctx, max(n.Grace-leaveBefore, 0))
			close(stop)
			err := <-served
			select {
			case <-elected:
			case <-time.After(resignTimeout):
			}
			n.Log.Emit(event.Stopped, event.Fields{})
			return err
		}
	}
}

// servePeers carries out requests of instances that are cut off from the key-value service, and of the owner.
func (n *Node) servePeers(ctx context.Context) {
	server, err := link.Serve(link.Service{Handler: n.Jobs, Methods: relay.Description{}}, link.Service{Handler: n.substitute, Methods: renew.Description{}},
		link.Service{Handler: n.elector, Methods: tell.Description{}})
	if err == nil {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", n.PeerAddress); err == nil {
			err = server.Serve(ctx, listener)
		}
	}
	if err != nil && ctx.Err() == nil {
		n.Log.Emit(event.PartFailed, event.Fields{"part": "peers", "error": err.Error()})
	}
}

// reload reads the settings again; what they hold takes effect at the next start.
func (n *Node) reload() {
	fields := event.Fields{}
	if err := n.Check(); err != nil {
		fields["error"] = err.Error()
	}
	n.Log.Emit(event.Reloaded, fields)
}

// refresh keeps the configuration fresh.
func (n *Node) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		call, done := context.WithTimeout(ctx, refreshTimeout)
		err := n.policy.Refresh(call)
		done()
		if failed := err != nil; failed != n.lost {
			n.lost = failed
			if failed {
				n.Log.Emit(event.StoreLost, event.Fields{"call": "configuration", "error": err.Error()})
			} else {
				n.Log.Emit(event.StoreBack, event.Fields{"call": "configuration"})
			}
		}
		wait := refreshEvery
		if err != nil {
			wait = refreshEvery / 2
		}
		pause.For(ctx, wait)
	}
}
