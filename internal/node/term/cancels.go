package term

import "time"

// cancelProof is as of when the owner knows all acknowledged cancels: a list of all jobs shows them, and so does a watch that goes on
// from a list without a gap.
type cancelProof struct {
	// knownAt is that time, resumedAt the revision up to which the watch may have missed changes since the last list; zero if it has not.
	knownAt   time.Time
	resumedAt int64
}

// listed records a list of all jobs as of the revision, which was requested at sent.
func (p *cancelProof) listed(asOf int64, sent time.Time) {
	if asOf >= p.resumedAt {
		p.resumedAt = 0
	}
	p.known(sent)
}

// resumed records that the watch goes on from a revision, as the changes before it are no longer available.
func (p *cancelProof) resumed(revision int64) { p.resumedAt = revision }

// watched records the answer to a watch that was requested at sent and was to wait if there is no change.
func (p *cancelProof) watched(changes int, sent time.Time, wait time.Duration, now time.Time) {
	if changes == 0 && now.Sub(sent) >= wait {
		sent = sent.Add(wait)
	}
	if p.resumedAt == 0 {
		p.known(sent)
	}
}

func (p *cancelProof) known(at time.Time) {
	if at.After(p.knownAt) {
		p.knownAt = at
	}
}

// cancelsUnknown reports whether the owner has not been able to learn of cancels for too long. The caller holds t.state.
func (t *term) cancelsUnknown(now time.Time) bool {
	return t.Limits.CancelAge > 0 && !t.cancels.knownAt.IsZero() && now.Sub(t.cancels.knownAt) > t.Limits.CancelAge
}
