package relay

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// recentFor is how long a peer's last reply tells whether another request to it is worthwhile; outages last seconds.
const recentFor = time.Second

// recent remembers which peers gave a conclusive reply lately and which did not.
type recent struct {
	mu      sync.Mutex
	replies map[string]recentReply
}

// recentReply is when a peer replied or failed to, whether it replied at all and whether the reply was conclusive.
type recentReply struct {
	at         time.Time
	reached    bool
	conclusive bool
}

// note records the result of a request to the peer, and forgets results that are no longer recent.
func (r *recent) note(peer string, reply recentReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replies == nil {
		r.replies = make(map[string]recentReply)
	}
	maps.DeleteFunc(r.replies, func(_ string, last recentReply) bool { return reply.at.Sub(last.at) > recentFor })
	r.replies[peer] = reply
}

// noneReached reports whether at least one of the peers was asked lately and none of them replied.
func (r *recent) noneReached(peers []Peer, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := false
	for _, peer := range peers {
		last, known := r.replies[peer.Name]
		if !known || now.Sub(last.at) > recentFor {
			continue
		}
		if last.reached {
			return false
		}
		asked = true
	}
	return asked
}

// Ranks of peers, the most promising first.
const (
	rankConclusive = iota
	rankUnknown
	rankFailed
)

func (r *recent) rank(peer string, now time.Time) int {
	last, known := r.replies[peer]
	switch {
	case !known || now.Sub(last.at) > recentFor:
		return rankUnknown
	case last.conclusive:
		return rankConclusive
	default:
		return rankFailed
	}
}

// choose returns the peers to ask in their order: at most limit that have not failed lately and, while these are fewer than
// least, some that have. Peers of equal rank are in random order.
func (r *recent) choose(peers []Peer, least, limit int, now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(r.rank(a.Name, now), r.rank(b.Name, now)) })
	promising := 0
	for promising < len(peers) && r.rank(peers[promising].Name, now) != rankFailed {
		promising++
	}
	return peers[:min(max(promising, least), limit, len(peers))]
}
