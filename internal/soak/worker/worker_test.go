package worker_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
	"gotest.tools/v3/assert"
)

// registry keeps the address of the last entry.
type registry struct{ address string }

func (r *registry) Register(_ time.Time, _ string, values [][]byte) bool {
	var entry struct{ Address string }
	if err := json.Unmarshal(values[0], &entry); err != nil {
		return false
	}
	r.address = entry.Address
	return true
}

func (r *registry) Delete(time.Time, string) {}

type discard struct{ io.Writer }

func (discard) Close() error { return nil }

const jobID = "0123456789abcdef"

// response has the fields of all responses.
type response struct {
	Clock    int64 `json:"clockMs"`
	Reason   string
	Running  [][]any
	Finished [][]any
}

// rig is one worker, and a job of which the first step has a task of the given work and the second a gang of two.
type rig struct {
	worker *worker.Worker
	entry  *registry
	clock  int64
}

func newRig(t *testing.T, work time.Duration) *rig {
	t.Helper()
	seen := trail.New(time.Now(), discard{io.Discard})
	step := trail.Step{MilliCores: 1, Work: []time.Duration{work}}
	gang := trail.Step{MilliCores: 1, Work: []time.Duration{work, work}, Gang: true}
	seen.AddJob(&trail.Job{ID: jobID, Payload: "p", Steps: []trail.Step{step, gang}}, time.Now())
	s := site.Site{
		DataCentres: []string{"dc"}, MilliCores: 8, Heartbeat: time.Second, MaxHold: time.Minute, GangTimeout: 50 * time.Millisecond,
		StopTimeout: 40 * time.Millisecond,
	}
	r := &rig{entry: &registry{}}
	r.worker = worker.New(&worker.Place{Site: s, Trail: seen, Registry: r.entry, Gangs: worker.NewGangs()}, "127.0.0.1", "dc", "r", 1)
	assert.NilError(t, r.worker.Start(time.Now(), false))
	t.Cleanup(func() { r.worker.Crash(time.Now(), "the test is over") })
	r.clock = r.call(t, "/hold", map[string]any{"fencingToken": 5}).Clock
	return r
}

func (r *rig) call(t *testing.T, path string, body map[string]any) response {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.entry.address+path, bytes.NewReader(data))
	assert.NilError(t, err)
	q.Header.Set("Expected-Instance", r.worker.ID())
	answer, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	var a response
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&a))
	assert.NilError(t, answer.Body.Close())
	return a
}

func (r *rig) start(t *testing.T, task string, token int, lease time.Duration) string {
	t.Helper()
	deadline := r.clock + lease.Milliseconds()
	return r.call(t, "/run-start", map[string]any{"task": jobID + task, "run": 1, "spec": "p", "deadlineMs": deadline, "fencingToken": token}).Reason
}

// exits waits for exits and returns how they ended.
func (r *rig) exits(t *testing.T, acked int) string {
	t.Helper()
	var how []string
	for _, row := range r.call(t, "/hold", map[string]any{"fencingToken": 5, "acked": acked, "waitMs": 2000}).Finished {
		how = append(how, row[3].(string))
	}
	return strings.Join(how, " ")
}

func TestExitsAreListedUntilAcknowledged(t *testing.T) {
	r := newRig(t, 10*time.Millisecond)
	assert.Equal(t, r.start(t, ".0.0.0", 5, time.Minute), "")
	assert.Equal(t, r.exits(t, 0), "done")
	assert.Equal(t, r.exits(t, 0), "done")
	assert.Equal(t, r.start(t, ".0.0.0", 5, time.Minute), "old")
	r.call(t, "/hold", map[string]any{"fencingToken": 5, "acked": 1})
	assert.Equal(t, len(r.call(t, "/hold", map[string]any{"fencingToken": 5}).Finished), 0)
}

func TestLowerTokenIsRefused(t *testing.T) {
	r := newRig(t, time.Minute)
	assert.Equal(t, r.start(t, ".0.0.0", 4, time.Minute), "fence")
	assert.Equal(t, r.start(t, ".0.0.0", 5, -time.Second), "late")
}

func TestLeaseThatLapsesEndsTheTask(t *testing.T) {
	r := newRig(t, time.Minute)
	assert.Equal(t, r.start(t, ".0.0.0", 5, 300*time.Millisecond), "")
	assert.Equal(t, r.exits(t, 0), "lapsed")
}

func TestGangWorksOnlyWhenComplete(t *testing.T) {
	r := newRig(t, 10*time.Millisecond)
	assert.Equal(t, r.start(t, ".0.1.0", 5, time.Minute), "")
	assert.Equal(t, r.exits(t, 0), "alone")
	whole := newRig(t, 10*time.Millisecond)
	assert.Equal(t, whole.start(t, ".0.1.0", 5, time.Minute), "")
	assert.Equal(t, whole.start(t, ".0.1.1", 5, time.Minute), "")
	assert.Equal(t, whole.exits(t, 0) != "", true)
	assert.Equal(t, strings.Contains(whole.exits(t, 0), "alone"), false)
}
