package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
)

// Order says which waiting job is considered first.
type Order int

// The orders.
const (
	ByArrival Order = iota
	ByRemaining
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Order -transform=title-lower

// Policy is a set of choices; the engine runs the same code for all of them.
type Policy struct {
	Order Order
	// Skip lets jobs behind one that does not fit be considered.
	Skip bool
	// BestFit looks at all places, not just at the first one that fits.
	BestFit bool
	// Guarantees entitles jobs to their workspace's guaranteed shapes and stops borrowers for them.
	Guarantees bool
	// Preempt is how many times smaller a waiting job's need must be than a victim's; zero never stops one for order.
	Preempt float64
	// MinRun is how long a job runs before it may be stopped for order.
	MinRun time.Duration
	// MinCheckpoints is how many times its checkpoint a job runs before it may be stopped for order.
	MinCheckpoints int
	// Compact is how many times the work of moving others a job's need must be worth; zero never moves any.
	Compact float64
	// Aging is the wait after which a job's need counts as half.
	Aging time.Duration
}

// Policies are the registered policies by name.
var Policies = plug.New[Policy]("policy")

// DefaultPolicy is the name of the policy that daemons use.
const DefaultPolicy = "default"

func init() {
	Policies.Register("fifo", Policy{Order: ByArrival})
	Policies.Register("backfill", Policy{Order: ByArrival, Skip: true})
	Policies.Register("guarded", Policy{Order: ByArrival, Skip: true, BestFit: true, Guarantees: true})
	Policies.Register("unpacked", Policy{
		Order: ByRemaining, Skip: true, BestFit: true, Guarantees: true, Aging: 4 * time.Hour, Preempt: 3, MinRun: 5 * time.Minute, MinCheckpoints: 10,
	})
	Policies.Register(DefaultPolicy, Policy{
		Order: ByRemaining, Skip: true, BestFit: true, Guarantees: true, Aging: 12 * time.Hour, Preempt: 3, MinRun: 5 * time.Minute, MinCheckpoints: 10, Compact: 10,
	})
}
