package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// account is a workspace with what it has running, which must stay within its cap.
type account struct {
	Workspace
	// used is the room of all members that may be alive, from the plan of their run on.
	used Resources
	// reserved is the room that is reserved for task groups.
	reserved Resources
	// unrecorded is the room of runs that workers list and no record has, and of starts that were given up without an answer.
	unrecorded Resources
	// stopping is the part of used that belongs to runs which were ordered to stop, as of the decision.
	stopping Resources
	// claims are the task groups for which room below the cap is kept.
	claims []claim
	// aboveShare is true in a decision if the workspace uses more than its share while others wait.
	aboveShare bool
}

// claim keeps room below a cap for a task group.
type claim struct {
	group *Group
	// until is when the claim ends of a task group for which other runs were stopped; zero for one that waits for runs to end.
	until time.Time
}

// account returns the account of the workspace.
func (e *Engine) account(workspace string) *account {
	a := e.accounts[workspace]
	if a == nil {
		a = &account{Workspace: Workspace{Name: workspace}}
		e.accounts[workspace] = a
	}
	return a
}

// setWorkspaces replaces the workspaces. One that is missing keeps its last cap, which its accepted jobs still need, and loses its
// guarantee and its weight.
func (e *Engine) setWorkspaces(list []Workspace) {
	for _, a := range e.accounts {
		a.Guaranteed, a.Weight = 0, 0
	}
	for _, ws := range list {
		e.account(ws.Name).Workspace = ws
	}
	e.capped = false
	for _, a := range e.accounts {
		e.capped = e.capped || a.Cap != Resources{}
	}
}

// Capped reports whether any workspace has a cap.
func (e *Engine) Capped() bool { return e.capped }

// adoptCap applies the cap with which the job was accepted if this owner has seen no configuration of its workspace.
func (e *Engine) adoptCap(j *Job) {
	c := j.Spec.Config
	if c == nil || c.Cap == nil || e.accounts[j.Spec.Workspace] != nil {
		return
	}
	e.account(j.Spec.Workspace).Cap = Resources{MilliCores: c.Cap.MilliCores, MemoryMB: c.Cap.MemoryMB, Accelerators: c.Cap.Accelerators}
	e.capped = true
}

// AboveCap returns why a workspace with the cap could never run the job, or an empty string: a task or a gang needs more than the cap.
func AboveCap(spec *work.Spec, limit Resources) string {
	for i := range spec.Steps {
		step := &spec.Steps[i]
		need, tasks := Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}, 1
		if step.Gang {
			tasks = step.Count
		}
		if total := need.Times(tasks); !total.within(limit) {
			return fmt.Sprintf("step %d needs %+v at once, and its workspace may have %+v running", i, total, limit)
		}
	}
	return ""
}

// within reports whether r is within the cap, whose zero fields are no limits.
func (r Resources) within(limit Resources) bool {
	return (limit.MilliCores == 0 || r.MilliCores <= limit.MilliCores) && (limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// promised is the room of all that runs, may run or is reserved.
func (a *account) promised() Resources { return a.used.Add(a.unrecorded).Add(a.reserved) }

// exceeded reports whether the workspace may have more running than its cap.
func (a *account) exceeded() bool { return !a.used.Add(a.unrecorded).within(a.Cap) }

// allows reports whether the workspace may run the task group beside all that it has.
func (a *account) allows(g *Group) bool {
	total := a.promised().Add(g.totalNeed())
	if !total.within(a.Cap) {
		return false
	}
	belowHalf := total.within(a.Cap.half())
	for _, c := range a.claims {
		if c.binds(g, belowHalf) {
			total = total.Add(c.group.totalNeed())
		}
	}
	return total.within(a.Cap)
}

// binds reports whether the task group must leave the room of the claim; belowHalf is true if its workspace uses less than half of its
// cap with it. There each of the workspace's jobs must get to run, unless runs were stopped for the claim.
func (c claim) binds(g *Group, belowHalf bool) bool {
	if c.group == g || g.Job.tier < c.group.Job.tier {
		return false
	}
	return !c.until.IsZero() || !belowHalf && !g.step().LongRunning
}

// ended reports whether the task group of the claim no longer waits for its room.
func (c claim) ended(now time.Time) bool {
	g := c.group
	return g.Run != nil || g.reservation != nil || g.record().Done || g.Job.Cancelled || g.Job.Record.Phase.Final() || !c.until.IsZero() && now.After(c.until)
}

// half returns half of a cap; a field without a limit stays without one.
func (r Resources) half() Resources {
	halve := func(n int) int {
		if n == 0 {
			return 0
		}
		return max(n/2, 1)
	}
	return Resources{halve(r.MilliCores), halve(r.MemoryMB), halve(r.Accelerators)}
}

// refreshAccounts determines for one decision what the workspaces run beside the members, and what of it is being stopped.
func (e *Engine) refreshAccounts(now time.Time) {
	if !e.capped {
		return
	}
	for _, a := range e.accounts {
		a.unrecorded, a.stopping = Resources{}, Resources{}
		a.claims = slices.DeleteFunc(a.claims, func(c claim) bool { return c.ended(now) })
	}
	for _, w := range e.sortedWorkers {
		for key := range w.orphans {
			if !w.abandoned[key] {
				e.addUnrecorded(key.task)
			}
		}
		for key := range w.abandoned {
			e.addUnrecorded(key.task)
		}
		for _, m := range w.members {
			if m.Run.stopReason != "" {
				a := m.Run.Group.Job.account
				a.stopping = a.stopping.Add(m.Run.Group.taskNeed())
			}
		}
	}
}

// addUnrecorded adds a task without a member to the account of its job. The jobs of tasks that may still run are loaded, as jobs are
// kept for Config.Retention after their end.
func (e *Engine) addUnrecorded(task string) {
	if g := e.groupOf(task); g != nil {
		a := g.Job.account
		a.unrecorded = a.unrecorded.Add(g.taskNeed())
	}
}

// withdrawCapped withdraws runs whose starts were not sent, the least urgent and then the last planned first, from workspaces whose cap
// was lowered or whose earlier owner has recorded more than fits below it.
func (e *Engine) withdrawCapped(now time.Time) {
	if !e.capped {
		return
	}
	var unsent []*Member
	for _, w := range e.sortedWorkers {
		for _, m := range w.sortedMembers() {
			if m.unsent() && m.Run.Group.Job.account.exceeded() {
				unsent = append(unsent, m)
			}
		}
	}
	sortLeastUrgentFirst(unsent)
	for _, m := range unsent {
		if m.State != Ended && m.Run.Group.Job.account.exceeded() {
			e.stopRun(m.Run, WorkspaceCapped, "its workspace has more running than its cap", now)
		}
	}
}

// heldByCap reports whether the cap of its workspace keeps the task group from starting. It records why, keeps room below the cap for the
// largest one that has waited for backfillDelay, which small ones would overtake again and again, and makes quick work take the place
// of other work of its own workspace.
func (e *Engine) heldByCap(g *Group, p *pass, now time.Time) bool {
	a := g.Job.account
	if a.Cap == (Resources{}) || a.allows(g) {
		return false
	}
	if g.Job.queue.Priority == 0 && e.mayPreempt(g, now) && !now.Before(g.nextCapPreemptionAt) && !now.Before(g.nextPreemptionAt) {
		g.nextPreemptionAt = now.Add(g.preemptionRetryDelay())
		e.preemptBelowCap(g, p, now)
	}
	if now.Sub(g.readyAt) > backfillDelay {
		a.claimRoom(g)
	}
	if g.Job.Waiting == "" {
		g.Job.Waiting = fmt.Sprintf("step %d: %d tasks need %+v, workspace %q has %+v and may have %+v", g.Step, g.Count, g.totalNeed(), a.Name, a.promised(), a.Cap)
		e.emit(Decision{Kind: JobWaits, Job: g.Job.ID(), Task: g.taskName(0), Cause: WorkspaceCapped, Text: g.Job.Waiting})
	}
	return true
}

// claimRoom keeps room for the task group unless it is kept for a larger one that waits for runs to end.
func (a *account) claimRoom(g *Group) {
	if !g.totalNeed().within(a.Cap) || slices.ContainsFunc(a.claims, func(c claim) bool { return c.group == g }) {
		return
	}
	at := slices.IndexFunc(a.claims, func(c claim) bool { return c.until.IsZero() })
	switch {
	case at < 0:
		a.claims = append(a.claims, claim{group: g})
	case g.totalNeed().Cores() > a.claims[at].group.totalNeed().Cores():
		a.claims[at].group = g
	}
}

// preemptBelowCap stops runs of the quick task group's own workspace until it fits below the cap, if the work that is lost is worth it. Runs
// of other workspaces would not help.
func (e *Engine) preemptBelowCap(g *Group, p *pass, now time.Time) {
	a := g.Job.account
	// Room that is being freed already counts as free, unless runs were stopped for another task group.
	total := a.promised().Sub(a.stopping).Add(g.totalNeed())
	for _, c := range a.claims {
		if c.group != g && !c.until.IsZero() {
			total = total.Add(c.group.totalNeed())
		}
	}
	var chosen []victim
	wasted := 0.0
	for _, v := range e.candidates(g, p, now).all {
		if total.within(a.Cap) {
			break
		}
		if v.run.Group.Job.account != a || v.run.Group.Job == g.Job || v.run.stopReason != "" || !reduces(v.run.Group.taskNeed(), total, a.Cap) {
			continue
		}
		chosen = append(chosen, v)
		wasted += v.wastedCoreSeconds
		total = total.Sub(v.run.Group.taskNeed().Times(v.run.aliveMembers))
	}
	if !total.within(a.Cap) || !g.Job.withinGuarantee && wasted > maxWasteRatio*g.step().Estimate.Seconds()*g.totalNeed().Cores() {
		return
	}
	for _, v := range chosen {
		e.stopRunFor(g.Job.ID(), v.run, Preempted, "preempted by "+g.Job.ID()+" below the cap of their workspace", now)
		a.stopping = a.stopping.Add(v.run.Group.taskNeed().Times(v.run.aliveMembers))
	}
	if len(chosen) > 0 {
		until := now.Add(e.cfg.StopTimeout + reservationSlack)
		a.claims = append(slices.DeleteFunc(a.claims, func(c claim) bool { return c.group == g }), claim{group: g, until: until})
		g.nextCapPreemptionAt = until
	}
}

// reduces reports whether an end of a task with the need would reduce an excess of the total over the cap.
func reduces(need, total, limit Resources) bool {
	return limit.MilliCores > 0 && total.MilliCores > limit.MilliCores && need.MilliCores > 0 ||
		limit.MemoryMB > 0 && total.MemoryMB > limit.MemoryMB && need.MemoryMB > 0 ||
		limit.Accelerators > 0 && total.Accelerators > limit.Accelerators && need.Accelerators > 0
}

// refreshShares determines for one decision which workspaces use more than their share while others wait: weighted dominant-resource
// fairness, in two classes, so that within a class the most urgent job still comes first.
func (e *Engine) refreshShares() {
	var capacity Resources
	for _, u := range e.usages {
		capacity = capacity.Add(u.capacity)
	}
	weights := 0.0
	active := make(map[*account]bool)
	for _, j := range e.openJobs {
		if a := j.account; !j.Record.Phase.Final() && !active[a] {
			active[a] = true
			weights += a.Weight
		}
	}
	for _, a := range e.accounts {
		a.aboveShare = a.Weight > 0 && e.roomWaiters > 0 && a.used.dominantShare(capacity) > a.Weight/weights
	}
}

// dominantShare returns the largest share that r takes of any kind of resource.
func (r Resources) dominantShare(capacity Resources) float64 {
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	return max(share(r.MilliCores, capacity.MilliCores), share(r.MemoryMB, capacity.MemoryMB), share(r.Accelerators, capacity.Accelerators))
}

// Usage is what a workspace has running, and what it may have.
type Usage struct {
	Workspace string    `json:"workspace"`
	Used      Resources `json:"used"`
	Reserved  Resources `json:"reserved"`
	// Unrecorded is what may run without being on record.
	Unrecorded Resources `json:"unrecorded"`
	Cap        Resources `json:"cap"`
	AboveShare bool      `json:"aboveShare"`
}

// Usages returns the usage of each workspace that has a cap, a weight or work, by name.
func (e *Engine) Usages() []Usage {
	var list []Usage
	for _, a := range e.accounts {
		if a.Cap == (Resources{}) && a.Weight == 0 && a.used == (Resources{}) {
			continue
		}
		list = append(list, Usage{Workspace: a.Name, Used: a.used, Reserved: a.reserved, Unrecorded: a.unrecorded, Cap: a.Cap, AboveShare: a.aboveShare})
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}
