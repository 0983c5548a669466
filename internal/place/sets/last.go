package sets

// stepOfTurn names one run of one step.
type stepOfTurn struct {
	turn *turn
	step int
}

// allowances says how many more tasks of each step with a bound may be taken away from their work.
type allowances map[stepOfTurn]int

// allowances counts what the bounds of the job's steps leave, less the tasks that are away for whatever cause.
func (j *Job) allowances() allowances {
	if !j.lasts {
		return nil
	}
	left := make(allowances)
	for _, s := range j.sets {
		most := s.step().MaxAway
		if most == 0 {
			continue
		}
		key := stepOfTurn{s.turn, s.Step}
		if _, known := left[key]; !known {
			left[key] = most
		}
		if !s.atWork() {
			left[key] -= s.Count
		}
	}
	return left
}

// take reports whether the set may be stopped, and if so counts its tasks as away.
func (a allowances) take(s *Set) bool {
	if s.step().MaxAway == 0 {
		return true
	}
	key := stepOfTurn{s.turn, s.Step}
	if !s.atWork() || a[key] < s.Count {
		return false
	}
	a[key] -= s.Count
	return true
}

// atWork reports whether all tasks of the set do their work: past their startup, and not being stopped.
func (s *Set) atWork() bool {
	if s.Run == nil || s.Run.stopping != "" || !s.Run.broken.IsZero() {
		return false
	}
	for _, m := range s.Run.Members {
		if m.State != Started || m.Percent < 100 {
			return false
		}
	}
	return true
}
