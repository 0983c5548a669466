package check

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// checkGuarantees reports jobs within their guarantee that have waited too long although a data centre had room for them.
func (c *Checker) checkGuarantees(now time.Duration) {
	for _, ws := range c.workspaces {
		for i := range ws.slots {
			job := ws.slots[i].job
			if job == nil || !job.isWaiting() {
				continue
			}
			if !c.couldFit(ws, job) {
				job.placeableSince = now
				continue
			}
			if now-job.placeableSince > job.longestCheckpoint+reclaimGrace && !job.reported {
				job.reported = true
				c.addViolation(Entry{At: now, Job: job.submit.Job}, GuaranteeDenied, "within its guarantee and placeable since %s; the longest checkpoint of its victims takes %s", job.placeableSince, job.longestCheckpoint)
			}
		}
	}
}

// couldFit reports whether an open data centre would have room for the job if every job that may be stopped were stopped.
func (c *Checker) couldFit(ws *workspaceState, job *jobState) bool {
	for _, s := range c.centres {
		if !s.acceptsStarts() || (len(ws.allowed) > 0 && !ws.allowed[s.name]) {
			continue
		}
		if c.fitsIn(s, job) {
			return true
		}
	}
	return false
}

func (c *Checker) fitsIn(s *centreState, job *jobState) bool {
	held := c.unreclaimable(s, job.submit.Job)
	units := make(map[string]int)
	for _, w := range s.workers {
		if w.down {
			continue
		}
		key := unitOf(w, job.submit.Within)
		units[key] += fitCount(job.submit.Resources, w.size, held[w.name], job.submit.Members)
		if units[key] >= job.submit.Members {
			return true
		}
	}
	return false
}

func unitOf(w *workerState, within shape.Within) string {
	switch within {
	case shape.Worker:
		return w.name
	case shape.Rack:
		return w.rack
	default:
		return w.centre
	}
}

// unreclaimable returns, by worker, the capacity that cannot be reclaimed for the requester. It is held by jobs that run
// within their guarantee, that must not be stopped, or that are checkpointing for another reason than the requester, as
// in a drain that was cancelled.
func (c *Checker) unreclaimable(s *centreState, requester string) map[string]shape.Resources {
	held := make(map[string]shape.Resources)
	for _, job := range c.jobs {
		if !job.running || len(job.workers) == 0 || job.workers[0].centre != s.name {
			continue
		}
		pinned := !job.submit.Idempotent && job.submit.CheckpointEvery.Duration == 0
		saving := job.checkpointing && job.stopRequester != requester
		if job.slot < 0 && !pinned && !saving {
			continue
		}
		for _, w := range job.workers {
			have := held[w.name]
			have.Accelerators += job.submit.Accelerators
			have.Cores += job.submit.Cores
			have.MemoryGB += job.submit.MemoryGB
			held[w.name] = have
		}
	}
	return held
}

// fitCount returns how many members, up to limit, fit on a worker beside the capacity that is held.
func fitCount(need, size, held shape.Resources, limit int) int {
	n := limit
	for _, r := range []struct{ need, free int }{
		{need.Accelerators, size.Accelerators - held.Accelerators},
		{need.Cores, size.Cores - held.Cores},
		{need.MemoryGB, size.MemoryGB - held.MemoryGB},
	} {
		if r.free < 0 {
			return 0
		}
		if r.need > 0 {
			n = min(n, r.free/r.need)
		}
	}
	return n
}
