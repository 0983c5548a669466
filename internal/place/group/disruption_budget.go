package group

import "time"

// occurrenceStep identifies one step of one occurrence.
type occurrenceStep struct {
	occ  *occurrence
	step int
}

// disruptionBudgets holds how many more tasks of each step with a MaxUnavailable limit may be stopped.
type disruptionBudgets map[occurrenceStep]int

// disruptionBudgets returns the MaxUnavailable limits of the job's steps less the tasks that are unavailable for any reason.
func (j *Job) disruptionBudgets(now time.Time) disruptionBudgets {
	if !j.longRunning {
		return nil
	}
	budgets := make(disruptionBudgets)
	for _, g := range j.groups {
		limit := g.step().MaxUnavailable
		if limit == 0 {
			continue
		}
		key := occurrenceStep{g.occ, g.Step}
		if _, known := budgets[key]; !known {
			budgets[key] = limit
		}
		if !g.available(now) {
			budgets[key] -= g.Count
		}
	}
	return budgets
}

// deduct reports whether the task group may be stopped and, if so, deducts its tasks from the budget.
func (b disruptionBudgets) deduct(g *Group, now time.Time) bool {
	if g.step().MaxUnavailable == 0 {
		return true
	}
	key := occurrenceStep{g.occ, g.Step}
	if !g.available(now) || b[key] < g.Count {
		return false
	}
	b[key] -= g.Count
	return true
}

// available reports whether all tasks of the group are past their startup (100 percent) and none is being stopped, as far as is
// known: an earlier owner's stop may take effect until the member's settledAt.
func (g *Group) available(now time.Time) bool {
	if g.Run == nil || g.Run.stopReason != "" || g.Run.broken() {
		return false
	}
	for _, m := range g.Run.Members {
		if m.State != Started || m.Percent < 100 || now.Before(m.settledAt) {
			return false
		}
	}
	return true
}
