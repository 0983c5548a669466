package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
)

// Order is the order in which waiting jobs are considered.
type Order int

// Orders of waiting jobs.
const (
	ByArrival Order = iota
	ByRemaining
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Order -transform=title-lower

// Policy selects the scheduling rules; the engine runs the same code for all policies.
type Policy struct {
	Order Order
	// Backfill considers the jobs behind one that does not fit.
	Backfill bool
	// BestFit compares all units instead of using the first one that fits.
	BestFit bool
	// Guarantees reserves guaranteed shapes for their workspaces and stops opportunistic jobs for them.
	Guarantees bool
	// PreemptRatio is the minimum ratio of a victim's remaining need to the waiting job's; zero disables preemption by order.
	PreemptRatio float64
	// MinRun is the minimum run time of a job before it may be preempted.
	MinRun time.Duration
	// MinCheckpoints is the minimum run time of a job before it may be preempted, as a multiple of its checkpoint time.
	MinCheckpoints int
	// CompactRatio is the minimum ratio of the waiting job's need to the cost of moving other jobs; zero disables moves.
	CompactRatio float64
	// AgingPeriod is the waiting time after which a job's need counts half.
	AgingPeriod time.Duration
}

// Policies holds the registered policies by name.
var Policies = plug.New[Policy]("policy")

// DefaultPolicy is the name of the policy that instances use unless configured otherwise.
const DefaultPolicy = "default"

func init() {
	Policies.Register("fifo", Policy{Order: ByArrival})
	Policies.Register("backfill", Policy{Order: ByArrival, Backfill: true})
	Policies.Register("guarded", Policy{Order: ByArrival, Backfill: true, BestFit: true, Guarantees: true})
	Policies.Register("unpacked", Policy{
		Order: ByRemaining, Backfill: true, BestFit: true, Guarantees: true, AgingPeriod: 4 * time.Hour, PreemptRatio: 3, MinRun: 5 * time.Minute, MinCheckpoints: 10,
	})
	Policies.Register(DefaultPolicy, Policy{
		Order: ByRemaining, Backfill: true, BestFit: true, Guarantees: true, AgingPeriod: 12 * time.Hour, PreemptRatio: 3, MinRun: 5 * time.Minute, MinCheckpoints: 10, CompactRatio: 10,
	})
}
