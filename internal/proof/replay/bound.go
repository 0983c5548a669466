package replay

import (
	"container/heap"
	"math"
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// piece is a job in the relaxation: the whole fleet as one machine that works on one job at a time.
type piece struct {
	release float64
	// work is the time that the whole fleet would need for the job.
	work float64
	run  float64
	left float64
	busy float64
	rank float64
}

// pieces is a heap of released jobs by rank.
type pieces []*piece

func (p pieces) Len() int           { return len(p) }
func (p pieces) Less(i, j int) bool { return p[i].rank < p[j].rank }
func (p pieces) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }

// Push is for container/heap.
func (p *pieces) Push(x any) { *p = append(*p, x.(*piece)) }

// Pop is for container/heap.
func (p *pieces) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// bounds returns times that no schedule can beat; docs/design/replay.md argues why.
func (s *sim) bounds() (mean, makespan float64) {
	list := s.pieces()
	if len(list) == 0 {
		return 0, 0
	}
	horizon := s.horizon()
	run := 0.0
	for i := range list {
		run += min(list[i].run, horizon-list[i].release)
		makespan = max(makespan, list[i].release+list[i].run)
	}
	n := float64(len(list))
	shortest, _ := fluid(list, horizon, func(p *piece) float64 { return p.left })
	if !math.IsInf(horizon, 1) {
		return max(run/n, shortest), 0
	}
	_, busy := fluid(list, horizon, func(p *piece) float64 { return p.work })
	return max(run/n, shortest, busy+run/(2*n)), max(makespan, backlog(list))
}

// horizon is until when open jobs are counted: for ever if every job that counts has finished.
func (s *sim) horizon() float64 {
	for _, j := range s.order {
		if j.counts() && j.outcome != queue.Finished {
			return s.now.Seconds()
		}
	}
	return math.Inf(1)
}

// pieces lists the jobs that count: all but refused, cancelled and always-failing ones.
func (s *sim) pieces() []piece {
	total := 0
	for i := range s.engine.Fleet.Workers {
		total += s.engine.Fleet.Workers[i].Capacity.Accelerators
	}
	var list []piece
	for _, j := range s.order {
		if !j.counts() {
			continue
		}
		run := j.submit.Actual.Seconds()
		work := 0.0
		if total > 0 {
			work = run * float64(j.submit.Total().Accelerators) / float64(total)
		}
		list = append(list, piece{release: j.submit.When().Seconds(), run: run, work: work})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].release < list[j].release })
	return list
}

// counts reports whether the job is part of the completion figures.
func (j *jobState) counts() bool {
	switch j.outcome {
	case queue.Refused, queue.Cancelled, queue.Failed:
		return false
	}
	return j.submit.FailsAfter.Duration == 0
}

// fluid runs the jobs on the one machine, always the one of the lowest rank;
// it returns the mean completion, counted up to the horizon, and the mean of the mean busy times, both since release.
func fluid(list []piece, horizon float64, rank func(*piece) float64) (completion, busy float64) {
	var ready pieces
	now, next := 0.0, 0
	for next < len(list) || len(ready) > 0 {
		if len(ready) == 0 {
			now = max(now, list[next].release)
		}
		for next < len(list) && list[next].release <= now {
			p := list[next]
			p.left, p.busy = p.work, 0
			p.rank = rank(&p)
			heap.Push(&ready, &p)
			next++
		}
		p := heap.Pop(&ready).(*piece)
		until := now + p.left
		if next < len(list) {
			until = min(until, list[next].release)
		}
		if p.work > 0 {
			p.busy += (until - now) / p.work * (now + until) / 2
		} else {
			p.busy = p.release
		}
		p.left -= until - now
		now = until
		if p.left > tiny {
			p.rank = rank(p)
			heap.Push(&ready, p)
			continue
		}
		completion += min(now, horizon) - p.release
		busy += p.busy - p.release
	}
	n := float64(len(list))
	return completion / n, busy / n
}

// tiny is below any real amount of work, in seconds.
const tiny = 1e-9

// backlog is the latest time by which the released work can't be done earlier.
func backlog(list []piece) float64 {
	finish := 0.0
	for i := range list {
		finish = max(finish, list[i].release) + list[i].work
	}
	return finish
}

// seconds is a duration as the report gives it.
func seconds(d time.Duration) float64 { return d.Seconds() }
