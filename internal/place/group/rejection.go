package group

import "time"

const (
	// firstRejectionDelay is the delay before a rejected update is written again. It doubles with each rejection, up to
	// maxRejectionDelay: only a change of the job or of the store helps.
	firstRejectionDelay = 250 * time.Millisecond
	maxRejectionDelay   = 8 * time.Second
)

// Rejected records that the store does not accept an update, and returns the delay until Updates returns the change again. The end
// of the job comes at once. Once the end is durable, changes that are rejected are dropped, as no owner needs them.
func (e *Engine) Rejected(u Update, now time.Time) time.Duration {
	j := e.jobs[u.Job]
	if j == nil {
		return 0
	}
	if j.endDurable && !u.Delete {
		j.inFlight = false
		return 0
	}
	e.Uncommitted(u)
	delay := firstRejectionDelay
	for n := 0; n < j.rejections && delay < maxRejectionDelay; n++ {
		delay *= 2
	}
	j.rejections++
	if u.Delete || u.Record.Phase == j.Record.Phase {
		j.rejectedUntil = now.Add(delay)
	}
	return delay
}
