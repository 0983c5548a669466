package local

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/node/daemon"
	"github.com/lentildeck/lentildeck/internal/node/setup"
	"github.com/lentildeck/lentildeck/internal/oper/client"
	"github.com/lentildeck/lentildeck/internal/peer/list"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/sourcegraph/conc"
)

const (
	// anyPort listens on a free port of the loopback interface.
	anyPort = "127.0.0.1:0"
	// token is shared by all servers of the process; it protects nothing outside of it.
	token = "local-stand-in-token"
	// balancerLag is short, as there is no balancer.
	balancerLag = 200 * time.Millisecond
	// workerInterval is the time between calls to each worker.
	workerInterval = 300 * time.Millisecond
	// workerLease is longer than the change of an owner takes.
	workerLease = 6 * time.Second
)

// Instance is one running instance, with a client of its ports.
type Instance struct {
	Name       string
	DataCentre string
	Daemon     *daemon.Daemon
	Client     *client.Client
	stop       context.CancelFunc
}

// Cluster holds the instances and the fakes of the platform that run in the process.
type Cluster struct {
	KV       *fake.KV
	List     *fake.List
	Workers  *fake.Workers
	Backends []*fake.Backend

	mu             sync.Mutex
	nodes          []*Instance
	log            *event.Log
	now            func() time.Time
	platformServer *fake.Server
	workerServer   *fake.Server
	wg             conc.WaitGroup
}

// StartPlatform starts the fakes of the platform on the given addresses and writes the sample configuration to the store.
func StartPlatform(ctx context.Context, platformAt, workersAt string, log *event.Log, now func() time.Time) (*Cluster, error) {
	c := &Cluster{KV: fake.NewKV(now), List: fake.NewList(), Workers: fake.NewWorkers(now), log: log, now: now}
	var err error
	if c.platformServer, err = fake.ServePlatform(platformAt, c.KV, c.List); err != nil {
		return nil, err
	}
	if c.workerServer, err = fake.ServeWorkers(workersAt, token, c.Workers); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	for _, p := range dataCentres {
		for n := range backendsPerCentre {
			if err := c.addBackend(fmt.Sprintf("runner-%s-%d", p.short, n), p.name); err != nil {
				return nil, errors.Join(err, c.Close())
			}
		}
	}
	return c, c.writeSampleConfig(ctx)
}

// Start starts the fakes of the platform and the seven instances of the sample.
func Start(ctx context.Context, log *event.Log, now func() time.Time) (*Cluster, error) {
	c, err := StartPlatform(ctx, anyPort, anyPort, log, now)
	if err != nil {
		return nil, err
	}
	for _, p := range dataCentres {
		for n := range p.instances {
			if _, err := c.AddInstance(fmt.Sprintf("%s-entry-%d", p.short, n), p.name); err != nil {
				return nil, errors.Join(err, c.Close())
			}
		}
	}
	return c, nil
}

// PlatformURL returns the URL of the fake key-value store and the fake instance list.
func (c *Cluster) PlatformURL() string { return c.platformServer.URL() }

// WorkersURL returns the URL of the fake workers, with {worker} in place of the name.
func (c *Cluster) WorkersURL() string { return c.workerServer.URL() + "/workers/{worker}" }

func (c *Cluster) addBackend(name, centre string) error {
	backend, err := fake.NewBackend(name, anyPort, c.now)
	if err != nil {
		return err
	}
	c.Backends = append(c.Backends, backend)
	c.List.Add(list.Instance{Name: name, Kind: list.Backend, DataCentre: centre, Address: backend.Address()})
	return nil
}

// writeSampleConfig writes the sample configuration to the store, like an operator's first `config apply`.
func (c *Cluster) writeSampleConfig(ctx context.Context) error {
	client := store.NewClient(c.KV, store.NewBudget(100, 100), c.now, func() string { return "sample" })
	entry, err := client.Get(ctx, store.Commands, config.Key)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(Sample(c.now()))
	if err != nil {
		return err
	}
	_, err = client.Swap(ctx, store.Commands, entry, json.RawMessage(raw), 0)
	return err
}

// Settings returns the settings of an instance of this cluster.
func (c *Cluster) Settings(name, centre string) setup.Settings {
	s := setup.Default()
	s.Instance, s.DataCentre = name, centre
	s.Listen = setup.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort}
	s.Store.Endpoint = c.PlatformURL()
	s.List.Endpoint, s.List.PollInterval = c.PlatformURL(), span.Of(300*time.Millisecond)
	s.Workers.Endpoint, s.Workers.Token = c.WorkersURL(), token
	s.Workers.PollInterval, s.Workers.Lease = span.Of(workerInterval), span.Of(workerLease)
	s.Operators.Token = token
	s.BalancerLag = span.Of(balancerLag)
	return s
}

// AddInstance starts an instance and adds it to the instance list.
func (c *Cluster) AddInstance(name, centre string) (*Instance, error) {
	settings := c.Settings(name, centre)
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	d, err := daemon.New(settings, c.log, c.now)
	if err != nil {
		return nil, err
	}
	callers, operators, peers := d.Addresses()
	ctx, cancel := context.WithCancel(context.Background())
	node := &Instance{
		Name: name, DataCentre: centre, Daemon: d, stop: cancel,
		Client: client.New("http://"+operators, "http://"+callers, token, "local", nil),
	}
	c.List.Add(list.Instance{Name: name, Kind: list.Entry, DataCentre: centre, Address: peers})
	c.wg.Go(func() {
		if err := d.Run(ctx); err != nil {
			c.log.Emit(event.PartFailed, event.Fields{"part": name, "error": err.Error()})
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, node)
	return node, nil
}

// Instances returns the instances that have not been removed, in the order in which they were added.
func (c *Cluster) Instances() []*Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Instance(nil), c.nodes...)
}

// Remove stops an instance and waits for its end: by a planned stop, or abruptly, like the crash of its process.
func (c *Cluster) Remove(node *Instance, abrupt bool) {
	c.mu.Lock()
	for i, other := range c.nodes {
		if other == node {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	if abrupt {
		node.Daemon.Kill()
	}
	c.List.Set(node.Name, list.Leaving, abrupt)
	node.stop()
	<-node.Daemon.Done()
	c.List.Set(node.Name, list.Leaving, true)
}

// Close stops all instances, then the fakes.
func (c *Cluster) Close() error {
	var stops conc.WaitGroup
	for _, node := range c.Instances() {
		stops.Go(func() {
			node.stop()
			<-node.Daemon.Done()
		})
	}
	stops.Wait()
	c.wg.Wait()
	var all error
	for _, backend := range c.Backends {
		all = errors.Join(all, backend.Close())
	}
	if c.workerServer != nil {
		all = errors.Join(all, c.workerServer.Close())
	}
	return errors.Join(all, c.platformServer.Close())
}
