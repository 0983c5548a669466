package policy

import (
	"context"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// Queue is where callers hand in jobs of one kind.
type Queue struct {
	sets.Queue
	Host   string
	Prefix string
	// Public means that callers need no key.
	Public bool
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
}

// Workspace is a tenant with its keys and its guarantee.
type Workspace struct {
	Name string
	Keys []string
	// Promised is how many accelerators its jobs of priority 0 can always have.
	Promised int
}

// Policy is one version of the configuration.
type Policy struct {
	Version    int64
	Queues     []Queue
	Workspaces []Workspace
	// MaxBody is the most bytes of a request's body; zero means no bound.
	MaxBody int

	byKey map[string]*Workspace
}

// Snapshot is what one read of the operators' wishes found.
type Snapshot struct {
	// Policy is nil while there is none.
	Policy *Policy
	// Guard holds in the key-value service for as long as Policy is the newest.
	Guard store.Expectation
	// Evacuated are the data centres in which nothing may start.
	Evacuated map[string]bool
}

// Source reads the operators' wishes; an answer is never older than the call.
type Source interface {
	Read(ctx context.Context) (Snapshot, error)
}

// Prepare builds the indexes; it must be called once before use.
func (p *Policy) Prepare() {
	p.byKey = make(map[string]*Workspace)
	for i := range p.Workspaces {
		for _, key := range p.Workspaces[i].Keys {
			p.byKey[key] = &p.Workspaces[i]
		}
	}
}

// Workspace returns the workspace that owns the key, or nil.
func (p *Policy) Workspace(key string) *Workspace { return p.byKey[key] }

// Match returns the queue of the host with the longest prefix of the path, and the rest of the path.
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

// Promised returns the guaranteed accelerators by workspace.
func (p *Policy) Promised() map[string]int {
	guaranteed := make(map[string]int, len(p.Workspaces))
	for _, ws := range p.Workspaces {
		guaranteed[ws.Name] = ws.Promised
	}
	return guaranteed
}

// SetQueues returns what the placement needs to know of the queues.
func (p *Policy) SetQueues() []sets.Queue {
	list := make([]sets.Queue, len(p.Queues))
	for i, q := range p.Queues {
		list[i] = q.Queue
	}
	return list
}
