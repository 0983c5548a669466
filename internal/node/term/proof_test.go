package term

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/policy"
	"gotest.tools/v3/assert"
)

// nothing is an empty configuration.
type nothing struct{}

// Read returns it.
func (nothing) Read(context.Context) (policy.Snapshot, error) { return policy.Snapshot{}, nil }

// The pattern: the owner is cut off, slow or suspended, and must not start what a drain or an evacuation forbids meanwhile.
func TestNothingStartsWithoutFreshProofs(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name                  string
		lease, listed, proved time.Duration
		mayStart              bool
	}{
		{"all is fresh", 0, 0, 0, true},
		{"each is just young enough", 900 * time.Millisecond, 1100 * time.Millisecond, 2900 * time.Millisecond, true},
		{"the lease may have lapsed", time.Second, 0, 0, false},
		{"a worker may have said that it leaves", 0, 1200 * time.Millisecond, 0, false},
		{"a data centre may have been evacuated", 0, 0, 3 * time.Second, false},
	} {
		e := &Elector{Now: func() time.Time { return now }, Bounds: Bounds{PolicyAge: 3 * time.Second, ListAge: 1200 * time.Millisecond}}
		e.Policy = policy.NewHolder(nothing{}, func() time.Time { return now.Add(-c.proved) }, func(policy.Snapshot) {})
		assert.NilError(t, e.Policy.Refresh(t.Context()))
		tm := newTerm(e, 1, 7, now.Add(-c.lease))
		tm.listed = now.Add(-c.listed)
		assert.Equal(t, tm.mayStart(now), c.mayStart, c.name)
	}
}
