package pool

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failuresToEject is how many consecutive failures eject a server.
	failuresToEject = 3
	// baseEjection is the duration of the first ejection; it doubles with each consecutive one, up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
	// maxEjectedShare is the largest share of a data centre's servers that may be ejected at a time.
	maxEjectedShare = 0.5
)

// Limits are the hard limits of every backend server; the pool enforces Slots, the requests in flight from this instance.
type Limits struct {
	Slots       int
	Connections int
}

// Server is one backend server as this instance sees it.
type Server struct {
	Name       string
	DataCentre string
	Address    string
	// Listed is false once the server is no longer on the instance list.
	Listed bool
	// Leaving is true once the server or the instance list has reported that the server is about to stop.
	Leaving     bool
	Outstanding int

	failures     int
	ejections    int
	ejectedUntil time.Time
}

// Pool assigns requests to servers; all methods are safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	home       string
	limits     Limits
	rng        *rand.Rand
	servers    []*Server
	waiters    []*waiter
	queued     int
	queueLimit int
	lastOrder  int
}

// New returns a pool for an instance in the home data centre; at most queueLimit requests wait for a slot.
func New(home string, limits Limits, queueLimit int, seed uint64) *Pool {
	return &Pool{home: home, limits: limits, queueLimit: queueLimit, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Backend is a backend server on the instance list.
type Backend struct {
	Name       string
	DataCentre string
	Address    string
	Leaving    bool
}

// SetBackends applies the instance list; a server that reported that it is leaving stays so, as the list may lag.
func (p *Pool) SetBackends(members []Backend, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.Listed = false
	}
	for _, m := range members {
		p.addOrUpdate(m)
	}
	kept := p.servers[:0]
	for _, s := range p.servers {
		if s.Listed || s.Outstanding > 0 {
			kept = append(kept, s)
		}
	}
	p.servers = kept
	p.assignSlots(now)
}

func (p *Pool) addOrUpdate(m Backend) {
	for _, s := range p.servers {
		if s.Name == m.Name && s.Address == m.Address {
			s.Listed = true
			s.Leaving = s.Leaving || m.Leaving
			return
		}
	}
	p.servers = append(p.servers, &Server{Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Listed: true, Leaving: m.Leaving})
}

// Servers returns copies of all servers.
func (p *Pool) Servers() []Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Server, len(p.servers))
	for i, s := range p.servers {
		list[i] = *s
	}
	return list
}

// usable reports whether the server may get a new request.
func (p *Pool) usable(s *Server, now time.Time) bool {
	return s.Listed && !s.Leaving && !now.Before(s.ejectedUntil) && s.Outstanding < p.limits.Slots
}

// choose returns the less loaded of two random usable servers in the home data centre, or of the others if it has none.
func (p *Pool) choose(now time.Time, avoid *Server) *Server {
	var candidates, remote []*Server
	for _, s := range p.servers {
		switch {
		case s == avoid || !p.usable(s, now):
		case s.DataCentre == p.home:
			candidates = append(candidates, s)
		default:
			remote = append(remote, s)
		}
	}
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return nil
	}
	a, b := candidates[p.rng.IntN(len(candidates))], candidates[p.rng.IntN(len(candidates))]
	if b.Outstanding < a.Outstanding {
		return b
	}
	return a
}

// Result is the outcome of a dispatch or a ping for the server's health.
type Result int

// Lost means that no complete answer came; Leaving means that the server reported that it is about to stop.
const (
	Answered Result = iota
	Refused
	Lost
	Leaving
)

// Release frees the slot and records the result of the dispatch.
func (p *Pool) Release(s *Server, result Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Outstanding--
	p.recordResult(s, result, now)
	p.assignSlots(now)
}

// RecordResult records the result of a ping.
func (p *Pool) RecordResult(name string, result Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Name == name {
			p.recordResult(s, result, now)
		}
	}
	p.assignSlots(now)
}

func (p *Pool) recordResult(s *Server, result Result, now time.Time) {
	switch result {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.ejectedUntil = time.Time{}
	case Leaving:
		s.Leaving = true
	case Lost, Refused:
		s.failures++
		if s.failures >= failuresToEject && p.mayEject(s, now) {
			s.ejectedUntil = now.Add(min(baseEjection<<min(s.ejections, 10), maxEjection))
			s.ejections++
			s.failures = 0
		}
	}
}

// mayEject limits the ejected share, so that a fault outside the servers does not eject all of them.
func (p *Pool) mayEject(s *Server, now time.Time) bool {
	total, out := 0, 0
	for _, other := range p.servers {
		if other.DataCentre != s.DataCentre || !other.Listed || other.Leaving {
			continue
		}
		total++
		if now.Before(other.ejectedUntil) {
			out++
		}
	}
	return float64(out+1) <= maxEjectedShare*float64(total)
}
