package fake

import (
	"context"
	"sync"

	"github.com/lentildeck/lentildeck/internal/peer/list"
)

// List is an in-memory instance list that can be made unreadable.
type List struct {
	mu      sync.Mutex
	current []list.Instance
	down    bool
}

// NewList returns an empty list.
func NewList() *List { return &List{} }

// Add appends an instance to the list.
func (l *List) Add(instance list.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = append(l.current, instance)
}

// Set changes the state of the named instance, or removes it from the list if remove is true.
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

// SetDown makes reads of the list fail with a list.ReadError, or succeed again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Instances returns a copy of the list.
func (l *List) Instances(context.Context) ([]list.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, &list.ReadError{Cause: "the fake instance list is down"}
	}
	return append([]list.Instance(nil), l.current...), nil
}
