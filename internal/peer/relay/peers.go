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
	// prefix holds the instances that are up, by name.
	prefix = "node/"
	// leaseTTL is how long an instance is listed after its end; a peer that does not answer costs one try.
	leaseTTL = 8 * time.Second
	// beatEvery is how often an instance renews its entry and reads the others'.
	beatEvery = 2 * time.Second
	// beatTimeout bounds each call for it.
	beatTimeout = time.Second
	// outclassedBy is how many times this instance's processor another must have to be the better owner: a hand-over costs a
	// tenth of a second, which smaller differences don't win back.
	outclassedBy = 1.5
)

// Peer is another instance.
type Peer struct {
	Name    string `json:"-"`
	Address string `json:"address"`
	// DataCentre is where the instance is, empty if that is not known.
	DataCentre string `json:"dataCentre,omitempty"`
	// Cores is how much of a processor the instance has, zero if that is not known.
	Cores float64 `json:"cores,omitempty"`
}

// Peers keeps this instance listed and knows the others.
type Peers struct {
	Store store.Transactor
	Self  Peer
	Log   *event.Log

	mu     sync.Mutex
	others []Peer
	lease  int64
}

// Others returns the other instances that were listed last.
func (p *Peers) Others() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Peer(nil), p.others...)
}

// Outclassed reports whether another listed instance has far more of a processor than this one.
func (p *Peers) Outclassed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Self.Cores > 0 && slices.ContainsFunc(p.others, func(o Peer) bool { return o.Cores >= outclassedBy*p.Self.Cores })
}

// In returns the addresses of the other instances that were last listed in the data centre, the largest first.
func (p *Peers) In(dataCentre string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var there []Peer
	for _, o := range p.others {
		if o.DataCentre == dataCentre {
			there = append(there, o)
		}
	}
	slices.SortStableFunc(there, func(a, b Peer) int { return cmp.Compare(b.Cores, a.Cores) })
	addresses := make([]string, len(there))
	for i, o := range there {
		addresses[i] = o.Address
	}
	return addresses
}

// Address returns where the other instance of that name was last listed, or nothing.
func (p *Peers) Address(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.others {
		if o.Name == name {
			return o.Address
		}
	}
	return ""
}

// Run keeps the entry until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		call, done := context.WithTimeout(ctx, beatTimeout)
		if err := errors.Join(p.enter(call), p.read(call)); err != nil && ctx.Err() == nil {
			p.Log.Emit(event.ListLost, event.Fields{"list": "instances", "error": err.Error()})
		}
		done()
		pause.For(ctx, beatEvery)
	}
}

// enter renews the entry, or makes it anew if its lease has lapsed.
func (p *Peers) enter(ctx context.Context) error {
	if p.lease != 0 {
		err := p.Store.Renew(ctx, p.lease)
		var lapsed *store.LapsedError
		if !errors.As(err, &lapsed) {
			return err
		}
		p.lease = 0
	}
	data, err := json.Marshal(p.Self)
	if err != nil {
		return err
	}
	lease, err := p.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if _, err := p.Store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: prefix + p.Self.Name, Data: data, Lease: lease}}}); err != nil {
		return err
	}
	p.lease = lease
	return nil
}

func (p *Peers) read(ctx context.Context) error {
	items, _, err := p.Store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	others := make([]Peer, 0, len(items))
	for _, item := range items {
		peer := Peer{Name: strings.TrimPrefix(item.Key, prefix)}
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
