package term

import (
	"context"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// leftoverKeys returns the keys of records whose jobs have no spec: these are deleted, as a job has its spec before its record.
func leftoverKeys(records, specs []store.Item) (keys []string) {
	known := make(map[string]bool, len(specs))
	for _, item := range specs {
		job, _ := work.ParseSpecKey(item.Key)
		known[job] = true
	}
	for _, item := range records {
		if job, _, _ := work.ParseRecordKey(item.Key); !known[job] {
			keys = append(keys, item.Key)
		}
	}
	return keys
}

// deleteLeftovers deletes the keys that are left of deleted jobs.
func (t *term) deleteLeftovers(ctx context.Context) {
	keys := t.leftovers
	for len(keys) > 0 && ctx.Err() == nil {
		n := min(len(keys), t.Limits.entries()-1)
		tx := store.Transaction{Expected: []store.Expectation{{Key: work.OwnerKey, Revision: t.token}}, Deletes: keys[:n]}
		call, done := context.WithTimeout(ctx, storeTimeout)
		_, err := t.Store.Commit(call, tx)
		done()
		if err != nil {
			t.Log.Emit(event.StoreLost, event.Fields{"call": "delete", "error": err.Error()})
			pause.For(ctx, t.jitter(storeRetryDelay))
			continue
		}
		keys = keys[n:]
	}
}
