package term

import (
	"testing"

	"github.com/apex/log"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// Guards against withdrawn starts that the log does not explain: each change of a worker's capacity is logged once.
func TestChangeOfACapacityIsLogged(t *testing.T) {
	s := newStartOnOneWorker(t)
	var accelerators []any
	s.Log = event.NewLog(&log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
		accelerators = append(accelerators, e.Fields.Get("accelerators"))
		return nil
	})})
	for _, n := range []int{8, 2, 2, 8} {
		w := *s.engine.Worker("w")
		w.Capacity.Accelerators = n
		s.logListChanges([]group.WorkerInfo{w.WorkerInfo})
		s.listCapacity(n)
	}
	assert.DeepEqual(t, accelerators, []any{2, 8})
}
