package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/state/config"
)

const (
	// maxProofAge is the maximum age of the proof that the data centre is not drained.
	maxProofAge = 3 * time.Second
	// peerProofInterval is the time between requests to the peers while the key-value store does not respond.
	peerProofInterval = 700 * time.Millisecond
	// storeSilence is how long the store must not have responded before the peers are asked.
	storeSilence = 1500 * time.Millisecond
)

// startPermits keeps the freshness proof of the active revision, without which no task may start.
type startPermits struct {
	daemon      *Daemon
	mu          sync.Mutex
	peerProofAt time.Time
}

// Permit reports whether the freshness proof is recent enough for a task to start.
func (p *startPermits) Permit(now time.Time) bool {
	if now.Sub(p.daemon.conf.ConfirmedAt()) <= maxProofAge {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.peerProofAt) <= maxProofAge
}

// askPeers gets a freshness proof from the peers while the store does not respond: a recent confirmation by one of them, or
// answers of all of them that none has a command in progress or a higher revision.
func (p *startPermits) askPeers(ctx context.Context) {
	d := p.daemon
	asked := d.now()
	active := d.conf.Active()
	if asked.Sub(d.conf.ConfirmedAt()) <= storeSilence && active.Document != nil {
		return
	}
	others := d.peers.others()
	answers := callAll(ctx, others, func(callCtx context.Context, address string) (*link.StatusReply, error) {
		return d.peers.client.Status(callCtx, address, &link.StatusRequest{From: d.settings.Instance})
	})
	p.fetchNewer(ctx, answers)
	proof, ok := proofTime(answers, d.revision(), asked)
	if !ok || d.conf.CommandUnresolved() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if proof.After(p.peerProofAt) {
		p.peerProofAt = proof
	}
}

// proofTime returns the last time at which the revision was certainly the latest; ok is false if the answers don't prove it.
func proofTime(answers []*link.StatusReply, revision int64, asked time.Time) (proof time.Time, ok bool) {
	allAgree := len(answers) > 0
	for _, answer := range answers {
		if answer == nil || answer.Applying || answer.Revision > revision {
			allAgree = false
			continue
		}
		confirmed := asked.Add(-answer.ConfirmedAgo)
		if answer.Revision == revision && confirmed.After(proof) {
			proof, ok = confirmed, true
		}
	}
	if allAgree {
		return asked, true
	}
	return proof, ok
}

// fetchNewer fetches and activates a higher revision that a peer has.
func (p *startPermits) fetchNewer(ctx context.Context, answers []*link.StatusReply) {
	d := p.daemon
	others := d.peers.others()
	for i, answer := range answers {
		if answer == nil || answer.Revision <= d.revision() || i >= len(others) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := d.peers.client.Fetch(callCtx, others[i].Address, &link.FetchRequest{From: d.settings.Instance})
		cancel()
		if err == nil && reply.Found {
			d.activate(&reply.Document, config.FromPeer)
		}
	}
}

func (d *Daemon) revision() int64 {
	if doc := d.conf.Active().Document; doc != nil {
		return doc.Revision
	}
	return 0
}
