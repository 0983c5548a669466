package drill

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/caller"
	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/judge"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

const (
	readyWithin = 30 * time.Second
	lookEvery   = 100 * time.Millisecond
	// watchFor is how long the end of the day is watched, a little longer than a job may stand.
	watchFor = 4 * time.Second
	askEvery = 2500 * time.Millisecond
	// askSpread is the time within which all jobs are asked for at the end.
	askSpread = 2 * time.Second
)

// NotReadyError means that the instances did not become ready.
type NotReadyError struct{ Ready, Want int }

// Error has both numbers.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%d of %d instances are ready", e.Ready, e.Want)
}

// PanicError means that a stand-in panicked, so that the day proves nothing.
type PanicError struct{ Count int }

// Error has the number of panics.
func (e *PanicError) Error() string {
	return fmt.Sprintf("%d panics in the stand-ins; day.txt has them", e.Count)
}

// day is one day while it is played.
type day struct {
	*fleet
	faults  *injector
	callers []*caller.Caller
	plant   plant
	stand   *judge.Watch
	result  *Result
}

// Play plays one day in real time and returns what it has shown.
func Play(ctx context.Context, plan Plan) (*Result, error) {
	if err := os.MkdirAll(plan.Folder, 0o755); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(plan.Folder, "day.txt"))
	if err != nil {
		return nil, err
	}
	seen := trail.New(time.Now(), file)
	seen.Logf(time.Now(), "site %s, seed %d, day %s, plant %q", plan.Site.Name, plan.Seed, plan.Day, plan.Plant)
	result, err := play(ctx, plan, seen)
	return result, errors.Join(err, seen.Close())
}

func play(ctx context.Context, plan Plan, seen *trail.Trail) (*Result, error) {
	random := rand.New(rand.NewPCG(plan.Seed, 1))
	arrivals := caller.Arrivals(plan.Site, random)
	entries, err := fault.Draw(plan.Day, random, plan.Site.Traffic, len(plan.Site.DataCentres))
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		seen.Logf(time.Now(), "planned %s after the start of the traffic: %T%+v", e.At, e.Fault, e.Fault)
	}
	f, err := newFleet(plan, seen, random)
	if f == nil {
		return nil, err
	}
	d := &day{fleet: f, plant: plants[plan.Plant], stand: judge.NewWatch(), result: &Result{Jobs: len(arrivals)}}
	d.faults = &injector{fleet: f, rand: rand.New(rand.NewPCG(plan.Seed, 2)), version: 1}
	if err == nil {
		err = d.run(ctx, arrivals, entries)
	}
	ends := f.close()
	if n := seen.Panics(); n > 0 {
		err = errors.Join(err, &PanicError{Count: n})
	}
	if err == nil {
		d.judge(ends)
	}
	return d.result, err
}

func (d *day) run(ctx context.Context, arrivals []caller.Arrival, entries []fault.Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	background := func(part func(context.Context)) {
		parts.Add(1)
		go func() {
			defer parts.Done()
			part(ctx)
		}()
	}
	defer parts.Wait()
	defer cancel()
	var targets []caller.Target
	for _, n := range d.nodes {
		targets = append(targets, caller.Target{Name: n.Name, DataCentre: n.DataCentre, Front: n.Front, Readiness: n.Readiness})
	}
	balancer := caller.NewBalancer(targets, rand.New(rand.NewPCG(d.plan.Seed, 3)))
	background(balancer.Run)
	background(d.faults.expire)
	for n := range d.plan.Site.Callers {
		c := caller.New(d.plan.Site.DataCentres[n%len(d.plan.Site.DataCentres)], balancer, d.trail)
		c.Planted = d.plant.callers
		defer c.Close()
		d.callers = append(d.callers, c)
	}
	if err := d.awaitReady(ctx, balancer); err != nil {
		return err
	}
	start := time.Now()
	end := start.Add(d.plan.Site.Traffic)
	d.result.TrafficEnd = end
	d.trail.Logf(start, "traffic begins")
	background(d.measureStalls)
	background(d.watch)
	var traffic sync.WaitGroup
	for n, arrival := range arrivals {
		traffic.Add(1)
		go func() {
			defer traffic.Done()
			d.follow(ctx, d.callers[n%len(d.callers)], start, arrival)
		}()
	}
	defer traffic.Wait()
	defer cancel()
	background(func(ctx context.Context) { d.applyPlant(ctx, start, arrivals) })
	played := make(chan struct{})
	go func() {
		defer close(played)
		d.faults.play(ctx, start, entries)
	}()
	wait(ctx, time.Until(end))
	d.trail.Logf(time.Now(), "traffic ends")
	<-played
	d.faults.startAll()
	if !wait(ctx, time.Until(end.Add(d.plan.Site.Finish))) {
		return ctx.Err()
	}
	d.trail.Logf(time.Now(), "all jobs have to be at work or ended")
	return d.finish(ctx)
}

func (d *day) awaitReady(ctx context.Context, b *caller.Balancer) error {
	begin := time.Now()
	for b.Ready() < len(d.nodes) || d.owner() == nil {
		if time.Since(begin) > readyWithin || ctx.Err() != nil {
			return &NotReadyError{Ready: b.Ready(), Want: len(d.nodes)}
		}
		wait(ctx, 50*time.Millisecond)
	}
	wait(ctx, time.Until(begin.Add(d.plan.Site.LeadIn)))
	return ctx.Err()
}

// follow submits a job at its time, cancels it if it is to be, and asks for its state.
func (d *day) follow(ctx context.Context, c *caller.Caller, start time.Time, a caller.Arrival) {
	if !wait(ctx, time.Until(start.Add(a.At))) || !c.Submit(ctx, a.Job) {
		return
	}
	if a.CancelAfter > 0 {
		if wait(ctx, a.CancelAfter) {
			c.Cancel(ctx, a.Job)
		}
	}
	c.Follow(ctx, a.Job, askEvery)
}

// measureStalls measures how late this process is scheduled, as the instances are on the same machine.
func (d *day) measureStalls(ctx context.Context) {
	const every, worth = 20 * time.Millisecond, 150 * time.Millisecond
	for last := time.Now(); wait(ctx, every); last = time.Now() {
		late := time.Since(last) - every
		d.result.LongestStall = max(d.result.LongestStall, late)
		if time.Since(d.result.TrafficEnd) > d.plan.Site.Finish {
			d.result.StallAtEnd = max(d.result.StallAtEnd, late)
		}
		if late > worth {
			d.trail.Logf(time.Now(), "the soak itself was scheduled %s late", late)
		}
	}
}

// watch looks for jobs that stand until the context ends.
func (d *day) watch(ctx context.Context) {
	for wait(ctx, lookEvery) {
		rooms := d.rooms()
		d.trail.Look(func(v trail.View) { d.stand.Look(time.Now(), v, rooms) })
	}
}

// finish asks for all jobs while the watch for those that stand goes on.
func (d *day) finish(ctx context.Context) error {
	until := time.Now().Add(watchFor)
	var jobs []*trail.Job
	d.trail.Look(func(v trail.View) { jobs = append(jobs, v.Jobs...) })
	var mu sync.Mutex
	each(jobs, func(j *trail.Job) {
		if j.Accepted.IsZero() || !wait(ctx, time.Duration(j.ID[1]-'0')*askSpread/64) {
			return
		}
		c := d.callers[int(j.ID[0])%len(d.callers)]
		for range 2 {
			if status, _ := c.State(ctx, j); status == 200 || status == 410 {
				return
			}
		}
		mu.Lock()
		defer mu.Unlock()
		d.result.Findings = append(d.result.Findings, judge.Finding{Rule: "LOST", Job: j.ID, At: time.Now(), Text: "a request for its state has no answer"})
	})
	wait(ctx, time.Until(until))
	return ctx.Err()
}

// applyPlant carries out what a plant does to the stand-ins during the day.
func (d *day) applyPlant(ctx context.Context, start time.Time, arrivals []caller.Arrival) {
	switch {
	case d.plant.stall:
		if wait(ctx, time.Until(start.Add(d.plan.Site.Traffic-2*time.Second))) {
			each(d.workers, func(w *worker.Worker) { w.Set(worker.Behavior{Unhealthy: 1}) })
		}
	case d.plant.forget, d.plant.ghost:
		if !wait(ctx, time.Until(start.Add(d.plan.Site.Traffic/2))) {
			return
		}
		for _, a := range arrivals {
			key := "in/" + a.Job.ID
			value := d.store.Value(key)
			if value == nil {
				continue
			}
			if d.plant.forget {
				d.store.Delete(time.Now(), key)
				d.store.Delete(time.Now(), "run/"+a.Job.ID)
			} else {
				d.store.Copy(time.Now(), key, fmt.Sprintf("in/%016x", len(a.Job.ID)))
			}
		}
	}
}

// judge fills in the result.
func (d *day) judge(ends []error) {
	d.stand.Close()
	r := d.result
	d.trail.Look(func(v trail.View) {
		r.Findings = append(r.Findings, judge.Judge(v, d.plan.Site, d.faults.calm)...)
		for _, j := range v.Jobs {
			if !j.Accepted.IsZero() {
				r.Accepted++
			}
			if j.State == "completed" {
				r.Completed++
			}
			r.Rejected += j.Rejected
			r.NoAnswers += j.Unanswered
		}
		for _, runs := range v.Runs {
			r.Runs += len(runs)
		}
	})
	r.Findings = append(r.Findings, d.stand.Findings(r.TrafficEnd.Add(d.plan.Site.Finish))...)
	for _, err := range ends {
		r.Findings = append(r.Findings, judge.Finding{Rule: "EXIT", At: time.Now(), Text: err.Error()})
	}
	r.Spans = d.stand.Spans
}
