package term_test

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/proof/world"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"gotest.tools/v3/assert"
)

var (
	exploreFirst   = flag.Uint64("explore.first", 1, "the first seed of the random faults")
	exploreSeeds   = flag.Uint64("explore.seeds", 150, "the number of seeds of the random faults")
	exploreAll     = flag.Bool("explore.all", false, "explore all faults, not only losses of the owner and cuts from the workers")
	exploreEqual   = flag.Bool("explore.equal", false, "explore also steps at which call, store and workers are as at an earlier step")
	exploreJournal = flag.String("explore.journal", "", "the directory for the journals of runs that break a rule")
)

// strictClock returns a clock of which each reading is later than the one before: the engine compares times of effects that
// follow each other at once, and virtual time stands still between them.
func strictClock() func() time.Time {
	var mu sync.Mutex
	var last time.Time
	return func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if !now.After(last) {
			now = last.Add(time.Nanosecond)
		}
		last = now
		return now
	}
}

// refreshInterval is how often an instance reads the configuration, refreshTimeout how long one read may take.
const (
	refreshInterval = 400 * time.Millisecond
	refreshTimeout  = time.Second
)

// exploreBounds are the times of the platform's rules: cancelMs, stopTimeoutMs, drainMs, evacuateMs and contactMs.
var exploreBounds = world.Bounds{
	Cancel: 4 * time.Second, Stop: 900 * time.Millisecond, Drain: 2 * time.Second, Evacuate: 5 * time.Second, Config: 3 * time.Second, Contact: 3 * time.Second,
	Finish: 25 * time.Second, Run: time.Minute,
}

// refreshPolicy reads the configuration until ctx ends, then closes done.
func refreshPolicy(ctx context.Context, holder *policy.Holder, access *world.Process, done chan<- struct{}) {
	defer close(done)
	for {
		call, cancel := context.WithTimeout(ctx, refreshTimeout)
		if err := holder.Refresh(call); err != nil {
			access.Note("configuration: " + err.Error())
		}
		cancel()
		if !pause.For(ctx, refreshInterval) {
			return
		}
	}
}

// exploreCentres are the data centres of the instances of worlds whose instances call each other.
var exploreCentres = map[string]string{"a": "east", "b": "west", "c": "north"}

// runInstance is the world.Program of an instance that competes for ownership of a world of that configuration.
func runInstance(t *testing.T, cfg *world.Config) world.Program {
	instances := &directory{}
	return func(ctx context.Context, access *world.Process, done chan<- struct{}) (owns func() bool) {
		now := strictClock()
		holder := policy.NewHolder(access, now, func(policy.Snapshot) {})
		note := func(entry *log.Entry) error {
			var text strings.Builder
			text.WriteString(entry.Message)
			for _, name := range entry.Fields.Names() {
				fmt.Fprintf(&text, " %s=%v", name, entry.Fields.Get(name))
			}
			access.Note(text.String())
			return nil
		}
		elector := &term.Elector{
			Instance: access.Name(), Store: access, Agent: access, Lister: access, Policy: holder,
			Limits: term.Limits{
				MaxLease: soakLease, StopTimeout: exploreBounds.Stop, PolicyAge: exploreBounds.Evacuate * 6 / 10, CapAge: exploreBounds.Config * 6 / 10, ListAge: exploreBounds.Drain * 6 / 10,
				Retention: time.Hour, RemoteFactor: 3, MaxValueBytes: cfg.MaxValueBytes, MaxEntries: cfg.MaxEntries, EndKeepers: exploreEndKeepers,
			},
			Log: event.NewLog(&log.Logger{Handler: log.HandlerFunc(note), Level: log.DebugLevel}), Meter: meter.New(t.Name() + access.Name()),
			Now: now, WallNow: now, Jitter: func(mean time.Duration) time.Duration { return mean }, Predecessors: instances,
		}
		if cfg.PeerDelay > 0 {
			peers := explorePeers{access: access, instances: instances, centres: exploreCentres}
			elector.DataCentre, elector.Peers, elector.Predecessors = exploreCentres[access.Name()], peers, peers
		}
		instances.add(elector)
		go func() {
			refreshed, ended := make(chan struct{}), make(chan struct{})
			go refreshPolicy(ctx, holder, access, refreshed)
			go elector.Run(ctx, ended)
			go showEnds(ctx, elector, cfg, access)
			<-ctx.Done()
			instances.remove(elector.Instance)
			<-ended
			<-refreshed
			close(done)
		}()
		return elector.Owns
	}
}

// playResult is what one run of a world showed.
type playResult struct {
	steps    []world.Step
	breaches []world.Breach
	effects  []string
	journal  []string
}

// digest identifies the run: each call, and each effect with its time. Log lines don't count, as some have times that differ by
// the nanosecond that strictClock adds.
func (r playResult) digest() uint64 {
	h := fnv.New64a()
	for _, step := range r.steps {
		step.At = step.At.Truncate(time.Microsecond)
		fmt.Fprintln(h, step)
	}
	for _, line := range r.effects {
		fmt.Fprintln(h, line)
	}
	return h.Sum64()
}

// play runs the scenario with the faults.
func play(t *testing.T, name string, faults map[int]world.Fault) (result playResult) {
	synctest.Test(t, func(t *testing.T) {
		cfg := scenarioOf(name)
		if *storeValueBytes > 0 {
			cfg.MaxValueBytes, cfg.MaxEntries = *storeValueBytes, *storeEntries
		}
		cfg.Program, cfg.Bounds, cfg.Settle, cfg.MaxLease, cfg.Faults = runInstance(t, &cfg), exploreBounds, synctest.Wait, soakLease, faults
		cfg.Instances = []string{"a", "b"}
		if cfg.PeerDelay > 0 {
			cfg.Instances = slices.Sorted(maps.Keys(exploreCentres))
		}
		w := world.New(t.Context(), cfg)
		w.Run()
		w.Close()
		result = playResult{steps: w.Steps(), breaches: w.Breaches(), effects: w.Effects(), journal: w.Journal()}
	})
	return result
}

// exploredFaults are the faults that are tried at each step.
func exploredFaults() []world.Fault {
	if *exploreAll {
		return allFaults()
	}
	return []world.Fault{world.KilledBefore, world.KilledAfter, world.KilledLate, world.Stopped, world.CutFromWorkers}
}

func allFaults() []world.Fault {
	return slices.DeleteFunc(world.FaultValues(), func(f world.Fault) bool { return f == world.NoFault })
}

// effectOf names the step's call if it has an effect; reads and renewals are alike.
func effectOf(step world.Step) string {
	for _, kind := range []string{"watch", "range", "list", "read", "item", "renew"} {
		if strings.HasPrefix(step.Name, kind) {
			return ""
		}
	}
	return step.Name
}

// disturbs reports whether the fault makes a difference at the step; reads are repeated soon.
func disturbs(f world.Fault, step world.Step) bool {
	switch f {
	case world.Unanswered, world.Refused, world.Late, world.KilledLate:
		return effectOf(step) != "" || step.Name == "renew"
	case world.RestartedBefore, world.RestartedAfter:
		return strings.HasPrefix(step.Name, "start") || strings.HasPrefix(step.Name, "stop") || strings.HasPrefix(step.Name, "poll")
	default:
		return true
	}
}

// explore plays the scenario once for each fault at each step of the owner from the first submission on.
func explore(t *testing.T, name string) {
	base := play(t, name, nil)
	report(t, name, nil, base)
	seen := make(map[string]bool)
	runs, started := 0, time.Now()
	for n, step := range base.steps {
		if !step.Owner || step.At < firstSubmission {
			continue
		}
		for _, fault := range exploredFaults() {
			key := fmt.Sprint(fault, step.State, effectOf(step))
			if !disturbs(fault, step) || seen[key] && !*exploreEqual {
				continue
			}
			seen[key] = true
			runs++
			faults := map[int]world.Fault{n: fault}
			report(t, name, faults, play(t, name, faults))
		}
	}
	t.Logf("%s: %d steps, %d runs in %s", name, len(base.steps), runs, time.Since(started).Round(time.Millisecond))
}

// exploreRandomly plays the scenarios with several faults at random steps.
func exploreRandomly(t *testing.T, names []string) {
	for seed := *exploreFirst; seed < *exploreFirst+*exploreSeeds; seed++ {
		name, faults := randomFaults(seed, names)
		report(t, fmt.Sprintf("seed %d, %s", seed, name), faults, play(t, name, faults))
	}
}

// maxFaults is the largest number of faults of one run with random ones, faultSpan the number of steps over which they lie.
const (
	maxFaults = 3
	faultSpan = 150
)

// randomFaults draws one of the scenarios and faults.
func randomFaults(seed uint64, names []string) (name string, faults map[int]world.Fault) {
	random := rand.New(rand.NewPCG(seed, 36))
	name, faults = names[random.IntN(len(names))], make(map[int]world.Fault)
	kinds := allFaults()
	for range 2 + random.IntN(maxFaults-1) {
		faults[stepsBefore+random.IntN(faultSpan)] = kinds[random.IntN(len(kinds))]
	}
	return name, faults
}

// stepsBefore is the number of steps before the first submission.
const stepsBefore = 48

// report reports the rules that a run broke.
func report(t *testing.T, name string, faults map[int]world.Fault, r playResult) {
	if len(r.breaches) == 0 {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(faults)) {
		fault := faults[n]
		if n >= len(r.steps) {
			continue
		}
		t.Errorf("%s, %s at step %d (%.3f s, %s):", name, fault, n, r.steps[n].At.Seconds(), r.steps[n].Name)
	}
	for _, b := range r.breaches {
		t.Errorf("  %s: %s: %s", b.Rule, b.Task, b.Text)
	}
	if *exploreJournal == "" {
		return
	}
	file := strings.ReplaceAll(fmt.Sprintf("%s-%v.txt", name, faults), " ", "-")
	assert.NilError(t, os.WriteFile(filepath.Join(*exploreJournal, file), []byte(strings.Join(r.journal, "\n")), 0o600))
}
