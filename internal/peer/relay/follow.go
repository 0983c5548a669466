package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// listWait is how long each of many instances waits for a change of the entries before it reads them again: a watch may be silent. An
// entry lives for nearly as long after its instance has stopped.
const listWait = 10 * time.Second

// Follow keeps the list of the other instances until ctx ends: a few instances read it every refreshEvery, each of many watches it.
func (p *Peers) Follow(ctx context.Context) {
	reads := event.ListReads(p.Log, "instances")
	for ctx.Err() == nil {
		due := time.After(refreshEvery)
		callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		asOf, err := p.refresh(callCtx)
		cancel()
		if ctx.Err() == nil {
			reads.Report(err)
		}
		if err == nil && store.Pace(refreshEvery, p.Count()) > refreshEvery {
			p.follow(ctx, asOf)
		}
		select {
		case <-ctx.Done():
		case <-due:
		}
	}
}

// follow applies changes after the revision until no watch has shown any for listWait, or one has failed or was interrupted.
func (p *Peers) follow(ctx context.Context, after int64) {
	for {
		changes, upTo, err := p.watch(ctx, after)
		if err != nil || len(changes) == 0 {
			return
		}
		p.apply(changes)
		after = upTo
		if !pause.For(ctx, refreshEvery) {
			return
		}
	}
}

// watch waits for changes of the entries; interruptWatch ends it.
func (p *Peers) watch(ctx context.Context, after int64) (changes []store.Change, upTo int64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, listWait+refreshTimeout)
	defer cancel()
	p.mu.Lock()
	p.cancelWatch = cancel
	p.mu.Unlock()
	return p.Store.Changes(callCtx, keyPrefix, after, listWait)
}

// interruptWatch ends a watch that waits, as the connection that it waits on may be dead.
func (p *Peers) interruptWatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancelWatch != nil {
		p.cancelWatch()
	}
}

// refresh reads the list, and returns the revision as of which it is.
func (p *Peers) refresh(ctx context.Context) (asOf int64, err error) {
	items, asOf, err := p.Store.Range(ctx, keyPrefix)
	if err != nil {
		return 0, err
	}
	others := make([]Peer, 0, len(items))
	for _, item := range items {
		if peer, ok := p.decode(item); ok {
			others = append(others, peer)
		}
	}
	p.setOthers(others)
	return asOf, nil
}

// apply takes changes of entries into the list.
func (p *Peers) apply(changes []store.Change) {
	others := p.Others()
	for _, change := range changes {
		name := strings.TrimPrefix(change.Key, keyPrefix)
		others = slices.DeleteFunc(others, func(o Peer) bool { return o.Name == name })
		if change.Deleted {
			continue
		}
		if peer, ok := p.decode(change.Item); ok {
			others = append(others, peer)
		}
	}
	p.setOthers(others)
}

// decode returns the instance of an entry, unless it is this one or the entry can't be read.
func (p *Peers) decode(item store.Item) (peer Peer, ok bool) {
	if err := json.Unmarshal(item.Data, &peer); err != nil {
		p.Log.Emit(event.RecordBad, event.Fields{"key": item.Key, "error": err.Error()})
		return Peer{}, false
	}
	peer.Name = strings.TrimPrefix(item.Key, keyPrefix)
	return peer, peer.Name != p.Self.Name
}

// setOthers replaces the list; it is in the order of names at every instance.
func (p *Peers) setOthers(others []Peer) {
	slices.SortFunc(others, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others = others
}
