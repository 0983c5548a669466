package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// keyPrefix precedes an instance's name in the key of its entry; the entries list the instances that are up.
	keyPrefix = "node/"
	// leaseTTL is how long an instance stays listed after it has stopped; a call to a stopped peer costs one attempt.
	leaseTTL = 8 * time.Second
	// refreshEvery is how often an instance renews its own entry and reads those of the others.
	refreshEvery = 2 * time.Second
	// refreshTimeout limits one such refresh.
	refreshTimeout = time.Second
	// largerPeerFactor is how many times this instance's cores a peer must have to be preferred as the owner: a handover takes
	// 0.1 s, which a smaller difference does not make up for.
	largerPeerFactor = 1.5
)

// Peer is an instance as it is listed in the key-value store.
type Peer struct {
	Name    string `json:"-"`
	Address string `json:"address"`
	// DataCentre is the instance's data centre; empty if unknown.
	DataCentre string `json:"dataCentre,omitempty"`
	// Cores is the number of processor cores that the instance may use, possibly a fraction; zero if unknown.
	Cores float64 `json:"cores,omitempty"`
}

// Peers keeps this instance listed in the key-value store and caches the list of the others.
type Peers struct {
	Store store.Transactor
	Self  Peer
	Log   *event.Log

	mu     sync.Mutex
	others []Peer
	lease  int64
}

// Others returns the other instances as of the last successful read.
func (p *Peers) Others() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Peer(nil), p.others...)
}

// HasLargerPeer reports whether a listed peer has at least largerPeerFactor times this instance's cores; false if these are
// unknown.
func (p *Peers) HasLargerPeer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Self.Cores > 0 && slices.ContainsFunc(p.others, func(o Peer) bool { return o.Cores >= largerPeerFactor*p.Self.Cores })
}

// AddressesIn returns the addresses of the listed peers in the data centre, those with the most cores first.
func (p *Peers) AddressesIn(dataCentre string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var matching []Peer
	for _, o := range p.others {
		if o.DataCentre == dataCentre {
			matching = append(matching, o)
		}
	}
	slices.SortStableFunc(matching, func(a, b Peer) int { return cmp.Compare(b.Cores, a.Cores) })
	addresses := make([]string, len(matching))
	for i, o := range matching {
		addresses[i] = o.Address
	}
	return addresses
}

// Addresses returns the addresses of all listed peers.
func (p *Peers) Addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, len(p.others))
	for i, o := range p.others {
		addresses[i] = o.Address
	}
	return addresses
}

// AddressOf returns the address of the listed peer of that name, or an empty string.
func (p *Peers) AddressOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.others {
		if o.Name == name {
			return o.Address
		}
	}
	return ""
}

// Run renews the entry and reads the list until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	reads := event.ListReads(p.Log, "instances")
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := errors.Join(p.register(callCtx), p.refresh(callCtx))
		cancel()
		if ctx.Err() == nil {
			reads.Report(err)
		}
		pause.For(ctx, refreshEvery)
	}
}

// Count returns the number of instances that are known, including this one.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.others) + 1
}

// Listed reports whether this instance holds a lease for its entry, so that Ping costs only a renewal.
func (p *Peers) Listed() bool { return p.entryLease() != 0 }

// Ping renews the lease of the entry to learn whether the key-value store responds; without a lease it reads the entry. It returns nil
// if the store has responded, even if the lease has lapsed.
func (p *Peers) Ping(ctx context.Context) error {
	lease := p.entryLease()
	if lease == 0 {
		_, err := p.Store.Item(ctx, keyPrefix+p.Self.Name)
		return err
	}
	err := p.Store.Renew(ctx, lease)
	var lapsedErr *store.LapsedError
	if errors.As(err, &lapsedErr) {
		return nil
	}
	return err
}

func (p *Peers) entryLease() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease
}

func (p *Peers) setEntryLease(lease int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease = lease
}

// register renews the lease of the entry, or creates the entry again if its lease has lapsed.
func (p *Peers) register(ctx context.Context) error {
	if held := p.entryLease(); held != 0 {
		err := p.Store.Renew(ctx, held)
		var lapsedErr *store.LapsedError
		if !errors.As(err, &lapsedErr) {
			return err
		}
		p.setEntryLease(0)
	}
	data, err := json.Marshal(p.Self)
	if err != nil {
		return err
	}
	lease, err := p.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if _, err := p.Store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: keyPrefix + p.Self.Name, Data: data, Lease: lease}}}); err != nil {
		return err
	}
	p.setEntryLease(lease)
	return nil
}

func (p *Peers) refresh(ctx context.Context) error {
	items, _, err := p.Store.Range(ctx, keyPrefix)
	if err != nil {
		return err
	}
	others := make([]Peer, 0, len(items))
	for _, item := range items {
		peer := Peer{Name: strings.TrimPrefix(item.Key, keyPrefix)}
		if err := json.Unmarshal(item.Data, &peer); err != nil {
			p.Log.Emit(event.RecordBad, event.Fields{"key": item.Key, "error": err.Error()})
			continue
		}
		if peer.Name != p.Self.Name {
			others = append(others, peer)
		}
	}
	p.mu.Lock()
	p.others = others
	p.mu.Unlock()
	return nil
}
