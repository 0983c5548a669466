package sets

// settling is an end that was taken in, and how many changes of its job must be durable before the worker may forget it.
type settling struct {
	number  int64
	job     *Job
	changes int
}

// Settled returns the number up to which the worker may forget its ends, as their records are durable.
func (w *Worker) Settled() int64 {
	for len(w.unsettled) > 0 && w.unsettled[0].job.durable >= w.unsettled[0].changes {
		w.unsettled = w.unsettled[1:]
	}
	if len(w.unsettled) > 0 {
		return w.unsettled[0].number - 1
	}
	return w.Processed
}

// Settle returns the workers whose number has risen since the last call.
func (e *Engine) Settle() map[string]int64 {
	risen := make(map[string]int64)
	for w := range e.ending {
		number := w.Settled()
		if number > w.settled {
			w.settled = number
			risen[w.ID] = number
		}
		if number == w.Processed {
			delete(e.ending, w)
		}
	}
	return risen
}
