package store

import "context"

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Component -transform=title-lower

// Component is the part of an instance that makes a call to the store.
type Component int

// The components. Unlabelled stands for calls whose context names none.
const (
	Unlabelled Component = iota
	// Configuration confirms the operators' configuration.
	Configuration
	// Instances keeps the instance listed and reads the list of the others.
	Instances
	// Election waits for the owner's key and acquires it.
	Election
	// Sizes reads the sizes of the largest workers.
	Sizes
	// Check makes sure that the store responds before a job is sent.
	Check
	// Submit, Cancel and State are requests of callers.
	Submit
	Cancel
	State
	// Probe reads for an owner that can't.
	Probe
	// Term is the owner's part beside the ones that follow.
	Term
	// Renewal renews the owner's lease.
	Renewal
	// Workers lists the workers for the owner.
	Workers
	// Relist, Watch and Pending find new jobs and cancels for the owner.
	Relist
	Watch
	Pending
	// Records writes the owner's records.
	Records
)

type componentKey struct{}

// From returns a context whose calls to the store are counted for the component.
func From(ctx context.Context, component Component) context.Context {
	return context.WithValue(ctx, componentKey{}, component)
}

// ComponentOf returns the component that makes calls with the context.
func ComponentOf(ctx context.Context) Component {
	component, ok := ctx.Value(componentKey{}).(Component)
	if !ok {
		return Unlabelled
	}
	return component
}
