package term

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// recordingAgent is a worker with one task, whose clock shows a minute; it keeps the deadline of the last poll.
type recordingAgent struct {
	agent.Client
	deadline time.Duration
}

func (a *recordingAgent) Poll(_ context.Context, _ agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	a.deadline = poll.Deadline
	running := []group.RunningEntry{{Task: "0000000000000001.0.0.0", Run: 1}}
	return agent.PollResponse{Listing: group.Listing{Incarnation: 1, Running: running}, Clock: time.Minute}, nil
}

// Guards against tasks that wait ten seconds for the lease of a worker that is lost for good, because the installation allows
// leases of that length.
func TestTasksOfALostWorkerWaitNoLongerThanAStoreOutageRequires(t *testing.T) {
	tm, _ := termWithInheritedRun(t, agent.Invalid)
	worker := &recordingAgent{}
	tm.Agent = worker
	s := tm.sessions["w"]
	s.poll(t.Context())
	s.poll(t.Context())
	assert.Equal(t, worker.deadline, time.Minute+6*time.Second)
}

func TestLeasesStayWithinWhatTheInstallationAllows(t *testing.T) {
	tm, _ := termWithInheritedRun(t, agent.Invalid)
	tm.Limits.MaxLease = 3 * time.Second
	worker := &recordingAgent{}
	tm.Agent = worker
	s := tm.sessions["w"]
	s.poll(t.Context())
	s.poll(t.Context())
	assert.Equal(t, worker.deadline, time.Minute+3*time.Second)
}

// Guards against a successor that counts a lease of an earlier release as expired too early.
func TestInheritedLeasesMayBeAsLongAsTheInstallationAllows(t *testing.T) {
	tm, w := termWithInheritedRun(t, agent.Invalid)
	assert.Equal(t, w.HeldUntil(), tm.Now().Add(2*time.Second+worstCaseLease(10*time.Second)))
}
