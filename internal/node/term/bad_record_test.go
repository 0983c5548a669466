package term_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against a second run of a job whose record can't be read, as one of a later release: it may be done.
func TestJobWithAnUnreadableRecordIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.submit()
		s.store.Put(work.RecordKey(job), []byte(`{"phase":"archived"}`))
		s.elect("a")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !s.running())
		item, err := s.store.Item(t.Context(), work.RecordKey(job))
		assert.NilError(t, err)
		assert.Equal(t, string(item.Data), `{"phase":"archived"}`)
	})
}
