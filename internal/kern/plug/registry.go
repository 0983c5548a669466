package plug

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Registry maps names to plug-ins of one kind.
type Registry[T any] struct {
	kind    string
	mu      sync.RWMutex
	entries map[string]T
}

// New returns an empty registry; kind is the term for its plug-ins in error messages.
func New[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, entries: make(map[string]T)}
}

// Register adds a plug-in; it panics if the name is already registered.
func (r *Registry[T]) Register(name string, entry T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[name]; ok {
		panic(fmt.Sprintf("%s %q is registered twice", r.kind, name))
	}
	r.entries[name] = entry
}

// Lookup returns the plug-in of that name, or an *UnknownError.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	entry, ok := r.entries[name]
	r.mu.RUnlock()
	if !ok {
		return entry, &UnknownError{Kind: r.kind, Name: name, Known: r.Names()}
	}
	return entry, nil
}

// Names returns all names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// UnknownError reports that no plug-in of the kind is registered under the name.
type UnknownError struct {
	Kind  string
	Name  string
	Known []string
}

// Error gives the unknown name and the known ones.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown %s %q; known: %s", e.Kind, e.Name, strings.Join(e.Known, ", "))
}
