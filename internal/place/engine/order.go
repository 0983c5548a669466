package engine

import (
	"math"
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// ranked is a waiting job with its sort keys.
type ranked struct {
	job   *queue.Job
	rank  int
	score float64
}

// Ranks of waiting jobs; a lower rank is served first.
const (
	rankGuaranteedNonBatch = iota
	rankGuaranteedBatch
	rankNonBatch
	rankBatch
)

// sorted returns the waiting jobs in the policy's order.
func (e *Engine) sorted(now time.Time) []*queue.Job {
	list := make([]ranked, len(e.waiting))
	for i, j := range e.waiting {
		list[i] = ranked{job: j, rank: e.rank(j), score: e.score(j, now)}
	}
	sort.SliceStable(list, func(a, b int) bool {
		if list[a].rank != list[b].rank {
			return list[a].rank < list[b].rank
		}
		if list[a].score != list[b].score {
			return list[a].score < list[b].score
		}
		return list[a].job.Job < list[b].job.Job
	})
	jobs := make([]*queue.Job, len(list))
	for i := range list {
		jobs[i] = list[i].job
	}
	return jobs
}

func (e *Engine) rank(j *queue.Job) int {
	nonBatch := j.Class != queue.Batch
	switch {
	case e.policy.Order == ByArrival && !e.policy.Guarantees:
		return rankBatch
	case j.Slot >= 0 && nonBatch:
		return rankGuaranteedNonBatch
	case j.Slot >= 0:
		return rankGuaranteedBatch
	case nonBatch:
		return rankNonBatch
	default:
		return rankBatch
	}
}

// score is the sort key within a rank: the arrival time, or the estimated remaining need in accelerator-seconds.
func (e *Engine) score(j *queue.Job, now time.Time) float64 {
	switch e.policy.Order {
	case ByRemaining:
		need := e.estimator.Remaining(j, now).Seconds() * weight(j)
		return need * e.agingFactor(j, now)
	default:
		return float64(j.Submitted.UnixNano())
	}
}

// agingFactor halves a job's need for every aging period that it has waited.
func (e *Engine) agingFactor(j *queue.Job, now time.Time) float64 {
	if e.policy.AgingPeriod <= 0 || j.Phase != queue.Waiting {
		return 1
	}
	return math.Exp2(-now.Sub(j.WaitingSince).Seconds() / e.policy.AgingPeriod.Seconds())
}

// preempt stops jobs with a much larger remaining need, if the policy allows it, to make room for the job.
func (e *Engine) preempt(j *queue.Job, centres []int, p *pass) bool {
	if e.policy.PreemptRatio <= 0 || j.Pinned() {
		return false
	}
	limit := e.Fleet.EmptyUsableView()
	if len(j.FailedOn) > 0 {
		limit = excluding(limit, j.FailedOn)
	}
	e.scanWorkers(p)
	if e.score(j, p.now)*e.policy.PreemptRatio > p.maxVictimScore {
		return false
	}
	search := evict.Search{Fleet: e.Fleet, Scratch: &e.scratch, Shape: j.Shape, Limit: limit, Source: e.preemptionCandidates(j, p.now)}
	plan, ok := search.Best(centres)
	if !ok {
		return false
	}
	e.reserve(j, plan, "shorter than what it replaces", p.now)
	return true
}

// scanWorkers computes, once per pass, upper bounds on what any search can find.
func (e *Engine) scanWorkers(p *pass) {
	if p.scanned {
		return
	}
	p.scanned = true
	for w := range e.Fleet.Workers {
		worker := &e.Fleet.Workers[w]
		if worker.Usable() {
			p.freeAccelerators += max(worker.Free.Accelerators, 0)
		}
		for _, j := range e.onWorker[w] {
			if e.preemptible(j, 0, p.now) {
				p.maxVictimScore = max(p.maxVictimScore, e.score(j, p.now))
			}
		}
	}
}

// preemptionCandidates returns a source of the jobs on a worker whose remaining need is at least Policy.PreemptRatio times
// the requester's.
func (e *Engine) preemptionCandidates(requester *queue.Job, now time.Time) evict.Source {
	minScore := e.score(requester, now) * e.policy.PreemptRatio
	return func(w int) []evict.Victim {
		var found []evict.Victim
		for _, j := range e.onWorker[w] {
			if !e.preemptible(j, minScore, now) {
				continue
			}
			found = append(found, evict.Victim{Job: j.Job, Cost: e.stopCost(j, requester, now), PerMember: j.Resources, Workers: j.Workers})
		}
		return found
	}
}

// preemptible reports whether a running job may be stopped for a job that precedes it in the policy's order.
func (e *Engine) preemptible(j *queue.Job, minScore float64, now time.Time) bool {
	if j.Phase != queue.Running || !j.Checkpoints() || j.Slot >= 0 || j.Class != queue.Batch {
		return false
	}
	return e.ranLongEnough(j, now) && e.score(j, now) >= minScore
}

// ranLongEnough reports whether the job has run for the policy's minimum, which prevents repeated preemption.
func (e *Engine) ranLongEnough(j *queue.Job, now time.Time) bool {
	return now.Sub(j.Started) >= max(e.policy.MinRun, time.Duration(e.policy.MinCheckpoints)*j.CheckpointTakes.Duration)
}
