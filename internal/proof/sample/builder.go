package sample

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
)

// builder collects the header and the events of a trace; events may be added in any order.
type builder struct {
	rng      *rand.Rand
	header   trace.Header
	events   []trace.Event
	jobCount int
}

func newBuilder(name string, seed uint64) *builder {
	return &builder{
		rng:    rand.New(rand.NewPCG(seed, 7)),
		header: trace.Header{Kind: "header", Version: 1, Name: name, Seed: seed},
	}
}

// write writes the trace as JSON Lines with its events in order of time.
func (b *builder) write(out io.Writer) error {
	sort.SliceStable(b.events, func(i, j int) bool { return b.events[i].When() < b.events[j].When() })
	lines := json.NewEncoder(out)
	if err := lines.Encode(b.header); err != nil {
		return err
	}
	for _, e := range b.events {
		if err := lines.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

func at(t time.Duration, kind string) trace.At {
	return trace.At{At: span.Of(t.Truncate(time.Millisecond)), Kind: kind}
}

// addDataCentres adds three data centres, each with the given number of racks of eight workers.
func (b *builder) addDataCentres(racks int) {
	for _, p := range []struct{ name, short string }{{"plovdiv", "plv"}, {"haskovo", "hsk"}, {"pazardzhik", "paz"}} {
		spec := fleet.DataCentreSpec{Name: p.name, Region: "bg-south", Instances: 2}
		for n := range racks {
			spec.Racks = append(spec.Racks, fleet.RackSpec{
				Name: fmt.Sprintf("%s-%d", p.short, n+1), Workers: 8, Resources: shape.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128},
			})
		}
		b.header.DataCentres = append(b.header.DataCentres, spec)
	}
}

// gangShape returns a shape with the given members and accelerators for each; cores and memory follow the accelerators.
func gangShape(members, accelerators int, within shape.Within) shape.Shape {
	return shape.Shape{
		Members: members, Within: within,
		Resources: shape.Resources{Accelerators: accelerators, Cores: max(1, accelerators*3), MemoryGB: max(2, accelerators*12)},
	}
}

func (b *builder) workspace(name string, guarantees ...guard.Guarantee) {
	b.header.Workspaces = append(b.header.Workspaces, guard.Workspace{Name: name, Guarantees: guarantees})
}

// lognormal draws a duration of at least 1 s from a log-normal distribution.
func (b *builder) lognormal(median time.Duration, sigma float64) time.Duration {
	return max(time.Second, time.Duration(float64(median)*math.Exp(sigma*b.rng.NormFloat64())).Truncate(time.Second))
}

// between draws a time from the interval with equal probability.
func (b *builder) between(from, to time.Duration) time.Duration {
	return from + time.Duration(b.rng.Int64N(int64(to-from)))
}

// jobProfile describes the distribution from which jobs are drawn; median and sigma are those of the run time.
type jobProfile struct {
	workspace string
	class     queue.Class
	shape     shape.Shape
	median    time.Duration
	sigma     float64
	// declaredSigma is the standard deviation of the logarithm of declared over actual run time, declaredBias its mean.
	declaredSigma float64
	declaredBias  float64
	// noCheckpoint jobs cannot checkpoint; without it, a zero checkpointEvery means every 10 min, in 30 s.
	noCheckpoint    bool
	notIdempotent   bool
	checkpointEvery time.Duration
	checkpointTakes time.Duration
}

// submit adds one job of the profile and returns its name and true run time.
func (b *builder) submit(t time.Duration, profile jobProfile) (string, time.Duration) {
	b.jobCount++
	name := fmt.Sprintf("%s-%d", profile.workspace, b.jobCount)
	actual := b.lognormal(profile.median, profile.sigma)
	declared := time.Duration(float64(actual) * math.Exp(profile.declaredSigma*b.rng.NormFloat64()+profile.declaredBias)).Truncate(time.Second)
	e := trace.Submit{
		At: at(t, "submit"), Job: name, Workspace: profile.workspace, Class: profile.class, Idempotent: !profile.notIdempotent, Shape: profile.shape,
		Declared: span.Of(max(declared, time.Second)), Actual: span.Of(actual),
	}
	if !profile.noCheckpoint {
		e.CheckpointEvery, e.CheckpointTakes = span.Of(profile.checkpointEvery), span.Of(profile.checkpointTakes)
		if profile.checkpointEvery == 0 {
			e.CheckpointEvery, e.CheckpointTakes = span.Of(10*time.Minute), span.Of(30*time.Second)
		}
	}
	b.events = append(b.events, e)
	return name, actual
}

// submitMany adds n jobs of the profile at random times of the interval and returns their names.
func (b *builder) submitMany(n int, from, to time.Duration, profile jobProfile) []string {
	names := make([]string, 0, n)
	for range n {
		name, _ := b.submit(b.between(from, to), profile)
		names = append(names, name)
	}
	return names
}

func (b *builder) cancel(t time.Duration, job string) {
	b.events = append(b.events, trace.Cancel{At: at(t, "cancel"), Job: job})
}

func (b *builder) drain(t time.Duration, centre string, deadline time.Duration) {
	b.events = append(b.events, trace.Drain{At: at(t, "drain"), DataCentre: centre, Deadline: span.Of(deadline)})
}

func (b *builder) centre(t time.Duration, kind, centre string) {
	b.events = append(b.events, trace.DataCentreChange{At: at(t, kind), DataCentre: centre})
}

func (b *builder) worker(t time.Duration, kind, name string) {
	b.events = append(b.events, trace.WorkerChange{At: at(t, kind), Worker: name})
}
