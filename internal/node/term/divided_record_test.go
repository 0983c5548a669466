package term_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// checkpointingAgents list each running task with progress and a checkpoint of the given size, which begins with the task's name.
// They note the checkpoints with which tasks start.
type checkpointingAgents struct {
	*fake.Agents
	bytes atomic.Int64
	// foreign counts the starts from a checkpoint of another task, resumed those from one of the task.
	foreign atomic.Int64
	resumed atomic.Int64
	polls   atomic.Int64
}

func newCheckpointingAgents(agents *fake.Agents, bytes int64) *checkpointingAgents {
	a := &checkpointingAgents{Agents: agents}
	a.bytes.Store(bytes)
	return a
}

func (a *checkpointingAgents) checkpoint(task string) string {
	return task + strings.Repeat(" ", int(a.bytes.Load())-len(task))
}

func (a *checkpointingAgents) Start(ctx context.Context, to agent.Target, start agent.Start) error {
	switch {
	case start.Checkpoint == "":
	case strings.HasPrefix(start.Checkpoint, start.Task+" "):
		a.resumed.Add(1)
	default:
		a.foreign.Add(1)
	}
	return a.Agents.Start(ctx, to, start)
}

func (a *checkpointingAgents) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	answer, err := a.Agents.Poll(ctx, to, poll)
	percent := int(a.polls.Add(1) % 90)
	for i := range answer.Running {
		answer.Running[i].Percent = percent
		answer.Running[i].Checkpoint = a.checkpoint(answer.Running[i].Task)
	}
	return answer, err
}

// checkpointing is a step of tasks with checkpoints, all of which fit on the workers at once.
func checkpointing(count int) work.Step {
	return work.Step{Count: count, MilliCores: 1, Estimate: time.Second, Checkpoints: true}
}

// taskOf returns the name of the task with the index in the first step of the job.
func taskOf(id string, index int) string { return fmt.Sprintf("%s.0.0.%d", id, index) }

// exitAll lets all tasks of the job's first step end as done.
func (s *site) exitAll(id string, count int) {
	s.t.Helper()
	for n := range count {
		assert.Assert(s.t, s.agents.ExitTask(taskOf(id, n), group.Done), "task %d does not run", n)
	}
}

// keysBelow returns the keys below the prefix.
func (s *site) keysBelow(prefix string) (keys []string) {
	s.t.Helper()
	items, _, err := s.store.Range(s.t.Context(), prefix)
	assert.NilError(s.t, err)
	for _, item := range items {
		keys = append(keys, item.Key)
	}
	return keys
}

func (s *site) phase(id string) work.Phase {
	s.t.Helper()
	item, err := s.store.Item(s.t.Context(), work.RecordKey(id))
	assert.NilError(s.t, err)
	record, err := work.DecodeRecord(item.Data)
	assert.NilError(s.t, err)
	return record.Phase
}

// Guards against a record that outgrows a value of the store (review/2): all tasks of a job are alive at once with the longest
// checkpoints, and each change is one of hundreds.
func TestRecordOfALargeJobStaysWithinTheLimits(t *testing.T) {
	for _, limits := range []struct{ valueBytes, entries int }{{1 << 20, 32}, {16 << 10, 32}, {10 << 10, 4}} {
		t.Run(fmt.Sprint(limits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const tasks = 300
				s := newSite(t)
				s.limit(limits.valueBytes, limits.entries)
				agents := newCheckpointingAgents(s.agents, work.MaxCheckpointBytes)
				s.put(job, checkpointing(tasks))
				stop := s.electWith("a", agents, nil)
				time.Sleep(3 * time.Second)
				for n := range 20 {
					assert.Assert(t, s.agents.ExitTask(taskOf(job, n), group.Failed))
				}
				time.Sleep(5 * time.Second)
				assert.Assert(t, agents.resumed.Load() >= 20)
				stop()

				s.electWith("b", agents, nil)
				time.Sleep(5 * time.Second)
				s.put("00000000000000b2", work.Step{Count: 1, MilliCores: 1})
				time.Sleep(time.Second)
				assert.Assert(t, s.agents.WorkerOf(taskOf("00000000000000b2", 0)) != "", "another job starts")
				s.exitAll(job, tasks)
				time.Sleep(30 * time.Second)
				assert.Equal(t, s.phase(job), work.Completed)
				assert.Equal(t, s.agents.UnacknowledgedExits(), 0)
				assert.Equal(t, s.agents.OverlappingStarts, 0)
				assert.Equal(t, agents.foreign.Load(), int64(0))
				for n := 20; n < tasks; n++ {
					assert.Equal(t, s.agents.Starts[taskOf(job, n)], 1, "task %d", n)
				}
				time.Sleep(time.Minute)
				assert.DeepEqual(t, s.keysBelow(work.RecordKey(job)), []string(nil))
				assert.DeepEqual(t, s.keysBelow(work.SpecKey(job)), []string(nil))
			})
		})
	}
}

// Guards against a job that can't be cancelled (review/2): the store rejects a part of its record for good.
func TestJobWithARejectedPartIsCancelledInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 100
		s := newSite(t)
		s.valueBytes = 4 << 10
		agents := newCheckpointingAgents(s.agents, 1300)
		s.put(job, checkpointing(tasks))
		stop := s.electWith("a", agents, nil)
		time.Sleep(3 * time.Second)
		s.store.SetAccepted(func(tx store.Transaction) bool {
			return !slices.ContainsFunc(tx.Writes, func(w store.Write) bool { return strings.HasPrefix(w.Key, work.RecordKey(job)+"/") })
		})
		assert.Assert(t, s.agents.ExitTask(taskOf(job, 1), group.Failed))
		time.Sleep(20 * time.Second)
		s.store.Put(work.CancelKey(job), nil)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, s.phase(job), work.Cancelled)
		for n := range tasks {
			assert.Equal(t, s.agents.WorkerOf(taskOf(job, n)), "", "task %d runs on", n)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, s.agents.UnacknowledgedExits(), 0)
		stop()
	})
}

// failingStore is the store of an instance whose commits fail as told, counted from zero.
type failingStore struct {
	store.Transactor
	commits atomic.Int64
	fails   func(commit int) error
}

func (f *failingStore) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	if err := f.fails(int(f.commits.Add(1)) - 1); err != nil {
		return 0, err
	}
	return f.Transactor.Commit(ctx, tx)
}

// playHandover lets an owner whose commits fail as told divide the record of a job, and then its parts, as the checkpoints grow. Each
// transaction holds one part at most. The next owner has to take the job over.
func playHandover(t *testing.T, fails func(commit int) error) {
	const tasks = 12
	s := newSite(t)
	s.limit(3000, 4)
	agents := newCheckpointingAgents(s.agents, 250)
	s.put(job, checkpointing(tasks), work.Step{Count: 2, MilliCores: 1, After: []int{0}})
	stop := s.electOn("a", &failingStore{Transactor: s.store, fails: fails}, agents, nil)
	time.Sleep(2 * time.Second)
	exit := func(status group.ExitStatus, from, to int) {
		for n := from; n < to; n++ {
			s.agents.ExitTask(taskOf(job, n), status)
		}
	}
	exit(group.Failed, 0, 3)
	time.Sleep(8 * time.Second)
	agents.bytes.Store(900)
	time.Sleep(time.Second)
	exit(group.Failed, 3, 5)
	time.Sleep(8 * time.Second)
	exit(group.Done, 2, tasks)
	time.Sleep(time.Second)
	stop()
	for _, lease := range s.leases() {
		s.store.ExpireLease(lease)
	}
	s.electWith("b", agents, nil)
	time.Sleep(20 * time.Second)
	exit(group.Done, 0, tasks)
	time.Sleep(20 * time.Second)
	for n := range 2 {
		assert.Assert(t, s.agents.ExitTask(fmt.Sprintf("%s.0.1.%d", job, n), group.Done), "step 1 does not run")
	}
	time.Sleep(5 * time.Second)
	assert.Equal(t, s.phase(job), work.Completed)
	assert.Equal(t, s.agents.OverlappingStarts, 0)
	assert.Equal(t, agents.foreign.Load(), int64(0))
	assert.Equal(t, s.agents.UnacknowledgedExits(), 0)
}

// handoverCommits is more than the number of commits of the first owner in playHandover.
const handoverCommits = 60

// Guards against a next owner that reads a record of which a part was written and others were not: the owner is cut off from the
// store after each number of its commits.
func TestNextOwnerTakesOverARecordThatIsPartlyWritten(t *testing.T) {
	for last := range handoverCommits {
		t.Run(fmt.Sprint(last), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				playHandover(t, func(commit int) error {
					if commit > last {
						return &store.LostError{Cause: "cut off"}
					}
					return nil
				})
			})
		})
	}
}

// Guards against a division of which a part is forgotten when a commit fails and is tried again: the next owner finds what was written
// until shortly after.
func TestDivisionIsCompleteAfterACommitFailed(t *testing.T) {
	const until = 4
	for failing := range 2 * handoverCommits / 3 {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				playHandover(t, func(commit int) error {
					switch {
					case commit == failing:
						return &store.UnavailableError{Cause: "down"}
					case commit > failing+until:
						return &store.LostError{Cause: "cut off"}
					default:
						return nil
					}
				})
			})
		})
	}
}

// leases returns the leases to which keys are bound.
func (s *site) leases() (leases []int64) {
	s.t.Helper()
	items, _, err := s.store.Range(s.t.Context(), "")
	assert.NilError(s.t, err)
	for _, item := range items {
		if item.Lease != 0 {
			leases = append(leases, item.Lease)
		}
	}
	return leases
}

// runningRecord returns a record of a job whose tasks, each a group, run on a worker with the agents.
func (s *site) runningRecord(id string, tasks int) *work.Record {
	s.t.Helper()
	record := &work.Record{Phase: work.Running}
	for n := range tasks {
		worker := fmt.Sprintf("w%d", n%2+1)
		record.Groups = append(record.Groups, work.GroupRecord{Run: 1, Workers: []string{worker}, Checkpoint: strings.Repeat("<", 60)})
		assert.NilError(s.t, s.agents.Start(s.t.Context(), agent.Target{Worker: worker}, agent.Start{Task: taskOf(id, n), Run: 1}))
	}
	return record
}

func (s *site) putRecord(id string, record *work.Record) {
	s.t.Helper()
	data, err := record.Encode()
	assert.NilError(s.t, err)
	s.store.Put(work.RecordKey(id), data)
}

func (s *site) putPart(id string, part *work.Part) {
	s.t.Helper()
	data, err := part.Encode()
	assert.NilError(s.t, err)
	s.store.Put(work.PartKey(id, part.First), data)
}

// Guards against tasks that start again, or a job that never ends, as a release without parts wrote a record that is too large now.
func TestLargeRecordOfAnEarlierReleaseIsReadAndDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 40
		s := newSite(t)
		s.put(job, checkpointing(tasks))
		s.putRecord(job, s.runningRecord(job, tasks))
		s.limit(2000, store.MaxEntries)
		s.electWith("a", newCheckpointingAgents(s.agents, 60), nil)
		time.Sleep(time.Second)
		s.exitAll(job, tasks)
		time.Sleep(5 * time.Second)
		assert.Equal(t, s.phase(job), work.Completed)
		assert.Assert(t, len(s.keysBelow(work.RecordKey(job)+"/")) > 1)
		for n := range tasks {
			assert.Equal(t, s.agents.Starts[taskOf(job, n)], 1)
		}
	})
}

// Guards against a second run of tasks whose part of the record is missing or can't be read: they may be done.
func TestJobWithoutAPartOfItsRecordIsNotStarted(t *testing.T) {
	for name, last := range map[string][]byte{"missing": nil, "unreadable": []byte(`{"sets":`), "of another division": []byte("\xa3\x01\x08\x02\x02\x03\x82\xa0\xa0")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				s.put(job, checkpointing(4))
				s.put("00000000000000b2", work.Step{Count: 1, MilliCores: 1})
				s.putRecord(job, &work.Record{Phase: work.Running, Division: 7})
				s.putPart(job, &work.Part{Division: 7, Groups: make([]work.GroupRecord, 2)})
				if last != nil {
					s.store.Put(work.PartKey(job, 2), last)
				}
				s.elect("a")
				time.Sleep(time.Second)
				assert.Assert(t, s.agents.WorkerOf(taskOf("00000000000000b2", 0)) != "", "another job starts")
				time.Sleep(9 * time.Second)
				for n := range 4 {
					assert.Equal(t, s.agents.WorkerOf(taskOf(job, n)), "")
				}
			})
		})
	}
}

// Guards against an ended job that runs again or stays for ever, as its owner was lost while it deleted the job's keys.
func TestEndedJobWithoutPartsIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.put(job, checkpointing(4))
		s.putRecord(job, &work.Record{Phase: work.Completed, Division: 7})
		s.putPart(job, &work.Part{Division: 7, First: 2, Groups: make([]work.GroupRecord, 2)})
		const deleted = "00000000000000b2"
		s.putRecord(deleted, &work.Record{Phase: work.Completed, Division: 7})
		s.putPart(deleted, &work.Part{Division: 7, Groups: make([]work.GroupRecord, 4)})
		s.elect("a")
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, s.keysBelow(work.RecordKey(deleted)), []string(nil))
		assert.Equal(t, s.phase(job), work.Completed)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, s.keysBelow(work.RecordPrefix), []string(nil))
		assert.DeepEqual(t, s.keysBelow(work.SpecPrefix), []string(nil))
		assert.Equal(t, len(s.agents.Starts), 0)
	})
}

// Guards against outdated groups: an owner was lost while it divided the record, which is one value still, and its parts remain.
func TestPartsOfADivisionThatWasNotFinishedAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 40
		s := newSite(t)
		s.put(job, checkpointing(tasks))
		s.putRecord(job, s.runningRecord(job, tasks))
		done := make([]work.GroupRecord, tasks)
		for n := range done {
			done[n] = work.GroupRecord{Run: 9, Done: true}
		}
		for n := range tasks {
			s.putPart(job, &work.Part{Division: 1, First: n, Groups: done[n : n+1]})
		}
		s.valueBytes = 2000
		stop := s.electWith("a", newCheckpointingAgents(s.agents, 60), nil)
		time.Sleep(time.Second)
		assert.Assert(t, s.agents.ExitTask(taskOf(job, 0), group.Done))
		time.Sleep(time.Second)
		stop()
		s.electWith("b", newCheckpointingAgents(s.agents, 60), nil)
		time.Sleep(time.Second)
		for n := 1; n < tasks; n++ {
			assert.Assert(t, s.agents.ExitTask(taskOf(job, n), group.Done), "task %d", n)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, s.phase(job), work.Completed)
	})
}
