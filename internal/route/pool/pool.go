package pool

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failuresToEject is how many failures in a row take a server out of the choice.
	failuresToEject = 3
	// ejectFor is the first ejection; it doubles with each one in a row, up to ejectAtMost.
	ejectFor    = time.Second
	ejectAtMost = 30 * time.Second
	// ejectShare is the largest part of a data centre's servers that may be ejected at a time.
	ejectShare = 0.5
)

// Limits are the hard limits of every backend server.
type Limits struct {
	Slots       int
	Connections int
}

// Server is one backend server as this instance sees it.
type Server struct {
	Name       string
	DataCentre string
	Address    string
	// Listed is false once the instance list has dropped the server.
	Listed bool
	// Leaving is true once anybody said that the server is about to stop.
	Leaving     bool
	Outstanding int

	failures     int
	ejections    int
	ejectedUntil time.Time
}

// Pool chooses among servers; all methods are safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	home    string
	limits  Limits
	rng     *rand.Rand
	servers []*Server
	waiters []*waiter
	queued  int
	cap     int
	next    int
}

// New returns a pool for an instance in the home data centre that lets at most queueLimit requests wait.
func New(home string, limits Limits, queueLimit int, seed uint64) *Pool {
	return &Pool{home: home, limits: limits, cap: queueLimit, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Member is a backend server on the instance list.
type Member struct {
	Name       string
	DataCentre string
	Address    string
	Leaving    bool
}

// SetMembers takes in the instance list; a server's own word that it leaves is not undone by a lagging list.
func (p *Pool) SetMembers(members []Member, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.Listed = false
	}
	for _, m := range members {
		p.member(m)
	}
	kept := p.servers[:0]
	for _, s := range p.servers {
		if s.Listed || s.Outstanding > 0 {
			kept = append(kept, s)
		}
	}
	p.servers = kept
	p.serve(now)
}

func (p *Pool) member(m Member) {
	for _, s := range p.servers {
		if s.Name == m.Name && s.Address == m.Address {
			s.Listed = true
			s.Leaving = s.Leaving || m.Leaving
			return
		}
	}
	p.servers = append(p.servers, &Server{Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Listed: true, Leaving: m.Leaving})
}

// Servers returns a copy of the state of all servers.
func (p *Pool) Servers() []Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Server, len(p.servers))
	for i, s := range p.servers {
		list[i] = *s
	}
	return list
}

// usable reports whether new work may go to the server.
func (p *Pool) usable(s *Server, now time.Time) bool {
	return s.Listed && !s.Leaving && !now.Before(s.ejectedUntil) && s.Outstanding < p.limits.Slots
}

// choose takes the less loaded of two random servers of the home data centre, else of the others.
func (p *Pool) choose(now time.Time, avoid *Server) *Server {
	var near, far []*Server
	for _, s := range p.servers {
		switch {
		case s == avoid || !p.usable(s, now):
		case s.DataCentre == p.home:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	a, b := near[p.rng.IntN(len(near))], near[p.rng.IntN(len(near))]
	if b.Outstanding < a.Outstanding {
		return b
	}
	return a
}

// Result is how a dispatch ended, as far as the server's health is concerned.
type Result int

// The results.
const (
	Answered Result = iota
	Refused
	Lost
	Left
)

// Release gives the slot back and notes how the dispatch ended.
func (p *Pool) Release(s *Server, result Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Outstanding--
	p.note(s, result, now)
	p.serve(now)
}

// Note records what a ping found out.
func (p *Pool) Note(name string, result Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Name == name {
			p.note(s, result, now)
		}
	}
	p.serve(now)
}

func (p *Pool) note(s *Server, result Result, now time.Time) {
	switch result {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.ejectedUntil = time.Time{}
	case Left:
		s.Leaving = true
	case Lost, Refused:
		s.failures++
		if s.failures >= failuresToEject && p.mayEject(s, now) {
			s.ejectedUntil = now.Add(min(ejectFor<<min(s.ejections, 10), ejectAtMost))
			s.ejections++
			s.failures = 0
		}
	}
}

// mayEject keeps a fault that is not the servers' from taking all of them out.
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
	return float64(out+1) <= ejectShare*float64(total)
}
