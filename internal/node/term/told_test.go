package term

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/tell"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// The pattern: the store takes a third of a second to answer, so its watch shows a job only when a quick one is nearly late.
// The instance that accepted the job tells the owner, which takes it in once, and nothing from before its term.
func TestToldJobIsTakenInOnceAndOnlyIfItIsNewerThanTheTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	term := changing(0, now)
	term.WallNow = func() time.Time { return now }
	spec := work.Spec{Queue: "plan", Steps: []work.Step{{Count: 1}}, Accepted: now}
	data, err := spec.Encode()
	assert.NilError(t, err)
	job := &tell.Job{ID: "5c0e7a21d94b36f8", Spec: data, Revision: 7}
	assert.Assert(t, !term.told(job), "the term has not loaded its records yet")
	term.loadedAsOf = 7
	assert.Assert(t, !term.told(job), "the job would have been loaded")
	term.loadedAsOf = 6
	assert.Assert(t, term.told(job))
	assert.Assert(t, term.told(job))
	assert.Equal(t, term.engine.Open(), 1)
}
