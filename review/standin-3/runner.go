package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// task is one run on a runner.
type task struct {
	name    string
	run     int
	began   time.Time
	work    time.Duration
	fails   bool
	lasts   bool
	stopped bool
	// gang is the gang of this run, nil for a single task.
	gang *gang
}

// gang is one run of a step whose tasks work only together. Its fields are guarded by the lock of gangs.
type gang struct {
	size   int
	joined int
	began  time.Time
	// over is how the first member ended; the others end done with it, or broken.
	over string
}

// gangs has the gangs of all runners by job, occurrence, step and run.
type gangs struct {
	mu    sync.Mutex
	known map[string]*gang
	// sizeOf gives the size of the gang of a task's step, zero for a step without one.
	sizeOf func(name string) int
}

func newGangs(sizeOf func(string) int) *gangs {
	return &gangs{known: map[string]*gang{}, sizeOf: sizeOf}
}

// join adds a member, and returns its gang, nil if the task's step has none.
func (g *gangs) join(name string, run int) *gang {
	if g == nil || g.sizeOf(name) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	key := fmt.Sprintf("%s/%d", name[:strings.LastIndexByte(name, '.')], run)
	one := g.known[key]
	if one == nil {
		one = &gang{size: g.sizeOf(name)}
		g.known[key] = one
	}
	if one.joined++; one.joined == one.size {
		one.began = time.Now()
	}
	return one
}

// state returns since when the gang works, zero if it waits, and how it ended.
func (g *gangs) state(one *gang) (began time.Time, over string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return one.began, one.over
}

func (g *gangs) end(one *gang, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if one.over == "" {
		one.over = how
	}
}

// runner is a stand-in of one runner. Its state is that of its present life; a crash forgets all of it.
type runner struct {
	id, address, zone, service string
	labels                     []string
	cpu, mem, gpu              int
	store                      *store
	rec                        *record
	maxHold, stopTimeout       time.Duration
	gangTimeout                time.Duration
	gangs                      *gangs
	heartbeat                  time.Duration
	// workOf gives the work of a task, and whether it ends failed or lasts.
	workOf func(name string, run int) (work time.Duration, fails, lasts bool)
	// onStart is called, without the lock, for each new run.
	onStart func(r *runner, name string, run int, token int64)

	mu       sync.Mutex
	cond     *sync.Cond
	up       bool
	life     int
	born     time.Time
	fence    int64
	deadline int64
	running  map[string]*task
	ended    map[string]int
	finished []finishedRun
	number   int64
	acked    int64
	sequence int64
	entries  int64
	server   *http.Server
}

type finishedRun struct {
	n    int64
	task string
	run  int
	how  string
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// start begins a new life under the same ID and address.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.cond = sync.NewCond(&r.mu)
	r.life++
	life := r.life
	r.up, r.born, r.fence, r.deadline = true, time.Now(), 0, 0
	r.running, r.ended, r.finished = map[string]*task{}, map[string]int{}, nil
	r.number, r.acked, r.sequence = 0, 0, 0
	r.server = &http.Server{Handler: r.handler(life)}
	server := r.server
	r.mu.Unlock()
	r.rec.add("runner %s life %d is up at %s, labels %v", r.id, life, r.address, r.labels)
	go func() { _ = server.Serve(listener) }()
	go r.beat(life)
	go r.work(life)
	return nil
}

// crash ends the life: all connections break, and nothing is remembered.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	server := r.server
	lost := ""
	for _, t := range r.running {
		lost += fmt.Sprintf(" %s run %d", t.name, t.run)
		if t.gang != nil {
			r.gangs.end(t.gang, "lost")
		}
	}
	r.running = map[string]*task{}
	r.cond.Broadcast()
	life := r.life
	r.mu.Unlock()
	r.rec.add("runner %s life %d crashes; it ran:%s", r.id, life, lost)
	_ = server.Close()
	// Three check-in intervals of silence remove the entry, unless a later life writes it anew.
	go func() {
		time.Sleep(3 * r.heartbeat)
		r.mu.Lock()
		gone := r.life == life && !r.up
		r.mu.Unlock()
		if gone {
			r.store.drop("servers/" + r.id)
		}
	}()
}

// beat writes the runner's entry at its start and at each check-in interval.
func (r *runner) beat(life int) {
	for {
		r.mu.Lock()
		if r.life != life || !r.up {
			r.mu.Unlock()
			return
		}
		r.sequence++
		entry := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": r.cpu, "memMb": r.mem, "gpu": r.gpu}, "labels": r.labels, "clockMs": r.clock(),
			"sequence": r.sequence, "born": r.born.UnixMilli(),
		}
		r.mu.Unlock()
		r.store.put("servers/"+r.id, entry)
		time.Sleep(r.heartbeat)
	}
}

// work ends tasks whose work is done, and kills all when the lease lapses.
func (r *runner) work(life int) {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		if r.life != life || !r.up {
			r.mu.Unlock()
			return
		}
		if len(r.running) > 0 && r.clock() > r.deadline {
			for _, t := range r.running {
				r.end(t, "lapsed")
			}
		}
		for _, t := range r.running {
			began := t.began
			if t.gang != nil {
				together, over := r.gangs.state(t.gang)
				switch {
				case over == "done":
					r.end(t, "done")
					continue
				case over != "":
					r.end(t, "broken")
					continue
				case together.IsZero() && time.Since(t.began) > r.gangTimeout:
					r.end(t, "alone")
					continue
				case together.IsZero():
					continue
				}
				began = together
			}
			if !t.lasts && time.Since(began) >= t.work {
				how := "done"
				if t.fails {
					how = "failed"
				}
				r.end(t, how)
			}
		}
		r.mu.Unlock()
	}
}

// end lists the end of a task. The caller holds mu.
func (r *runner) end(t *task, how string) {
	if r.running[t.name] != t {
		return
	}
	delete(r.running, t.name)
	if t.gang != nil {
		r.gangs.end(t.gang, how)
	}
	r.ended[t.name] = max(r.ended[t.name], t.run)
	r.number++
	r.finished = append(r.finished, finishedRun{r.number, t.name, t.run, how})
	r.rec.add("runner %s life %d: %s run %d ends %s (end %d)", r.id, r.life, t.name, t.run, how, r.number)
	r.cond.Broadcast()
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	Acked    int64  `json:"acked"`
	Wait     int64  `json:"waitMs"`
}

func (r *runner) handler(life int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			w.Header().Set("Instance-Id", r.id)
			w.WriteHeader(200)
			return
		}
		if to := q.Header.Get("Expected-Instance"); to != "" && to != r.id {
			reply(w, 421, map[string]any{})
			return
		}
		var body orderBody
		if q.Method != "POST" || json.NewDecoder(q.Body).Decode(&body) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		r.mu.Lock()
		if r.life != life || !r.up {
			r.mu.Unlock()
			return
		}
		if body.Token < r.fence {
			answer := map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "reason": "fence"}
			r.mu.Unlock()
			reply(w, 409, answer)
			return
		}
		r.fence = body.Token
		status, answer, started := 400, map[string]any{}, false
		switch q.URL.Path {
		case "/run-start":
			status, answer, started = r.startTask(&body)
		case "/run-stop":
			status, answer = r.stopTask(&body)
		case "/hold":
			status, answer = r.hold(&body, life)
		}
		answer["clockMs"], answer["born"] = r.clock(), r.born.UnixMilli()
		up := r.up && r.life == life
		r.mu.Unlock()
		if !up {
			return
		}
		if started && r.onStart != nil {
			r.onStart(r, body.Task, body.Run, body.Token)
		}
		reply(w, status, answer)
	})
}

// extend applies a deadline: a longer lease than maxHold is shortened, and none is shortened by a later call. The caller holds mu.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+r.maxHold.Milliseconds()))
}

func (r *runner) startTask(b *orderBody) (int, map[string]any, bool) {
	if t := r.running[b.Task]; t != nil && t.run == b.Run {
		r.extend(b.Deadline)
		return 200, map[string]any{}, false
	}
	if b.Run <= r.ended[b.Task] || r.running[b.Task] != nil {
		r.extend(b.Deadline)
		return 409, map[string]any{"reason": "old"}, false
	}
	if b.Deadline <= r.clock() {
		return 409, map[string]any{"reason": "late"}, false
	}
	r.extend(b.Deadline)
	work, fails, lasts := r.workOf(b.Task, b.Run)
	r.running[b.Task] = &task{name: b.Task, run: b.Run, began: time.Now(), work: work, fails: fails, lasts: lasts, gang: r.gangs.join(b.Task, b.Run)}
	r.rec.add("runner %s life %d starts %s run %d, token %d", r.id, r.life, b.Task, b.Run, b.Token)
	return 200, map[string]any{}, true
}

func (r *runner) stopTask(b *orderBody) (int, map[string]any) {
	r.ended[b.Task] = max(r.ended[b.Task], b.Run)
	r.rec.add("runner %s life %d is told to stop %s run %d, token %d", r.id, r.life, b.Task, b.Run, b.Token)
	if t := r.running[b.Task]; t != nil && t.run == b.Run && !t.stopped {
		t.stopped = true
		time.AfterFunc(r.stopTimeout/2, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(t, "stopped")
		})
	}
	return 200, map[string]any{}
}

func (r *runner) hold(b *orderBody, life int) (int, map[string]any) {
	if b.Deadline > 0 {
		r.extend(b.Deadline)
	}
	if b.Acked > r.acked {
		r.acked = b.Acked
		keep := r.finished[:0:0]
		for _, f := range r.finished {
			if f.n > b.Acked {
				keep = append(keep, f)
			} else {
				r.rec.add("runner %s life %d: end %d (%s run %d %s) is taken note of", r.id, life, f.n, f.task, f.run, f.how)
			}
		}
		r.finished = keep
	}
	if b.Wait > 0 {
		over := false
		timer := time.AfterFunc(time.Duration(min(b.Wait, 2000))*time.Millisecond, func() {
			r.mu.Lock()
			over = true
			r.cond.Broadcast()
			r.mu.Unlock()
		})
		for !over && len(r.finished) == 0 && r.up && r.life == life {
			r.cond.Wait()
		}
		timer.Stop()
	}
	running, finished := make([]any, 0), make([]any, 0)
	for _, t := range r.running {
		percent := 100
		began := t.began
		if t.gang != nil {
			if began, _ = r.gangs.state(t.gang); began.IsZero() {
				began = time.Now()
			}
		}
		if !t.lasts {
			percent = min(99, int(100*time.Since(began)/max(t.work, 1)))
		} else if time.Since(t.began) < t.work {
			percent = int(100 * time.Since(t.began) / max(t.work, 1))
		}
		running = append(running, []any{t.name, t.run, "", percent})
	}
	for i, f := range r.finished {
		if i == 500 {
			break
		}
		finished = append(finished, []any{f.n, f.task, f.run, f.how, ""})
	}
	return 200, map[string]any{"running": running, "finished": finished}
}

// runs returns the tasks that run now, by name with the number of the run.
func (r *runner) runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, t := range r.running {
		out[t.name] = t.run
	}
	return out
}
