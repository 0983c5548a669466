package term_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// lines collects an instance's log as it is written.
type lines struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

// logLine is one line of the log.
type logLine struct {
	Message   string
	Timestamp time.Time
	Fields    map[string]any
}

// named returns the lines of one kind of event, and shows the last one.
func (l *lines) named(t *testing.T, kind event.Kind) (found []logLine) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	last := ""
	for text := range strings.Lines(l.out.String()) {
		var line logLine
		assert.NilError(t, json.Unmarshal([]byte(text), &line))
		if line.Message == kind.Name {
			found, last = append(found, line), text
		}
	}
	t.Log(last)
	return found
}

// lastNamed returns the last line of one kind of event.
func (l *lines) lastNamed(t *testing.T, kind event.Kind) map[string]any {
	t.Helper()
	found := l.named(t, kind)
	assert.Assert(t, len(found) > 0, "no %s", kind.Name)
	return found[len(found)-1].Fields
}

// captureLog lets the instances that are elected from now on log into the returned lines.
func (s *site) captureLog() *lines {
	l := &lines{}
	s.log = event.NewLog(&log.Logger{Handler: logjson.New(l), Level: log.InfoLevel})
	return l
}

// withoutWorker loses all calls to one worker.
type withoutWorker struct {
	agent.Client
	lost string
}

func (w withoutWorker) failure(to agent.Target) error {
	if to.Worker == w.lost {
		return &agent.LostError{Worker: to.Worker, Cause: errors.New("no route to host")}
	}
	return nil
}

func (w withoutWorker) Start(ctx context.Context, to agent.Target, start agent.Start) error {
	if err := w.failure(to); err != nil {
		return err
	}
	return w.Client.Start(ctx, to, start)
}

func (w withoutWorker) Stop(ctx context.Context, to agent.Target, stop agent.Stop) error {
	if err := w.failure(to); err != nil {
		return err
	}
	return w.Client.Stop(ctx, to, stop)
}

func (w withoutWorker) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	if err := w.failure(to); err != nil {
		return agent.PollResponse{}, err
	}
	return w.Client.Poll(ctx, to, poll)
}

// Guards against a log that doesn't say that a job stands since the change of owner, as its task ran on a worker that is lost: until
// when that task counts as alive, and for how long the leases of earlier owners count.
func TestLogNamesTheLostWorkerOfAnEarlierOwnersTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		stop := s.elect("a")
		s.submit()
		time.Sleep(time.Second)
		lost := s.agents.WorkerOf(task)
		assert.Assert(t, lost != "")
		stop()
		l := s.captureLog()
		s.electWith("b", withoutWorker{Client: s.agents, lost: lost}, nil)
		time.Sleep(4500 * time.Millisecond)
		loaded := l.lastNamed(t, event.TermLoaded)
		assert.Equal(t, loaded["inheritedTasks"], 1.0)
		assert.Equal(t, loaded["inheritedWorkers"], 1.0)
		// The longest lease, the margins for clocks and the time in which earlier owners extend leases.
		assert.Equal(t, loaded["inheritedFor"], "8.22s")
		stands := l.lastNamed(t, event.JobStands)
		assert.Equal(t, stands["job"], job)
		assert.Equal(t, stands["task"], task)
		assert.Equal(t, stands["state"], "held")
		assert.Equal(t, stands["worker"], lost)
		assert.Equal(t, stands["why"], "a lease of an earlier owner may not have expired")
		remaining, err := time.ParseDuration(stands["remaining"].(string))
		assert.NilError(t, err)
		assert.Assert(t, remaining > 3*time.Second && remaining < 5*time.Second, remaining)
		assert.Equal(t, stands["mayStart"], true)
		assert.Equal(t, stands["workers"], 2.0)
		assert.DeepEqual(t, stands["leftOut"], map[string]any{"silent": 1.0})
	})
}

// Guards against a planned run that waits for its record without a line that names the job.
func TestLogNamesTheJobWhoseRecordIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		l := s.captureLog()
		s.elect("a")
		time.Sleep(time.Second)
		s.store.SetOutcomes(func(operation string) fake.CallOutcome {
			if operation == "commit" {
				return fake.Down
			}
			return fake.Delivered
		})
		s.submit()
		time.Sleep(5 * time.Second)
		stands := l.lastNamed(t, event.JobStands)
		assert.Equal(t, stands["job"], job)
		assert.Equal(t, stands["state"], "planned")
	})
}

// Guards against a job that stands as the store does not accept its record, while its room looks used.
func TestLogNamesTheJobWhoseRecordIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		rejectRecordOf(s.store, job)
		l := s.captureLog()
		s.elect("a")
		s.submit()
		time.Sleep(6 * time.Second)
		stands := l.lastNamed(t, event.JobStands)
		assert.Equal(t, stands["job"], job)
		assert.Equal(t, stands["state"], "rejected")
	})
}

// Guards against a log that grows with the jobs that stand, and against a wait for room without a line that tells what is free.
func TestLogOfManyJobsWithoutRoomIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		l := s.captureLog()
		s.elect("a")
		for _, id := range []string{job, "00000000000000a1", "00000000000000b2"} {
			s.put(id, work.Step{Count: 1, MilliCores: 1000, Accelerators: 9})
		}
		time.Sleep(8500 * time.Millisecond)
		found := l.named(t, event.JobStands)
		assert.Assert(t, len(found) >= 5 && len(found) <= 6, "%d lines", len(found))
		for i, line := range found {
			assert.Assert(t, i == 0 || line.Timestamp.Sub(found[i-1].Timestamp) >= time.Second)
			assert.Equal(t, line.Fields["state"], "withoutRoom")
			assert.Equal(t, line.Fields["others"], 2.0)
			assert.Equal(t, line.Fields["open"], 2.0)
			assert.DeepEqual(t, line.Fields["free"], map[string]any{"accelerators": 16.0, "milliCores": 16000.0})
		}
	})
}

// Guards against an owner that starts nothing as it still loads, without a line that says so.
func TestLogNamesATermThatIsNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		l := s.captureLog()
		s.electOn("a", &slowReads{Transactor: s.store, takes: 870 * time.Millisecond}, s.agents, nil)
		time.Sleep(5 * time.Second)
		forbidden := l.named(t, event.StartsForbidden)
		assert.Equal(t, len(forbidden), 2)
		assert.DeepEqual(t, forbidden[0].Fields["by"], []any{"load"})
		assert.Equal(t, forbidden[0].Fields["lasted"], "500ms")
		assert.Equal(t, forbidden[1].Fields["lasted"], "1.5s")
		assert.Equal(t, len(l.named(t, event.StartsAllowed)), 1)
		assert.Equal(t, l.lastNamed(t, event.StartsAllowed)["lasted"], "1.8s")
	})
}
