package check

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// reviewClaims looks at every entitled job that waits: has it waited too long while its data centres could hold it?
func (c *Checker) reviewClaims(now time.Duration) {
	for _, sp := range c.spaces {
		for i := range sp.slots {
			job := sp.slots[i].job
			if job == nil || !job.waits() {
				continue
			}
			if !c.couldHold(sp, job) {
				job.asked = now
				continue
			}
			if now-job.asked > job.takes+reclaimGrace && !job.reclaimed {
				job.reclaimed = true
				c.violate(Entry{At: now, Job: job.submit.Job}, GuaranteeDenied, "entitled and placeable since %s; its victims needed %s", job.asked, job.takes)
			}
		}
	}
}

// couldHold reports whether an open data centre has room for the job if all that may be stopped were stopped.
func (c *Checker) couldHold(sp *space, job *state) bool {
	for _, s := range c.sites {
		if !s.open() || (len(sp.allowed) > 0 && !sp.allowed[s.name]) {
			continue
		}
		if c.fitsIn(s, job) {
			return true
		}
	}
	return false
}

func (c *Checker) fitsIn(s *site, job *state) bool {
	held := c.heldFast(s, job.submit.Job)
	units := make(map[string]int)
	for _, m := range s.machines {
		if m.down {
			continue
		}
		key := unitOf(m, job.submit.Within)
		units[key] += count(job.submit.Resources, m.size, held[m.name], job.submit.Members)
		if units[key] >= job.submit.Members {
			return true
		}
	}
	return false
}

func unitOf(m *machine, within shape.Within) string {
	switch within {
	case shape.Worker:
		return m.name
	case shape.Rack:
		return m.rack
	default:
		return m.centre
	}
}

// heldFast is what can't be taken away: jobs that run by a promise, may not be stopped,
// or are saving their progress for another cause than the claimant, as in a drain that was called off.
func (c *Checker) heldFast(s *site, claimant string) map[string]shape.Resources {
	held := make(map[string]shape.Resources)
	for _, job := range c.jobs {
		if !job.running || len(job.on) == 0 || job.on[0].centre != s.name {
			continue
		}
		pinned := !job.submit.Idempotent && job.submit.CheckpointEvery.Duration == 0
		saving := job.saving && job.stopFor != claimant
		if job.promise < 0 && !pinned && !saving {
			continue
		}
		for _, m := range job.on {
			have := held[m.name]
			have.Accelerators += job.submit.Accelerators
			have.Cores += job.submit.Cores
			have.MemoryGB += job.submit.MemoryGB
			held[m.name] = have
		}
	}
	return held
}

// count is how many members fit beside what is held.
func count(need, size, held shape.Resources, most int) int {
	n := most
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
