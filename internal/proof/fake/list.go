package fake

import (
	"context"
	"sync"

	"github.com/lentildeck/lentildeck/internal/peer/list"
)

// List is an instance list that can be made unreadable.
type List struct {
	mu      sync.Mutex
	current []list.Instance
	down    bool
}

// NewList returns an empty list.
func NewList() *List { return &List{} }

// Add puts an instance on the list.
func (l *List) Add(instance list.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = append(l.current, instance)
}

// Set changes the state of an instance; remove drops it.
func (l *List) Set(name string, state list.State, remove bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make([]list.Instance, 0, len(l.current))
	for _, instance := range l.current {
		if instance.Name == name {
			instance.State = state
			if remove {
				continue
			}
		}
		next = append(next, instance)
	}
	l.current = next
}

// SetDown makes the list unreadable.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Instances returns what readers see.
func (l *List) Instances(context.Context) ([]list.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, &list.ReadError{Cause: "stand-in is down"}
	}
	return append([]list.Instance(nil), l.current...), nil
}
