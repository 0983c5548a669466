package probe

import (
	"errors"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an owner that always asks the same instances, none of which answers.
func TestAllInstancesAreAskedInTurn(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e", "f"}
	c := &Client{Addresses: func() []string { return addresses }}
	var mu sync.Mutex
	var asked []string
	call := func(address string) (*Reply, error) {
		mu.Lock()
		asked = append(asked, address)
		mu.Unlock()
		if address == "f" {
			return &Reply{Able: true}, nil
		}
		if address == "e" {
			return &Reply{}, nil
		}
		return nil, errors.New("no answer")
	}
	assert.Equal(t, c.ask(call), Result{Asked: 4})
	assert.Equal(t, c.ask(call), Result{Asked: 4, Answered: 2, Able: 1})
	slices.Sort(asked)
	assert.DeepEqual(t, slices.Compact(asked), addresses)
}

func TestNobodyIsAskedWhereThereIsNoOtherInstance(t *testing.T) {
	c := &Client{Addresses: func() []string { return nil }}
	assert.Equal(t, c.ask(nil), Result{})
}
