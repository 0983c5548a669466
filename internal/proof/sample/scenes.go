package sample

import (
	"fmt"
	"io"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
)

// Scenario adds the events of one scenario to a builder.
type Scenario func(b *builder)

// Scenarios is the registry of scenarios by name.
var Scenarios = plug.New[Scenario]("scene")

// Write generates the named scenario from the seed and writes its trace; an unknown name is an error.
func Write(out io.Writer, name string, seed uint64) error {
	scenario, err := Scenarios.Lookup(name)
	if err != nil {
		return err
	}
	b := newBuilder(name, seed)
	scenario(b)
	return b.write(out)
}

func init() {
	Scenarios.Register("morning", morning)
	Scenarios.Register("fragment", fragment)
	Scenarios.Register("borrow", borrow)
	Scenarios.Register("drain", drains)
	Scenarios.Register("loss", loss)
	Scenarios.Register("sizes", sizes)
	Scenarios.Register("badworkers", badWorkers)
	Scenarios.Register("cancels", cancels)
	Scenarios.Register("outage", outage)
	Scenarios.Register("twoyear", twoYear)
}

// addUsualFleet adds the data centres and workspaces that most scenarios use.
func (b *builder) addUsualFleet() {
	b.addDataCentres(2)
	b.workspace("recount", guard.Guarantee{Count: 2, Shape: gangShape(4, 8, shape.Rack)})
	b.workspace("pricing", guard.Guarantee{Count: 4, Shape: gangShape(1, 4, shape.Worker)})
	b.workspace("routes")
	b.workspace("lab")
}

var (
	recounts = jobProfile{workspace: "recount", class: queue.Batch, shape: gangShape(4, 8, shape.Rack), median: 2 * time.Hour, sigma: 0.6, declaredSigma: 0.8}
	calls    = jobProfile{workspace: "pricing", class: queue.Quick, shape: gangShape(1, 1, shape.Worker), median: 20 * time.Second, sigma: 0.7, declaredSigma: 0.8, noCheckpoint: true}
	urgents  = jobProfile{workspace: "pricing", class: queue.Urgent, shape: gangShape(1, 4, shape.Worker), median: 3 * time.Minute, sigma: 0.5, declaredSigma: 0.5, checkpointEvery: time.Minute, checkpointTakes: 2 * time.Second}
	plans    = jobProfile{workspace: "routes", class: queue.Batch, shape: gangShape(2, 4, shape.Rack), median: 40 * time.Minute, sigma: 1, declaredSigma: 1}
	smalls   = jobProfile{workspace: "lab", class: queue.Batch, shape: gangShape(1, 1, shape.Worker), median: 30 * time.Minute, sigma: 1.2, declaredSigma: 1.2}
	trials   = jobProfile{workspace: "lab", class: queue.Batch, shape: gangShape(2, 8, shape.Rack), median: 90 * time.Minute, sigma: 1.2, declaredSigma: 1.2}
	tallies  = jobProfile{workspace: "lab", class: queue.Batch, shape: gangShape(1, 2, shape.Worker), median: 20 * time.Minute, sigma: 0.8, declaredSigma: 1, noCheckpoint: true, notIdempotent: true}
)

// morning has recounts and trials overnight and quick jobs from six o'clock on.
func morning(b *builder) {
	b.addUsualFleet()
	b.submitMany(14, 0, 3*time.Hour, recounts)
	b.submitMany(84, 0, 6*time.Hour, trials)
	b.submitMany(144, 0, 8*time.Hour, smalls)
	b.submitMany(72, 2*time.Hour, 9*time.Hour, plans)
	b.submitMany(480, 6*time.Hour, 9*time.Hour, calls)
	b.submitMany(25, 5*time.Hour, 9*time.Hour, urgents)
}

// fragment scatters small long jobs over the fleet before gangs arrive that need whole racks.
func fragment(b *builder) {
	b.addUsualFleet()
	long := smalls
	long.median, long.sigma = 2*time.Hour, 0.9
	odd := smalls
	odd.shape, odd.median = gangShape(1, 3, shape.Worker), 80*time.Minute
	b.submitMany(338, 0, 3*time.Hour, long)
	b.submitMany(182, 0, 4*time.Hour, odd)
	b.submitMany(20, 0, 4*time.Hour, tallies)
	whole := trials
	whole.shape = gangShape(8, 8, shape.Rack)
	b.submitMany(16, 30*time.Minute, 5*time.Hour, whole)
	b.submitMany(39, 0, 5*time.Hour, plans)
	b.submitMany(6, time.Hour, 4*time.Hour, recounts)
}

// borrow fills the fleet with jobs beyond any guarantee, while guaranteed workspaces reclaim capacity again and again.
func borrow(b *builder) {
	b.addUsualFleet()
	b.submitMany(96, 0, 30*time.Minute, trials)
	b.submitMany(128, 0, 4*time.Hour, smalls)
	for n := range 12 {
		short := recounts
		short.median = 35 * time.Minute
		b.submit(time.Duration(n)*25*time.Minute+20*time.Minute, short)
	}
	b.submitMany(64, 30*time.Minute, 6*time.Hour, urgents)
	b.submitMany(10, 0, 5*time.Hour, tallies)
}

// drains takes data centres out of service and restores them.
func drains(b *builder) {
	b.addUsualFleet()
	b.submitMany(12, 0, 4*time.Hour, recounts)
	b.submitMany(90, 0, 5*time.Hour, trials)
	b.submitMany(180, 0, 6*time.Hour, smalls)
	b.submitMany(75, 0, 6*time.Hour, plans)
	b.submitMany(20, 0, 7*time.Hour, urgents)
	b.drain(time.Hour, "haskovo", 2*time.Minute)
	b.centre(2*time.Hour, trace.KindRestore, "haskovo")
	b.drain(3*time.Hour, "plovdiv", time.Minute)
	b.centre(3*time.Hour+50*time.Minute, trace.KindRestore, "plovdiv")
	b.drain(4*time.Hour+30*time.Minute, "pazardzhik", 5*time.Minute)
	b.centre(5*time.Hour, trace.KindRestore, "pazardzhik")
}

// loss loses a data centre, a rack and a single worker without warning; all return later.
func loss(b *builder) {
	b.addUsualFleet()
	b.submitMany(12, 0, 4*time.Hour, recounts)
	b.submitMany(99, 0, 5*time.Hour, trials)
	b.submitMany(180, 0, 6*time.Hour, smalls)
	b.submitMany(72, 0, 6*time.Hour, plans)
	b.submitMany(15, 0, 6*time.Hour, tallies)
	b.submitMany(20, 0, 6*time.Hour, urgents)
	b.centre(90*time.Minute, trace.KindDataCentreDown, "plovdiv")
	b.centre(150*time.Minute, trace.KindDataCentreUp, "plovdiv")
	for n := range 8 {
		name := fmt.Sprintf("hsk-1/%d", n)
		b.worker(4*time.Hour, trace.KindWorkerDown, name)
		b.worker(4*time.Hour+40*time.Minute, trace.KindWorkerUp, name)
	}
	b.worker(5*time.Hour, trace.KindWorkerDown, "paz-2/3")
	b.worker(5*time.Hour+5*time.Minute, trace.KindWorkerUp, "paz-2/3")
}

// sizes has run times with a heavy tail, declared far too short or too long, and gangs that never fit.
func sizes(b *builder) {
	b.addUsualFleet()
	wild := trials
	wild.median, wild.sigma, wild.declaredSigma, wild.declaredBias = 25*time.Minute, 1.9, 2, -0.5
	wild.shape = gangShape(1, 8, shape.Worker)
	b.submitMany(286, 0, 8*time.Hour, wild)
	wide := trials
	wide.sigma, wide.declaredSigma, wide.declaredBias = 1.4, 1.8, 1
	b.submitMany(65, 0, 8*time.Hour, wide)
	b.submitMany(12, 0, 6*time.Hour, recounts)
	b.submitMany(195, 0, 8*time.Hour, smalls)
	never := trials
	never.shape = gangShape(9, 8, shape.Rack)
	b.submitMany(3, time.Hour, 2*time.Hour, never)
}

// badWorkers has workers that fail every task and jobs that fail on every worker.
func badWorkers(b *builder) {
	b.addUsualFleet()
	b.submitMany(10, 0, 4*time.Hour, recounts)
	b.submitMany(110, 0, 5*time.Hour, trials)
	b.submitMany(352, 0, 6*time.Hour, smalls)
	b.submitMany(88, 0, 6*time.Hour, plans)
	for _, name := range []string{"plv-1/2", "hsk-2/5", "paz-1/0"} {
		b.worker(b.between(10*time.Minute, time.Hour), trace.KindWorkerBad, name)
	}
	b.worker(3*time.Hour, trace.KindWorkerGood, "hsk-2/5")
	for range 6 {
		name, _ := b.submit(b.between(0, 4*time.Hour), smalls)
		for i, e := range b.events {
			if s, ok := e.(trace.Submit); ok && s.Job == name {
				s.FailsAfter = span.Of(20 * time.Second)
				b.events[i] = s
			}
		}
	}
}

// cancels has waves of jobs, three quarters of which are cancelled within a minute of each other.
func cancels(b *builder) {
	b.addUsualFleet()
	b.submitMany(10, 0, 4*time.Hour, recounts)
	b.submitMany(66, 0, 5*time.Hour, plans)
	b.submitMany(176, 0, 6*time.Hour, smalls)
	for wave := range 4 {
		from := time.Duration(wave) * 75 * time.Minute
		names := b.submitMany(88, from, from+10*time.Minute, trials)
		for i, name := range names {
			if i%4 != 0 {
				b.cancel(from+20*time.Minute+time.Duration(b.rng.IntN(60))*time.Second, name)
			}
		}
	}
}

// outage makes the key-value store unavailable, first for all and later for one data centre, and loses owners.
func outage(b *builder) {
	b.addUsualFleet()
	b.submitMany(10, 0, 5*time.Hour, recounts)
	b.submitMany(100, 0, 6*time.Hour, trials)
	b.submitMany(200, 0, 7*time.Hour, smalls)
	b.submitMany(80, 0, 7*time.Hour, plans)
	b.centre(time.Hour, trace.KindStoreDown, "")
	b.centre(70*time.Minute, trace.KindOwnerLost, "haskovo")
	b.centre(80*time.Minute, trace.KindStoreUp, "")
	b.centre(2*time.Hour, trace.KindOwnerLost, "plovdiv")
	b.centre(3*time.Hour, trace.KindStoreDown, "pazardzhik")
	b.centre(3*time.Hour+25*time.Minute, trace.KindStoreUp, "pazardzhik")
	b.centre(4*time.Hour, trace.KindOwnerLost, "pazardzhik")
	b.drain(4*time.Hour+time.Second, "pazardzhik", time.Minute)
	b.centre(5*time.Hour, trace.KindRestore, "pazardzhik")
}

// The fleet size expected in two years: 1,400 workers with 2,200 accelerators in 6 data centres, 670 workspaces and
// 2,200 jobs a day.
const (
	twoYearCentres      = 6
	twoYearRacks        = 29
	twoYearPlainRacks   = 23
	twoYearWorkspaces   = 670
	twoYearDay          = 24 * time.Hour
	twoYearMorning      = 7 * time.Hour
	twoYearNoon         = 13 * time.Hour
	twoYearGuaranteed   = 120
	twoYearAccelerators = 8
)

// twoYear is one day at the fleet size that the design must support.
func twoYear(b *builder) {
	for d := range twoYearCentres {
		spec := fleet.DataCentreSpec{Name: fmt.Sprintf("dc-%d", d), Region: fmt.Sprintf("region-%d", d/2), Instances: 4}
		for n := range twoYearRacks {
			each := shape.Resources{Accelerators: twoYearAccelerators, Cores: 64, MemoryGB: 256}
			if n < twoYearPlainRacks {
				each.Accelerators = 0
			}
			spec.Racks = append(spec.Racks, fleet.RackSpec{Name: fmt.Sprintf("d%d-r%d", d, n), Workers: 8, Resources: each})
		}
		b.header.DataCentres = append(b.header.DataCentres, spec)
	}
	team := func(n int) string { return fmt.Sprintf("team-%03d", n) }
	for n := range twoYearWorkspaces {
		switch {
		case n < 6:
			b.workspace(team(n), guard.Guarantee{Count: 1, Shape: gangShape(8, 8, shape.Rack)})
		case n < twoYearGuaranteed:
			b.workspace(team(n), guard.Guarantee{Count: 1, Shape: gangShape(1, 4, shape.Worker)})
		default:
			b.workspace(team(n))
		}
	}
	cpu := shape.Resources{Cores: 4, MemoryGB: 16}
	for range 1150 {
		k := jobProfile{workspace: team(b.rng.IntN(twoYearWorkspaces)), class: queue.Batch, median: 3 * time.Hour, sigma: 0.9, declaredSigma: 1}
		k.shape = shape.Shape{Members: 1 << b.rng.IntN(8), Resources: cpu, Within: shape.DataCentre}
		b.submit(b.between(0, twoYearDay), k)
	}
	for range 900 {
		k := jobProfile{workspace: team(b.rng.IntN(twoYearWorkspaces)), class: queue.Batch, median: 2 * time.Hour, sigma: 1, declaredSigma: 1}
		k.shape = gangShape(1<<b.rng.IntN(4), 1<<b.rng.IntN(4), shape.Rack)
		b.submit(b.between(twoYearMorning, twoYearNoon), k)
	}
	for range 150 {
		k := urgents
		k.workspace = team(6 + b.rng.IntN(twoYearGuaranteed-6))
		b.submit(b.between(0, twoYearDay), k)
	}
}
