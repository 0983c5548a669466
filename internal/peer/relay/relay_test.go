package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// A repeating job may be submitted at an instance that is cut off from the store; by default, CBOR drops fractions of a
// second.
func TestRelayedJobKeepsItsTimesToTheMillisecond(t *testing.T) {
	start := time.UnixMilli(1764835200809).UTC()
	call := admit.Call{Kind: admit.Submit, Spec: &work.Spec{Job: "a", Repeat: &work.Repeat{Count: 2, Start: start, Interval: 2500 * time.Millisecond}}}
	data, err := link.Codec{}.Marshal(&call)
	assert.NilError(t, err)
	var got admit.Call
	assert.NilError(t, link.Codec{}.Unmarshal(data, &got))
	assert.DeepEqual(t, got, call)
}

// outage is a partial outage of the store: the peers in cut refuse, the silent ones give no reply, and the others answer.
type outage struct {
	mu          sync.Mutex
	cut, silent map[string]bool
	asked       []string
}

func (o *outage) ask(peer Peer) (reply *admit.Reply, reached bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, peer.Name)
	switch {
	case o.silent[peer.Name]:
		return nil, false
	case o.cut[peer.Name]:
		return &admit.Reply{Result: admit.Refused}, true
	default:
		return &admit.Reply{Result: admit.OK}, true
	}
}

func newRelay() (*Relay, *time.Time) {
	now := time.Unix(1000, 0)
	return &Relay{Now: func() time.Time { return now }}, &now
}

func peersNamed(n int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("p", i)}
	}
	return peers
}

// The store refuses a third of seven instances for seconds. A request at one of them must not be refused because the first two
// peers that it asks are refused as well.
func TestRequestDuringAPartialOutageFindsAPeerThatReachesTheStore(t *testing.T) {
	for range 50 {
		r, _ := newRelay()
		o := &outage{cut: map[string]bool{"p0": true, "p1": true, "p2": true}}
		reply, tried := r.askPeers(context.Background(), peersNamed(6), admit.Submit, o.ask)
		assert.Assert(t, reply != nil && reply.Result == admit.OK)
		assert.Assert(t, tried)
	}
}

// Once a peer has answered, the next request goes there at once, and peers that refused are left alone for a while.
func TestPeersAreAskedByTheirLastReplies(t *testing.T) {
	r, now := newRelay()
	for i := range 5 {
		r.recent.note(fmt.Sprint("p", i), recentReply{at: *now})
	}
	r.recent.note("p5", recentReply{at: *now, reached: true, conclusive: true})
	chosen := r.recent.choose(peersNamed(7), peersAsked, maxPeersAsked, *now)
	assert.Equal(t, len(chosen), 2)
	assert.Equal(t, chosen[0].Name, "p5")
	assert.Equal(t, chosen[1].Name, "p6")
	chosen = r.recent.choose(peersNamed(7), peersAsked, maxPeersAsked, now.Add(2*recentFor))
	assert.Equal(t, len(chosen), maxPeersAsked)
}

// While the store is away from all instances, each request must cost few calls to peers.
func TestFullOutageCostsFewCallsToPeers(t *testing.T) {
	r, _ := newRelay()
	peers := peersNamed(40)
	o := &outage{cut: make(map[string]bool)}
	for _, peer := range peers {
		o.cut[peer.Name] = true
	}
	const requests = 100
	for range requests {
		reply, tried := r.askPeers(context.Background(), append([]Peer(nil), peers...), admit.Submit, o.ask)
		assert.Assert(t, reply == nil && !tried, "no peer has tried anything, so the refusal is definite")
	}
	assert.Assert(t, len(o.asked) <= peersAsked*requests+len(peers), "%d calls", len(o.asked))
}

// Guards against a refusal of a request that runs (REFUSED): one peer refuses while another one, which was asked as well, may execute
// it. A read changes nothing, so its first reply is taken.
func TestRefusalWaitsForThePeersThatMayHaveExecutedTheRequest(t *testing.T) {
	refusal := &admit.Reply{Result: admit.BadKey}
	for name, c := range map[string]struct {
		kind       admit.Kind
		slow       *admit.Reply
		want       admit.Result
		mayHaveRun bool
	}{
		"it was executed":           {admit.Submit, &admit.Reply{Result: admit.OK}, admit.OK, true},
		"it may have been executed": {admit.Submit, nil, admit.BadKey, true},
		"its outcome is unknown":    {admit.Cancel, &admit.Reply{Result: admit.Unknown}, admit.BadKey, true},
		"it is refused, too":        {admit.Cancel, refusal, admit.BadKey, false},
		"it is a read":              {admit.State, &admit.Reply{Result: admit.OK}, admit.BadKey, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := newRelay()
				reply, mayHaveRun := r.askPeers(t.Context(), peersNamed(2), c.kind, func(peer Peer) (*admit.Reply, bool) {
					if peer.Name == "p0" {
						return refusal, true
					}
					time.Sleep(10 * time.Millisecond)
					return c.slow, c.slow != nil
				})
				assert.Equal(t, reply.Result, c.want)
				assert.Equal(t, mayHaveRun, c.mayHaveRun)
				time.Sleep(time.Second)
			})
		})
	}
}

func TestSilentPeerMayHaveExecutedTheRequest(t *testing.T) {
	r, _ := newRelay()
	o := &outage{silent: map[string]bool{"p0": true}, cut: map[string]bool{"p1": true, "p2": true}}
	reply, tried := r.askPeers(context.Background(), peersNamed(3), admit.Submit, o.ask)
	assert.Assert(t, reply == nil && tried)
}

// A data centre is cut off from the others: its instances reach each other, but nobody who could answer.
func TestInstanceOfACutOffDataCentreIsIsolated(t *testing.T) {
	r, now := newRelay()
	r.Peers = &Peers{Self: Peer{Name: "self", DataCentre: "a"}, others: []Peer{{Name: "near", DataCentre: "a"}, {Name: "far", DataCentre: "b"}, {Name: "further", DataCentre: "c"}}}
	assert.Assert(t, !r.Isolated(), "nobody was asked yet")
	r.recent.note("near", recentReply{at: *now, reached: true})
	assert.Assert(t, !r.Isolated(), "no other data centre was asked yet")
	r.recent.note("far", recentReply{at: *now})
	assert.Assert(t, r.Isolated())
	r.recent.note("further", recentReply{at: *now, reached: true})
	assert.Assert(t, !r.Isolated(), "one other data centre was reached")
	*now = now.Add(2 * recentFor)
	assert.Assert(t, !r.Isolated(), "the replies are too old")
}
