package sets

// settling is an end that was taken in, and how many changes of its job must be durable before the worker may forget it.
type pendingExit struct {
	exitNumber      int64
	job             *Job
	requiredChanges int
}

// Settled returns the number up to which the worker may forget its ends, as their records are durable.
func (w *Worker) Settled() int64 {
	for len(w.pendingExits) > 0 && w.pendingExits[0].job.durableChanges >= w.pendingExits[0].requiredChanges {
		w.pendingExits = w.pendingExits[1:]
	}
	if len(w.pendingExits) > 0 {
		return w.pendingExits[0].exitNumber - 1
	}
	return w.Processed
}

// Settle returns the workers whose number has risen since the last call.
func (e *Engine) Settle() map[string]int64 {
	durable := make(map[string]int64)
	for w := range e.workersWithExits {
		number := w.Settled()
		if number > w.reportedDurable {
			w.reportedDurable = number
			durable[w.ID] = number
		}
		if number == w.Processed {
			delete(e.workersWithExits, w)
		}
	}
	return durable
}
