package owner_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"gotest.tools/v3/assert"
)

// removeRackOf offers the instances a revision of the configuration without the rack of the worker.
func (env *testEnv) removeRackOf(name string, instances ...*instance) {
	next := *env.doc
	next.Revision++
	next.DataCentres = []fleet.DataCentreSpec{env.doc.DataCentres[0]}
	next.DataCentres[0].Racks = slices.DeleteFunc(slices.Clone(next.DataCentres[0].Racks), func(r fleet.RackSpec) bool {
		return strings.HasPrefix(name, r.Name)
	})
	for _, i := range instances {
		i.conf.Offer(&next, config.FromStore, env.clock.now())
	}
}

// Guards against a second attempt while the first may run on, and of a job that must not run again: the owner is lost as the
// configuration removes the gang's workers, so the successor has no session with them.
func TestGangOnRemovedWorkersOutlivesItsOwner(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			size := shape.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}
			env.doc.DataCentres[0].Racks = []fleet.RackSpec{{Name: "plv-1", Workers: 2, Resources: size}, {Name: "plv-2", Workers: 2, Resources: size}}
			a, b := env.instance("a"), env.instance("b")
			spec := job("j", 2, "8s")
			if spec.Idempotent = idempotent; !idempotent {
				spec.CheckpointEvery = span.Duration{}
			}
			a.submit(spec)
			env.waitFor("running", func() bool { return len(env.startCounts()) == 2 }, a)
			first := a.record("j").Workers
			env.removeRackOf(first[0], b)
			a.paused = true
			a.holder.Abandon()
			if !idempotent {
				env.waitFor("ended", func() bool { return b.record("j").Phase == queue.Ended }, b)
				assert.Equal(t, b.record("j").Outcome, queue.Interrupted)
				assert.Equal(t, len(env.startCounts()), 2)
				return
			}
			env.waitFor("started again", func() bool { return len(env.startCounts()) == 4 }, b)
			for _, name := range first {
				response, err := env.workers.Sync(t.Context(), worker.Request{Worker: name, Epoch: 1 << 40})
				assert.NilError(t, err)
				for _, task := range response.Tasks {
					assert.Check(t, task.Phase.Ended(), "attempt %d is %s", task.Attempt, task.Phase)
				}
			}
			env.waitFor("finished", func() bool { return b.record("j").Outcome == queue.Finished }, b)
		})
	}
}

// Guards against a gang that is never stopped: the owner is lost as the configuration shrinks, so that the job would not fit.
func TestGangThatNoLongerFitsIsStoppedByANewOwner(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.instance("a"), env.instance("b")
	a.submit(job("j", 4, "1h"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 4 }, a)
	next := *env.doc
	next.Revision++
	next.DataCentres = []fleet.DataCentreSpec{env.doc.DataCentres[0]}
	next.DataCentres[0].Racks = slices.Clone(env.doc.DataCentres[0].Racks)
	next.DataCentres[0].Racks[0].Workers = 3
	b.conf.Offer(&next, config.FromStore, env.clock.now())
	a.paused = true
	a.holder.Abandon()
	env.waitFor("returned to the queue", func() bool { return b.record("j").Phase == queue.Waiting }, b)
}

// Guards against a job that neither ends nor runs again: a member fails on a worker that is no longer configured.
func TestGangThatFailedOnARemovedWorkerRunsAgain(t *testing.T) {
	env := newTestEnv(t)
	size := shape.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}
	env.doc.DataCentres[0].Racks = []fleet.RackSpec{{Name: "plv-1", Workers: 2, Resources: size}, {Name: "plv-2", Workers: 2, Resources: size}}
	for _, name := range []string{"plv-1/0", "plv-2/0"} {
		env.workers.SetFailing(name, true)
	}
	a, b := env.instance("a"), env.instance("b")
	a.submit(job("j", 2, "8s"))
	env.waitFor("started", func() bool { return len(env.startCounts()) == 2 }, a)
	for _, name := range []string{"plv-1/0", "plv-2/0"} {
		env.workers.SetFailing(name, false)
	}
	env.removeRackOf(a.record("j").Workers[0], b)
	a.paused = true
	a.holder.Abandon()
	env.waitFor("finished", func() bool { return b.record("j").Outcome == queue.Finished }, b)
	env.assertStartedOnce()
}
