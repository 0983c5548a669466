package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// inheritSuspect loads a job that an earlier owner ran on w0-0 and suspected of a crash.
func (c *cluster) inheritSuspect() *group.Job {
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 2, Workers: []string{"w0-0"}, MayCrash: true}}}
	step := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute}
	return c.engine.Load(&work.Spec{Job: "suspect", Queue: batchQueue, Steps: []work.Step{step}}, record, 0, c.now, c.now)
}

// Guards against work lost beside a suspect: the owner is lost during its probation, and the successor places a task on its worker.
func TestInheritedSuspectStaysOnProbation(t *testing.T) {
	c := newCluster(t, 1, 1)
	job := c.inheritSuspect()
	c.running["w0-0"]["suspect.0.0.0"] = group.RunningEntry{Task: "suspect.0.0.0", Run: 2}
	c.pollAll()
	c.submit("other", planQueue, "beta", gang(1, 1))
	c.step()
	assert.Equal(t, len(c.workersOf("other")), 0)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, len(c.workersOf("other")), 1)
	assert.Assert(t, !job.Record.Groups[0].MayCrash, "it has run for longer than a deadly task would have")
}

// Guards against a suspect that keeps itself from its worker: its start was recorded by an earlier owner and never arrived.
func TestStartOfAnInheritedSuspectIsSentAgain(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.inheritSuspect()
	c.pollAll()
	c.step()
	assert.Equal(t, c.running["w0-0"]["suspect.0.0.0"].Run, 2)
}
