package sets

// stepOfTurn names one run of one step.
type occurrenceStep struct {
	occ  *occurrence
	step int
}

// allowances says how many more tasks of each step with a bound may be taken away from their work.
type disruptionBudgets map[occurrenceStep]int

// allowances counts what the bounds of the job's steps leave, less the tasks that are away for whatever cause.
func (j *Job) disruptionBudgets() disruptionBudgets {
	if !j.longRunning {
		return nil
	}
	budgets := make(disruptionBudgets)
	for _, g := range j.groups {
		limit := g.step().MaxAway
		if limit == 0 {
			continue
		}
		key := occurrenceStep{g.occ, g.Step}
		if _, known := budgets[key]; !known {
			budgets[key] = limit
		}
		if !g.available() {
			budgets[key] -= g.Count
		}
	}
	return budgets
}

// take reports whether the set may be stopped, and if so counts its tasks as away.
func (b disruptionBudgets) take(g *Group) bool {
	if g.step().MaxAway == 0 {
		return true
	}
	key := occurrenceStep{g.occ, g.Step}
	if !g.available() || b[key] < g.Count {
		return false
	}
	b[key] -= g.Count
	return true
}

// atWork reports whether all tasks of the set do their work: past their startup, and not being stopped.
func (g *Group) available() bool {
	if g.Run == nil || g.Run.stopReason != "" || !g.Run.brokenAt.IsZero() {
		return false
	}
	for _, m := range g.Run.Members {
		if m.State != Started || m.Percent < 100 {
			return false
		}
	}
	return true
}
