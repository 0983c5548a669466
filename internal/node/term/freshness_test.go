package term

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/policy"
	"gotest.tools/v3/assert"
)

// emptySource is the source of an empty configuration.
type emptySource struct{}

// Read returns an empty snapshot.
func (emptySource) Read(context.Context) (policy.Snapshot, error) { return policy.Snapshot{}, nil }

// Guards against starts by an owner that was cut off, slow or suspended and has missed a drain or an evacuation.
func TestNothingStartsWithoutFreshProofs(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name                     string
		lease, listed, confirmed time.Duration
		mayStart                 bool
	}{
		{"everything is fresh", 0, 0, 0, true},
		{"each age is just below its limit", 900 * time.Millisecond, 1100 * time.Millisecond, 2900 * time.Millisecond, true},
		{"the lease may have lapsed", time.Second, 0, 0, false},
		{"a worker may be draining", 0, 1200 * time.Millisecond, 0, false},
		{"a data centre may have been evacuated", 0, 0, 3 * time.Second, false},
	} {
		e := &Elector{Now: func() time.Time { return now }, Limits: Limits{PolicyAge: 3 * time.Second, ListAge: 1200 * time.Millisecond}}
		e.Policy = policy.NewHolder(emptySource{}, func() time.Time { return now.Add(-c.confirmed) }, func(policy.Snapshot) {})
		assert.NilError(t, e.Policy.Refresh(t.Context()))
		tm := newTerm(e, 1, 7, now.Add(-c.lease))
		tm.listedAt = now.Add(-c.listed)
		assert.Equal(t, tm.mayStart(now), c.mayStart, c.name)
	}
}
