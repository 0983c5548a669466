package group

import "time"

// Inheritance describes the runs of earlier owners that may be alive.
type Inheritance struct {
	Workers int
	Tasks   int
	// Longest is the time until the last of these tasks counts as dead if its worker does not answer.
	Longest time.Duration
}

// Inheritance counts the tasks of earlier owners whose workers have not been polled yet.
func (e *Engine) Inheritance(now time.Time) Inheritance {
	var in Inheritance
	for _, w := range e.sortedWorkers {
		tasks := 0
		for _, m := range w.members {
			if m.State == Inherited {
				tasks++
			}
		}
		if tasks == 0 {
			continue
		}
		until, _ := w.heldUntil()
		in.Workers, in.Tasks, in.Longest = in.Workers+1, in.Tasks+tasks, max(in.Longest, until.Sub(now))
	}
	return in
}
