package policy

import (
	"context"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// Queue is an endpoint at which callers submit jobs of one kind.
type Queue struct {
	group.Queue
	Host   string
	Prefix string
	// Public means that callers need no key.
	Public bool
	// Timeout is how long a caller waits for a response.
	Timeout time.Duration
}

// Workspace is a tenant with its API keys.
type Workspace struct {
	group.Workspace
	Keys []string
}

// Policy is one version of the operators' configuration.
type Policy struct {
	Version    int64
	Queues     []Queue
	Workspaces []Workspace
	// MaxBodyBytes is the maximum size of a request's body in bytes; zero means unlimited.
	MaxBodyBytes int

	byKey map[string]*Workspace
}

// Snapshot is the result of one read of the operators' configuration.
type Snapshot struct {
	// Policy is nil while no valid configuration has been read.
	Policy *Policy
	// Guard is an expectation that holds in the store for as long as the configuration does not change.
	Guard store.Expectation
	// Evacuated are the data centres in which nothing may start.
	Evacuated map[string]bool
}

// Source reads the operators' configuration; a result is never older than the call.
type Source interface {
	Read(ctx context.Context) (Snapshot, error)
}

// Prepare builds the index of keys; it must be called once before Workspace is used. An empty key is left out, as it is what a
// call without a key has.
func (p *Policy) Prepare() {
	p.byKey = make(map[string]*Workspace)
	for i := range p.Workspaces {
		for _, key := range p.Workspaces[i].Keys {
			if key != "" {
				p.byKey[key] = &p.Workspaces[i]
			}
		}
	}
}

// Workspace returns the workspace that owns the key, or nil.
func (p *Policy) Workspace(key string) *Workspace { return p.byKey[key] }

// Match returns the host's queue with the longest prefix of the path, and the rest of the path; nil if there is none.
func (p *Policy) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Placement returns the snapshot's policy, which must not be nil, in the form that the placement uses.
func (s Snapshot) Placement() group.Policy {
	p := group.Policy{Queues: make([]group.Queue, len(s.Policy.Queues)), Workspaces: make([]group.Workspace, len(s.Policy.Workspaces)), Evacuated: s.Evacuated}
	for i, q := range s.Policy.Queues {
		p.Queues[i] = q.Queue
	}
	for i, ws := range s.Policy.Workspaces {
		p.Workspaces[i] = ws.Workspace
	}
	return p
}
