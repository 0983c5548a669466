package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold    = 6000 * time.Millisecond
	stopTakes  = 100 * time.Millisecond
	heartbeat  = 1500 * time.Millisecond
	listedEnds = 500
	// checkpointInterval is checkpointIntervalS of the site.
	checkpointInterval = 2 * time.Second
)

// runnerKind is what a runner says of itself.
type runnerKind struct {
	id, service, zone string
	labels            []string
	cpu, memMb, gpu   int
}

type run struct {
	saves   int
	task    string
	number  int
	began   time.Time
	takes   time.Duration
	fails   bool
	stopped *time.Timer
	ends    *time.Timer
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// runner is a stand-in for one machine that runs tasks. The payload of a job says what its tasks do: "for=MS" or "for=MS..MS" (by
// the task's index), the time that a task takes.
type runner struct {
	kind  runnerKind
	rec   *recorder
	store *store
	addr  string

	mu       sync.Mutex
	up       bool
	born     time.Time
	token    int64
	leaseEnd time.Time
	running  map[string]*run
	highest  map[string]int // highest run that was stopped or has ended, by task
	ended    []end
	lastEnd  int64
	acked    int64
	// ackLogged is the last acked that was written to the record.
	ackLogged int64
	sequence  int
	changed   chan struct{}
	state     string
	// lapseSeen is true once the lapse of the present lease is recorded, or while there was no lease yet.
	lapseSeen bool
	// cut is true while no packet passes between the runner and any machine; grey while it fails all that it runs.
	cut, grey bool

	server *http.Server
	life   context.Context
	kill   context.CancelFunc
	conns  map[net.Conn]bool
}

func newRunner(kind runnerKind, address string, rec *recorder, st *store) *runner {
	return &runner{kind: kind, addr: address, rec: rec, store: st}
}

// start begins a new life of the runner, which knows nothing of the one before.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	r.addr = listener.Addr().String()
	r.mu.Lock()
	r.up, r.born, r.token, r.leaseEnd, r.lapseSeen = true, time.Now(), 0, time.Time{}, true
	r.running, r.highest, r.ended, r.lastEnd, r.acked, r.sequence = map[string]*run{}, map[string]int{}, nil, 0, 0, 0
	r.changed, r.state, r.conns = make(chan struct{}), "ready", map[net.Conn]bool{}
	r.life, r.kill = context.WithCancel(context.Background())
	life := r.life
	r.server = &http.Server{Handler: r, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateNew {
			r.conns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(r.conns, c)
		}
	}}
	server := r.server
	r.mu.Unlock()
	r.rec.log("runner %s starts at %s", r.kind.id, r.addr)
	go func() { _ = server.Serve(listener) }()
	go func() {
		for life.Err() == nil {
			r.beat()
			select {
			case <-life.Done():
			case <-time.After(heartbeat):
			}
		}
	}()
	go func() {
		for life.Err() == nil {
			time.Sleep(5 * time.Millisecond)
			r.checkLease()
		}
	}()
	return nil
}

// beat writes the runner's entry, unless it is cut off.
func (r *runner) beat() {
	r.mu.Lock()
	if !r.up || r.cut {
		r.mu.Unlock()
		return
	}
	r.sequence++
	entry := map[string]any{
		"service": r.kind.service, "address": r.addr, "zone": r.kind.zone, "version": "v1", "slots": 8, "state": r.state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": r.kind.cpu, "memMb": r.kind.memMb, "gpu": r.kind.gpu}, "labels": r.kind.labels,
		"clockMs": r.clock(), "sequence": r.sequence, "born": r.born.UnixMilli(),
	}
	r.mu.Unlock()
	r.store.put("servers/"+r.kind.id, entry)
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

// extend applies a deadline on the runner's clock to the lease of all that runs here; the lock is held.
func (r *runner) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	at := time.Now().Add(min(time.Duration(deadlineMs-r.clock())*time.Millisecond, maxHold))
	if at.After(r.leaseEnd) {
		r.leaseEnd, r.lapseSeen = at, false
	}
}

func (r *runner) checkLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || !time.Now().After(r.leaseEnd) {
		return
	}
	if !r.lapseSeen {
		// Also with nothing at work: an end that was not taken note of before never counts.
		r.lapseSeen = true
		r.rec.lapsed(r.kind.id)
	}
	for _, x := range r.running {
		r.finish(x, "lapsed")
	}
}

// finish ends a run; the lock is held.
func (r *runner) finish(x *run, how string) {
	key := x.task + "/" + strconv.Itoa(x.number)
	if r.running[key] != x {
		return
	}
	x.ends.Stop()
	delete(r.running, key)
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.lastEnd++
	r.ended = append(r.ended, end{r.lastEnd, x.task, x.number, how})
	r.rec.ended(r.kind.id, x.task, x.number, how, r.lastEnd)
	close(r.changed)
	r.changed = make(chan struct{})
}

// takes returns how long a task of the payload takes.
func takes(payload, task string) time.Duration {
	for _, field := range strings.Fields(payload) {
		if text, ok := strings.CutPrefix(field, "for="); ok {
			least, most, ranged := strings.Cut(text, "..")
			a, _ := strconv.Atoi(least)
			if !ranged {
				return time.Duration(a) * time.Millisecond
			}
			b, _ := strconv.Atoi(most)
			index, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
			return time.Duration(a+index*7919%(b-a)) * time.Millisecond
		}
	}
	return time.Second
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	life := r.life
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	data, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if cut {
		r.silent(life, q)
	}
	if q.URL.Path == "/health" {
		w.WriteHeader(200)
		return
	}
	if q.Header.Get("Expected-Instance") != r.kind.id {
		w.WriteHeader(421)
		return
	}
	var body struct {
		Task       string `json:"task"`
		Run        int    `json:"run"`
		Spec       string `json:"spec"`
		Deadline   int64  `json:"deadlineMs"`
		Token      int64  `json:"fencingToken"`
		Checkpoint string `json:"checkpoint"`
		Acked      int64  `json:"acked"`
		Wait       int64  `json:"waitMs"`
	}
	if q.Method != "POST" || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(400)
		return
	}
	r.mu.Lock()
	if life.Err() != nil {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if body.Token < r.token {
		clock := r.clock()
		r.mu.Unlock()
		reply(w, 409, map[string]any{"clockMs": clock, "reason": "fence", "born": r.born.UnixMilli()})
		return
	}
	r.token = body.Token
	status, answer := 200, map[string]any{}
	switch q.URL.Path {
	case "/run-start":
		if reason := r.startTask(body.Task, body.Run, body.Spec, body.Deadline, body.Token); reason != "" {
			status, answer["reason"] = 409, reason
		}
	case "/run-stop":
		r.highest[body.Task] = max(r.highest[body.Task], body.Run)
		if x := r.running[body.Task+"/"+strconv.Itoa(body.Run)]; x != nil && x.stopped == nil {
			x.stopped = time.AfterFunc(stopTakes, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.finish(x, "stopped")
			})
		}
	case "/hold":
		r.extend(body.Deadline)
		r.forget(body.Acked)
		r.wait(q.Context(), life, time.Duration(min(body.Wait, 2000))*time.Millisecond)
		r.list(answer)
		if ends := len(r.ended); ends > 0 || body.Acked > 0 && body.Acked != r.ackLogged {
			r.ackLogged = body.Acked
			r.rec.log("hold: %s acked %d, answered: %d running, %d of %d ends listed", r.kind.id, body.Acked, len(r.running), min(ends, listedEnds), ends)
		}
	default:
		status = 400
	}
	if q.URL.Path != "/hold" {
		r.rec.log("order: %s %s task %s run %d (token %d), answered %d %v", r.kind.id, q.URL.Path, body.Task, body.Run, body.Token, status, answer["reason"])
	}
	answer["clockMs"], answer["born"] = r.clock(), r.born.UnixMilli()
	cut = r.cut
	dead := life.Err() != nil
	r.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	if cut {
		r.silent(life, q)
	}
	reply(w, status, answer)
}

// silent keeps a call without an answer until its caller gives up.
func (r *runner) silent(life context.Context, q *http.Request) {
	select {
	case <-q.Context().Done():
	case <-life.Done():
	}
	panic(http.ErrAbortHandler)
}

// startTask begins a task, or returns why not; the lock is held.
func (r *runner) startTask(task string, number int, spec string, deadlineMs, token int64) string {
	key := task + "/" + strconv.Itoa(number)
	if r.running[key] != nil {
		r.extend(deadlineMs)
		return ""
	}
	if number <= r.highest[task] {
		r.extend(deadlineMs)
		return "old"
	}
	if deadlineMs <= r.clock() {
		return "late"
	}
	r.extend(deadlineMs)
	x := &run{task: task, number: number, began: time.Now(), takes: takes(spec, task), saves: saves(spec), fails: r.grey}
	how, after := "done", x.takes
	if x.fails {
		how, after = "failed", min(x.takes, 300*time.Millisecond)
	}
	r.running[key] = x
	x.ends = time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.finish(x, how)
	})
	r.rec.began(r.kind.id, task, number, spec, token)
	return ""
}

// forget drops the ends up to acked; the lock is held.
func (r *runner) forget(acked int64) {
	for len(r.ended) > 0 && r.ended[0].number <= acked {
		r.rec.noted(r.kind.id, r.ended[0].task, r.ended[0].run)
		r.ended = r.ended[1:]
	}
	r.acked = max(r.acked, acked)
}

// wait returns once there is an end to list or the time is over; the lock is held before and after.
func (r *runner) wait(caller, life context.Context, limit time.Duration) {
	until := time.After(limit)
	for len(r.ended) == 0 && limit > 0 {
		changed := r.changed
		r.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-until:
			over = true
		case <-caller.Done():
			over = true
		case <-life.Done():
			over = true
		}
		r.mu.Lock()
		if over {
			return
		}
	}
}

// list adds what runs and what has ended to the answer; the lock is held.
func (r *runner) list(answer map[string]any) {
	running := [][]any{}
	for _, x := range r.running {
		done := min(99, int(100*time.Since(x.began)/max(x.takes, 1)))
		running = append(running, []any{x.task, x.number, x.saved(), done, 1000})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	finished := [][]any{}
	for _, e := range r.ended[:min(len(r.ended), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer["running"], answer["finished"] = running, finished
}

// saves returns the length of a checkpoint of the payload's tasks, from its word "saves=N".
func saves(payload string) int {
	for _, field := range strings.Fields(payload) {
		if text, ok := strings.CutPrefix(field, "saves="); ok {
			n, _ := strconv.Atoi(text)
			return n
		}
	}
	return 0
}

// saved returns the run's checkpoint: one for each checkpointInterval of work.
func (x *run) saved() string {
	n := int(time.Since(x.began) / checkpointInterval)
	if x.saves == 0 || n == 0 {
		return ""
	}
	return fmt.Sprintf("%0*d", x.saves, n)
}

func (r *runner) busy() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

func (r *runner) set(change func()) {
	r.mu.Lock()
	change()
	r.mu.Unlock()
}
