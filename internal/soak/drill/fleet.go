package drill

import (
	"bytes"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/link"
	"github.com/lentildeck/lentildeck/internal/soak/proc"
	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/store"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

const (
	// own begins the instances' addresses, whose second byte is instanceNet. Instances of data centre i see the peers at an address
	// whose second byte is larger by viewStep times i+1 and has as many digits, so that it can be replaced in any encoding.
	own         = "127.20."
	instanceNet = 20
	viewStep    = 10
	workerNet   = 70
	// portsPerInstance are the ports for callers, readiness, metrics and peers.
	portsPerInstance = 4
	firstPort        = 20000
	portRanges       = 2500
	storeDelayLine   = time.Millisecond
	grace            = 2 * time.Second
)

// node is an instance with its ways to the store and from its peers.
type node struct {
	*proc.Instance
	dc        int
	port      *store.Port
	server    *http.Server
	storeLink *link.Link
	// peerLinks are the ways from the instances of each data centre.
	peerLinks []*link.Link
	forwards  []*link.Forwarder
	mu        sync.Mutex
	troubles  map[int]store.Trouble
}

// fleet is all that runs on a day.
type fleet struct {
	plan    Plan
	trail   *trail.Trail
	store   *store.Store
	nodes   []*node
	workers []*worker.Worker
	byDC    [][]*worker.Worker
}

func newFleet(plan Plan, seen *trail.Trail, random *rand.Rand) (*fleet, error) {
	s := plan.Site
	f := &fleet{plan: plan, trail: seen, byDC: make([][]*worker.Worker, len(s.DataCentres))}
	f.store = store.New(store.Limits{WritesPerS: s.WritesPerS, ReadsPerS: s.ReadsPerS, Delay: s.StoreDelay, History: s.History})
	f.store.Views = f.views
	f.store.OnCommit = func(instance string, writes, deletes []string) {
		for _, key := range append(writes, deletes...) {
			if key == ownerKey {
				seen.Logf(time.Now(), "instance %s writes the owner", instance)
			}
		}
	}
	if err := f.store.Put(time.Now(), "op/config", s.Config(1)); err != nil {
		return nil, err
	}
	place := &worker.Place{Site: s, Trail: seen, Registry: f.store, Gangs: worker.NewGangs(), Planted: plants[plan.Plant].workers}
	for dc, name := range s.DataCentres {
		for n := range s.Workers {
			ip := fmt.Sprintf("127.%d.%d.%d", workerNet+dc, n/200, 1+n%200)
			w := worker.New(place, ip, name, fmt.Sprintf("r%d-%d", dc, n/s.Rack), random.Uint64())
			f.workers, f.byDC[dc] = append(f.workers, w), append(f.byDC[dc], w)
			if err := w.Start(time.Now(), false); err != nil {
				return f, err
			}
		}
	}
	return f, f.addNodes(random)
}

// views returns a value with the addresses of instances as those of each data centre see them.
func (f *fleet) views(value []byte) [][]byte {
	if !bytes.Contains(value, []byte(own)) {
		return nil
	}
	var views [][]byte
	for dc := range f.plan.Site.DataCentres {
		views = append(views, bytes.ReplaceAll(value, []byte(own), []byte(seenAt(own, dc))))
	}
	return views
}

func (f *fleet) addNodes(random *rand.Rand) error {
	s := f.plan.Site
	counts := make([]int, len(s.DataCentres))
	for _, m := range s.Machines {
		dc := 0
		for s.DataCentres[dc] != m.DataCentre {
			dc++
		}
		for range m.Count {
			counts[dc]++
			if err := f.addNode(m, dc, counts[dc], random); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) addNode(m site.Machines, dc, number int, random *rand.Rand) error {
	s := f.plan.Site
	ip := fmt.Sprintf("%s%d.%d", own, dc+1, number)
	base := freePorts(ip, len(s.DataCentres), random)
	n := &node{dc: dc, troubles: make(map[int]store.Trouble), storeLink: link.New(link.State{Delay: storeDelayLine, BytesPerS: m.Mbps * 125000})}
	name := fmt.Sprintf("edge-%s-%d", m.DataCentre, number)
	n.port = f.store.Port(name, dc, random.Uint64())
	inner, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", instanceNet, 100+dc, number))
	if err != nil {
		return err
	}
	n.server = &http.Server{Handler: n.port, ErrorLog: log.New(f.trail, "", 0)}
	go func() {
		if err := n.server.Serve(n.storeLink.Listener(inner)); !errors.Is(err, http.ErrServerClosed) {
			f.trail.Logf(time.Now(), "store of %s: %v", name, err)
		}
	}()
	n.Instance, err = proc.New(s, site.Instance{
		Name: name, DataCentre: m.DataCentre, IP: ip, Front: address(ip, base), Readiness: address(ip, base+1), FirstPort: base + 2,
		LastPort: base + 3, StoreAddress: inner.Addr().String(), Machines: m, Bootstrap: true,
	}, f.plan.Binary, f.plan.Folder, f.trail)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	for from := range s.DataCentres {
		l := link.New(link.State{})
		forward, err := l.Forward(address(seenAt(ip, from), base+3), address(ip, base+3))
		if err != nil {
			return err
		}
		n.peerLinks, n.forwards = append(n.peerLinks, l), append(n.forwards, forward)
	}
	return n.Start(time.Now())
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// freePorts returns the first of portsPerInstance ports that are free at the address and where peers see it.
func freePorts(ip string, dataCentres int, random *rand.Rand) int {
	for {
		base := firstPort + random.IntN(portRanges)*portsPerInstance
		free := true
		for i := range portsPerInstance {
			for view := range dataCentres + 1 {
				free = free && isFree(address(seenAt(ip, view-1), base+i))
			}
		}
		if free {
			return base
		}
	}
}

func isFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	return err == nil && l.Close() == nil
}

// seenAt returns the address at which instances of a data centre see an instance; it is the instance's own for -1.
func seenAt(ip string, dataCentre int) string {
	return strings.Replace(ip, own, fmt.Sprintf("127.%d.", instanceNet+viewStep*(dataCentre+1)), 1)
}

const ownerKey = "owner"

// owner returns the instance that decides, or nil.
func (f *fleet) owner() *node {
	value := f.store.Value(ownerKey)
	for _, n := range f.nodes {
		if bytes.Contains(value, []byte(`"`+n.Name+`"`)) {
			return n
		}
	}
	return nil
}

// rooms returns what is free on each worker.
func (f *fleet) rooms() []worker.Room {
	rooms := make([]worker.Room, len(f.workers))
	for i, w := range f.workers {
		rooms[i] = w.Room()
	}
	return rooms
}

// add puts a trouble on the node's way to the store, and remove takes it away.
func (n *node) add(id int, t store.Trouble) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.troubles[id] = t
	n.port.Set(sum(n.troubles))
}

func (n *node) remove(id int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.troubles, id)
	n.port.Set(sum(n.troubles))
}

func sum(troubles map[int]store.Trouble) store.Trouble {
	var all store.Trouble
	for _, t := range troubles {
		all.Refuse = max(all.Refuse, t.Refuse)
		all.Silent = all.Silent || t.Silent
		all.Slow += t.Slow
		all.Lost = max(all.Lost, t.Lost)
	}
	return all
}

// close ends all processes and servers, and returns an error for each process that had ended by itself.
func (f *fleet) close() []error {
	var errs []error
	for _, n := range f.nodes {
		if n.Instance == nil {
			continue
		}
		if err := n.Close(time.Now()); err != nil {
			errs = append(errs, err)
		}
	}
	for _, n := range f.nodes {
		for _, forward := range n.forwards {
			if err := forward.Close(); err != nil {
				errs = append(errs, err)
			}
		}
		if err := n.server.Close(); err != nil {
			errs = append(errs, err)
		}
	}
	for _, w := range f.workers {
		w.Crash(time.Now(), "the day is over")
	}
	f.store.Close()
	return errs
}
