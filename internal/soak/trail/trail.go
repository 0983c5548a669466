package trail

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// How a run ended, in the platform's words, and Crashed for a run that ended with its worker.
const (
	Done    = "done"
	Failed  = "failed"
	Stopped = "stopped"
	Lapsed  = "lapsed"
	Broken  = "broken"
	Alone   = "alone"
	Crashed = "crashed"
)

// Run is one run of a task on one worker.
type Run struct {
	Task                 TaskID
	Number               int
	Worker               string
	Began, Ended, Acked  time.Time
	How                  string
	Checkpoint           string
	Token                int64
	LapsedBeforeAck      bool
	WrongPayload, Excess bool
	// Late means that the worker carried the order out after its caller had given up.
	Late bool
}

// Running reports whether the run has not ended.
func (r *Run) Running() bool { return r.Ended.IsZero() }

// Trail collects jobs and runs, and writes a line about each event.
type Trail struct {
	mu    sync.Mutex
	zero  time.Time
	out   *bufio.Writer
	close func() error
	jobs  map[string]*Job
	order []*Job
	runs  map[TaskID][]*Run
	// byWorker has the runs whose end is not acknowledged.
	byWorker map[string][]*Run
	unasked  []string
	shown    []Shown
	panics   int
}

// Shown is a state that a caller was shown.
type Shown struct {
	At     time.Time
	Job    string
	Status int
	State  string
}

// New returns a trail that writes to out.
func New(zero time.Time, out io.WriteCloser) *Trail {
	return &Trail{
		zero: zero, out: bufio.NewWriter(out), close: out.Close, jobs: make(map[string]*Job), runs: make(map[TaskID][]*Run),
		byWorker: make(map[string][]*Run),
	}
}

// Close writes what is buffered.
func (t *Trail) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.out.Flush(); err != nil {
		return err
	}
	return t.close()
}

// Logf writes one line.
func (t *Trail) Logf(now time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logf(now, format, args...)
}

func (t *Trail) logf(now time.Time, format string, args ...any) {
	fmt.Fprintf(t.out, "%9.3f %s %s\n", now.Sub(t.zero).Seconds(), now.UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// Write records what an HTTP server of a stand-in logs; a panic there means that the day proves nothing.
func (t *Trail) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if bytes.Contains(line, []byte("panic serving")) {
		t.panics++
	}
	t.logf(time.Now(), "server: %s", line)
	return len(line), nil
}

// Panics returns how often a stand-in panicked.
func (t *Trail) Panics() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.panics
}

// AddJob records a job before its first attempt.
func (t *Trail) AddJob(j *Job, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j.FirstSent = now
	t.jobs[j.ID] = j
	t.order = append(t.order, j)
	t.logf(now, "job %s of queue %s: %d steps, %d tasks, gang %t", j.ID, j.Queue, len(j.Steps), len(j.Steps[0].Work), j.Steps[0].Gang)
}

// Change applies a caller's news to a job and logs it.
func (t *Trail) Change(j *Job, now time.Time, what string, change func(*Job)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(j)
	t.logf(now, "job %s: %s", j.ID, what)
}

// Show records a state that a caller was shown.
func (t *Trail) Show(j *Job, now time.Time, status int, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j.State = state
	t.shown = append(t.shown, Shown{At: now, Job: j.ID, Status: status, State: state})
}

// Job returns the job of that ID, or nil.
func (t *Trail) Job(id string) *Job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[id]
}

// Unasked records an order for a task that no caller submitted.
func (t *Trail) Unasked(now time.Time, worker, task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unasked = append(t.unasked, fmt.Sprintf("worker %s was told to start %s, which no caller submitted", worker, task))
	t.logf(now, "%s", t.unasked[len(t.unasked)-1])
}

// Began records the start of a run.
func (t *Trail) Began(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.Task] = append(t.runs[r.Task], r)
	t.byWorker[r.Worker] = append(t.byWorker[r.Worker], r)
	t.logf(r.Began, "worker %s starts %s run %d (token %d, checkpoint %q)", r.Worker, r.Task, r.Number, r.Token, r.Checkpoint)
}

// Ended records the end of a run.
func (t *Trail) Ended(r *Run, now time.Time, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Ended, r.How = now, how
	t.logf(now, "worker %s: %s run %d is %s", r.Worker, r.Task, r.Number, how)
}

// Acked records that an end was acknowledged.
func (t *Trail) Acked(r *Run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Acked = now
	list := t.byWorker[r.Worker]
	for i, other := range list {
		if other == r {
			t.byWorker[r.Worker] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// LeaseLapsed records that a worker's lease lapsed before its listed ends were acknowledged.
func (t *Trail) LeaseLapsed(worker string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byWorker[worker] {
		r.LapsedBeforeAck = r.LapsedBeforeAck || !r.Running()
	}
	t.logf(now, "worker %s: its lease has lapsed", worker)
}

// View is a consistent look at the trail for the length of one call.
type View struct {
	Jobs    []*Job
	Runs    map[TaskID][]*Run
	Unasked []string
	Shown   []Shown
}

// Look calls look with all that was recorded; it must not keep the view.
func (t *Trail) Look(look func(View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	look(View{Jobs: t.order, Runs: t.runs, Unasked: t.unasked, Shown: t.shown})
}
