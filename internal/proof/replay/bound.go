package replay

import (
	"container/heap"
	"math"
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// relaxedJob is a job in the relaxation for the lower bounds, in which the whole fleet is one machine that works on one
// job at a time. All times are in seconds.
type relaxedJob struct {
	release float64
	// work is the time that the whole fleet would need for the job; run is its true run time.
	work         float64
	run          float64
	remaining    float64
	meanBusyTime float64
	rank         float64
}

// jobHeap is a min-heap of released jobs by rank.
type jobHeap []*relaxedJob

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*relaxedJob)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// lowerBounds returns a mean completion time and a makespan that no schedule can beat; docs/design/replay.md has the
// proof.
func (s *sim) lowerBounds() (mean, makespan float64) {
	list := s.relaxedJobs()
	if len(list) == 0 {
		return 0, 0
	}
	horizon := s.horizon()
	totalRun := 0.0
	for i := range list {
		totalRun += min(list[i].run, horizon-list[i].release)
		makespan = max(makespan, list[i].release+list[i].run)
	}
	n := float64(len(list))
	shortest, _ := simulateFluid(list, horizon, func(job *relaxedJob) float64 { return job.remaining })
	if !math.IsInf(horizon, 1) {
		return max(totalRun/n, shortest), 0
	}
	_, busy := simulateFluid(list, horizon, func(job *relaxedJob) float64 { return job.work })
	return max(totalRun/n, shortest, busy+totalRun/(2*n)), max(makespan, earliestMakespan(list))
}

// horizon returns the time until which unfinished jobs are counted, or infinity if every counted job has finished.
func (s *sim) horizon() float64 {
	for _, j := range s.jobOrder {
		if j.isCounted() && j.outcome != queue.Finished {
			return s.now.Seconds()
		}
	}
	return math.Inf(1)
}

// relaxedJobs returns the counted jobs in order of submission.
func (s *sim) relaxedJobs() []relaxedJob {
	total := 0
	for i := range s.engine.Fleet.Workers {
		total += s.engine.Fleet.Workers[i].Capacity.Accelerators
	}
	var list []relaxedJob
	for _, j := range s.jobOrder {
		if !j.isCounted() {
			continue
		}
		run := j.submit.Actual.Seconds()
		work := 0.0
		if total > 0 {
			work = run * float64(j.submit.Total().Accelerators) / float64(total)
		}
		list = append(list, relaxedJob{release: j.submit.When().Seconds(), run: run, work: work})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].release < list[j].release })
	return list
}

// isCounted reports whether the job is part of the completion figures: all are, except refused, cancelled, failed and
// always-failing ones.
func (j *jobState) isCounted() bool {
	switch j.outcome {
	case queue.Refused, queue.Cancelled, queue.Failed:
		return false
	}
	return j.submit.FailsAfter.Duration == 0
}

// simulateFluid runs the jobs on the single machine, always the one of the lowest rank. It returns the mean completion
// time, counted up to the horizon, and the mean of the mean busy times, both since release.
func simulateFluid(list []relaxedJob, horizon float64, rank func(*relaxedJob) float64) (completion, busy float64) {
	var ready jobHeap
	now, next := 0.0, 0
	for next < len(list) || len(ready) > 0 {
		if len(ready) == 0 {
			now = max(now, list[next].release)
		}
		for next < len(list) && list[next].release <= now {
			job := list[next]
			job.remaining, job.meanBusyTime = job.work, 0
			job.rank = rank(&job)
			heap.Push(&ready, &job)
			next++
		}
		job := heap.Pop(&ready).(*relaxedJob)
		until := now + job.remaining
		if next < len(list) {
			until = min(until, list[next].release)
		}
		if job.work > 0 {
			job.meanBusyTime += (until - now) / job.work * (now + until) / 2
		} else {
			job.meanBusyTime = job.release
		}
		job.remaining -= until - now
		now = until
		if job.remaining > minWorkSeconds {
			job.rank = rank(job)
			heap.Push(&ready, job)
			continue
		}
		completion += min(now, horizon) - job.release
		busy += job.meanBusyTime - job.release
	}
	n := float64(len(list))
	return completion / n, busy / n
}

// minWorkSeconds is smaller than any real amount of work; what is left below it is a rounding error.
const minWorkSeconds = 1e-9

// earliestMakespan returns the earliest time at which the single machine can have done all work.
func earliestMakespan(list []relaxedJob) float64 {
	finish := 0.0
	for i := range list {
		finish = max(finish, list[i].release) + list[i].work
	}
	return finish
}

// seconds returns a duration in the unit of the report.
func seconds(d time.Duration) float64 { return d.Seconds() }
