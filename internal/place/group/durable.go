package group

// pendingExit is an exit that was applied, and how many changes of its job must be durable before the worker may forget it.
type pendingExit struct {
	exitNumber      int64
	job             *Job
	requiredChanges int
}

// durable reports whether no owner needs the exit any more: its record is durable, or the end of its job is.
func (p pendingExit) durable() bool {
	return p.job.endDurable || p.job.durableChanges >= p.requiredChanges
}

// DurableExit returns the number up to which the worker may forget its exits, as their records are durable.
func (w *Worker) DurableExit() int64 {
	for len(w.pendingExits) > 0 && w.pendingExits[0].durable() {
		w.pendingExits = w.pendingExits[1:]
	}
	if len(w.pendingExits) > 0 {
		return w.pendingExits[0].exitNumber - 1
	}
	return w.LastExit
}

// NewlyDurableExits returns, by worker ID, the results of DurableExit that have risen since the last call.
func (e *Engine) NewlyDurableExits() map[string]int64 {
	durable := make(map[string]int64)
	for w := range e.workersWithExits {
		number := w.DurableExit()
		if number > w.reportedDurable {
			w.reportedDurable = number
			durable[w.ID] = number
		}
		if number == w.LastExit {
			delete(e.workersWithExits, w)
		}
	}
	return durable
}
