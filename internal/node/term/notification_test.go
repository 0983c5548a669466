package term

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/notify"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against late quick jobs while the store takes a third of a second to answer, so that its watch shows them too late.
// The instance that accepted the job notifies the owner, which loads it once, and no job from before its term.
func TestNotifiedJobIsLoadedOnceAndOnlyIfNewerThanTheTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	term := termWithChanges(0, now)
	term.WallNow = func() time.Time { return now }
	spec := work.Spec{Queue: "plan", Steps: []work.Step{{Count: 1}}, Accepted: now}
	data, err := spec.Encode()
	assert.NilError(t, err)
	job := &notify.Job{ID: "5c0e7a21d94b36f8", Spec: data, Revision: 7}
	assert.Assert(t, !term.loadAccepted(job), "the term has not loaded its records yet")
	term.loadedRevision = 7
	assert.Assert(t, !term.loadAccepted(job), "the job would have been loaded")
	term.loadedRevision = 6
	assert.Assert(t, term.loadAccepted(job))
	assert.Assert(t, term.loadAccepted(job))
	assert.Equal(t, term.engine.OpenJobs(), 1)
}
