package group_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// slowCluster is a cluster whose transactions, orders and responses take a while or are lost.
type slowCluster struct {
	*cluster
	random  *rand.Rand
	updates []group.Update
	starts  []group.StartOrder
	stops   []group.StopOrder
	needs   map[string]group.Resources
	jobs    []*group.Job
	// over lists the starts that brought a worker over its capacity.
	over []string
}

// chance is true with the given probability.
func (s *slowCluster) chance(p float64) bool { return s.random.Float64() < p }

// submitRandom submits a job of one step.
func (s *slowCluster) submitRandom() {
	step := work.Step{
		Count: 1 + s.random.IntN(5), MilliCores: 1000 * (1 + s.random.IntN(12)), MemoryMB: 1000, Accelerators: s.random.IntN(9),
		Estimate: time.Second, Gang: s.chance(0.5), SameRack: s.chance(0.3), Checkpoints: s.chance(0.5),
	}
	id := fmt.Sprintf("job-%03d", len(s.jobs))
	s.needs[id] = group.Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
	queue := []string{quickQueue, planQueue, batchQueue}[s.random.IntN(3)]
	s.jobs = append(s.jobs, s.submit(id, queue, "alpha", step))
}

// freeOn is what the worker's present capacity leaves beside all that runs there.
func (s *slowCluster) freeOn(id string) group.Resources {
	var free group.Resources
	for _, info := range s.infos {
		if info.ID == id {
			free = info.Capacity
		}
	}
	for task := range s.running[id] {
		free = free.Sub(s.needs[task[:len("job-000")]])
	}
	return free
}

// sendStart sends a start order as the owner does, and reports whether the order needs no repetition.
func (s *slowCluster) sendStart(order group.StartOrder) bool {
	if !order.Member.StartWanted() {
		return true
	}
	if s.engine.Closed(s.engine.Worker(order.Worker)) {
		s.engine.WithdrawStart(order.Member, s.now)
		return true
	}
	if !order.Member.StartFits() {
		return false
	}
	order.Member.MarkSent()
	s.engine.LeaseRenewed(order.Worker, s.now.Add(6*time.Second))
	if s.chance(0.1) {
		return false
	}
	if _, running := s.running[order.Worker][order.Task]; !running {
		if s.needs[order.Task[:len("job-000")]].Count(s.freeOn(order.Worker), 1) == 0 {
			s.over = append(s.over, fmt.Sprintf("%s on %s at %s", order.Task, order.Worker, s.now.Format("05.000")))
		}
		s.running[order.Worker][order.Task] = group.RunningEntry{Task: order.Task, Run: order.Run}
	}
	if s.chance(0.1) {
		return false
	}
	s.engine.ApplyStartResult(order.Member, group.Accepted, s.now)
	return true
}

// decide takes one decision, and carries out a part of all orders and commits that are on their way.
func (s *slowCluster) decide() {
	s.engine.Decide(true, s.now)
	s.updates = append(s.updates, s.engine.Updates(math.MaxInt, s.now)...)
	var later []group.Update
	for _, u := range s.updates {
		switch {
		case s.chance(0.5):
			later = append(later, u)
		case s.chance(0.1):
			s.engine.Uncommitted(u)
		default:
			s.engine.Committed(u, s.now)
		}
	}
	s.updates = later
	for _, action := range s.engine.Actions() {
		switch a := action.(type) {
		case group.StartOrder:
			s.starts = append(s.starts, a)
		case group.StopOrder:
			s.stops = append(s.stops, a)
		case group.Decision:
		}
	}
	s.sendStops()
	var pending []group.StartOrder
	for _, order := range s.starts {
		if s.chance(0.5) || !s.sendStart(order) {
			pending = append(pending, order)
		}
	}
	s.starts = pending
}

// sendStops carries out a part of the stops; the others are repeated, as the owner repeats them until they are acknowledged.
func (s *slowCluster) sendStops() {
	var pending []group.StopOrder
	for _, order := range s.stops {
		if s.chance(0.3) {
			pending = append(pending, order)
		} else if s.engine.Worker(order.Worker).NeedsStop(order.Task, order.Run) {
			s.carryOutStop(order)
		}
	}
	s.stops = pending
}

// resizeRandom changes the capacity of one worker.
func (s *slowCluster) resizeRandom() {
	s.resize(s.infos[s.random.IntN(len(s.infos))].ID, s.random.IntN(9))
}

// exitRandom makes running tasks exit, each with the given probability.
func (s *slowCluster) exitRandom(p float64) {
	for _, info := range s.infos {
		for task := s.anyTaskOn(info.ID); task != "" && s.chance(p); task = s.anyTaskOn(info.ID) {
			s.exitTask(task, group.Done)
		}
	}
}

// Guards against starts beyond a worker's present capacity and against jobs that never run: workers shrink and grow at random
// while intents, orders and their responses are delayed or lost.
func TestStartsKeepToCapacitiesThatShrinkAndGrow(t *testing.T) {
	for seed := range uint64(40) {
		s := &slowCluster{cluster: newCluster(t, 4, 3), random: rand.New(rand.NewPCG(seed, 0)), needs: make(map[string]group.Resources)}
		for range 300 {
			if len(s.jobs) < 100 && s.chance(0.3) {
				s.submitRandom()
			}
			if s.chance(0.3) {
				s.resizeRandom()
			}
			s.exitRandom(0.1)
			s.now = s.now.Add(time.Duration(s.random.IntN(100)) * time.Millisecond)
			if s.chance(0.5) {
				s.pollAll()
			}
			s.decide()
		}
		for _, info := range s.infos {
			s.resize(info.ID, 8)
		}
		for range 3000 {
			s.now = s.now.Add(50 * time.Millisecond)
			s.exitRandom(0.2)
			s.pollAll()
			s.decide()
		}
		assert.Equal(t, len(s.over), 0, "seed %d: %v", seed, s.over)
		for _, job := range s.jobs {
			assert.Equal(t, job.Record.Phase, work.Completed, "seed %d: %s %s", seed, job.ID(), job.Waiting)
		}
	}
}
