package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

func readBody(r *http.Request) []byte {
	data, _ := io.ReadAll(r.Body)
	return data
}

// work is what the spec of a job says about its tasks, for the stand-in runners only.
type workSpec struct {
	// Ms is how long a task works; zero for one that lasts.
	Ms int `json:"ms"`
	// FailFrom and FailTo bound when a task fails by its own fault, in milliseconds after its start; zero for never.
	FailFrom int `json:"failFrom"`
	FailTo   int `json:"failTo"`
	// FailRun restricts failures to runs up to that number; zero for all.
	FailRun int `json:"failRun"`
	// FailBelow restricts failures to tasks with a lower index; zero for all.
	FailBelow int `json:"failBelow"`
}

type taskKey struct {
	task string
	run  int
}

type task struct {
	began    time.Time
	spec     workSpec
	stopping bool
	timer    *time.Timer
}

// runner is one life of a stand-in for a runner. It runs nothing; tasks end by timers.
type runner struct {
	id      string
	born    int64
	began   time.Time
	maxHold time.Duration
	stop    time.Duration

	mu       sync.Mutex
	fence    int64
	deadline int64
	running  map[taskKey]*task
	highest  map[string]int
	finished [][]any
	ends     int64
	changed  chan struct{}
	random   *rand.Rand
}

// say writes one line for the record.
func say(fields map[string]any) {
	fields["at"] = time.Now().UnixMilli()
	data, _ := json.Marshal(fields)
	fmt.Println(string(data))
}

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() }

func runRunner(args []string) {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id := f.String("id", "", "")
	storeAddr := f.String("store", "", "")
	address := f.String("address", "", "")
	service := f.String("service", "svc", "")
	zone := f.String("zone", "z1", "")
	labels := f.String("labels", "a,r1", "")
	cpu := f.Int("cpu", 32000, "")
	gpu := f.Int("gpu", 8, "")
	seed := f.Int64("seed", 1, "")
	stopMs := f.Int("stop-ms", 100, "")
	_ = f.Parse(args)
	now := time.Now()
	r := &runner{id: *id, born: now.UnixMilli(), began: now, maxHold: 6 * time.Second, stop: time.Duration(*stopMs) * time.Millisecond,
		running: map[taskKey]*task{}, highest: map[string]int{}, changed: make(chan struct{}), random: rand.New(rand.NewSource(*seed))}
	l, err := net.Listen("tcp4", *address)
	for err != nil && time.Since(now) < 5*time.Second {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp4", *address)
	}
	if err != nil {
		say(map[string]any{"what": "cannot listen", "runner": *id, "error": err.Error()})
		return
	}
	say(map[string]any{"what": "runner up", "runner": *id, "born": r.born})
	go func() {
		for sequence := 1; ; sequence++ {
			entry := map[string]any{"service": *service, "address": *address, "zone": *zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
				"sequence": sequence, "born": r.born, "capacity": map[string]int{"cpu": *cpu, "memMb": 131072, "gpu": *gpu}, "labels": strings.Split(*labels, ",")}
			data, _ := json.Marshal(entry)
			resp, err := http.Post("http://"+*storeAddr+"/runner/"+*id, "application/json", bytes.NewReader(data))
			if err == nil {
				resp.Body.Close()
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			r.checkLease()
		}
	}()
	_ = http.Serve(l, r)
}

// end lists the end of a task; the caller holds the lock.
func (r *runner) end(key taskKey, how string) {
	t := r.running[key]
	if t == nil {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(r.running, key)
	r.highest[key.task] = max(r.highest[key.task], key.run)
	r.ends++
	r.finished = append(r.finished, []any{r.ends, key.task, key.run, how, ""})
	say(map[string]any{"what": "end", "runner": r.id, "task": key.task, "run": key.run, "how": how})
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) checkLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock() <= r.deadline {
		return
	}
	for key := range r.running {
		r.end(key, "lapsed")
	}
}

func (r *runner) extend(deadline int64) {
	deadline = min(deadline, r.clock()+r.maxHold.Milliseconds())
	r.deadline = max(r.deadline, deadline)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body := readBody(req)
	if want := req.Header.Get("Expected-Instance"); want != "" && want != r.id {
		reply(w, 421, map[string]any{"clockMs": r.clock(), "born": r.born})
		return
	}
	var in struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadlineMs"`
		Fence    int64  `json:"fencingToken"`
		Acked    int64  `json:"acked"`
		Wait     int64  `json:"waitMs"`
	}
	if json.Unmarshal(body, &in) != nil {
		reply(w, 400, map[string]any{"clockMs": r.clock(), "born": r.born})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if in.Fence < r.fence {
		reply(w, 409, map[string]any{"clockMs": r.clock(), "born": r.born, "reason": "fence"})
		return
	}
	r.fence = in.Fence
	key := taskKey{in.Task, in.Run}
	switch req.URL.Path {
	case "/run-start":
		r.start(w, key, in.Spec, in.Deadline)
	case "/run-stop":
		r.stopTask(key)
		reply(w, 200, map[string]any{"clockMs": r.clock(), "born": r.born})
	case "/hold":
		r.hold(w, in.Acked, in.Deadline, in.Wait)
	default:
		reply(w, 404, map[string]any{})
	}
}

func (r *runner) start(w http.ResponseWriter, key taskKey, spec string, deadline int64) {
	refuse := func(reason string) {
		reply(w, 409, map[string]any{"clockMs": r.clock(), "born": r.born, "reason": reason})
	}
	if r.running[key] == nil && key.run <= r.highest[key.task] {
		r.extend(deadline)
		refuse("old")
		return
	}
	if deadline <= r.clock() {
		refuse("late")
		return
	}
	r.extend(deadline)
	if r.running[key] == nil {
		t := &task{began: time.Now()}
		_ = json.Unmarshal([]byte(spec), &t.spec)
		r.running[key] = t
		index, _ := strconv.Atoi(key.task[strings.LastIndexByte(key.task, '.')+1:])
		after, how := time.Duration(t.spec.Ms)*time.Millisecond, "done"
		if t.spec.FailTo > 0 && (t.spec.FailRun == 0 || key.run <= t.spec.FailRun) && (t.spec.FailBelow == 0 || index < t.spec.FailBelow) {
			after, how = time.Duration(t.spec.FailFrom+r.random.Intn(t.spec.FailTo-t.spec.FailFrom+1))*time.Millisecond, "failed"
		}
		if after > 0 {
			t.timer = time.AfterFunc(after, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(key, how)
			})
		}
		say(map[string]any{"what": "start", "runner": r.id, "task": key.task, "run": key.run, "token": r.fence})
	}
	reply(w, 200, map[string]any{"clockMs": r.clock(), "born": r.born})
}

func (r *runner) stopTask(key taskKey) {
	t := r.running[key]
	if t == nil {
		r.highest[key.task] = max(r.highest[key.task], key.run)
		return
	}
	if !t.stopping {
		t.stopping = true
		time.AfterFunc(r.stop, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(key, "stopped")
		})
	}
}

func (r *runner) hold(w http.ResponseWriter, acked, deadline, wait int64) {
	kept := r.finished[:0]
	for _, row := range r.finished {
		if row[0].(int64) > acked {
			kept = append(kept, row)
		}
	}
	r.finished = kept
	if deadline > 0 {
		r.extend(deadline)
	}
	if wait > 0 && len(r.finished) == 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 2000)) * time.Millisecond):
		}
		r.mu.Lock()
	}
	rows := [][]any{}
	for key, t := range r.running {
		percent, ms := 100, time.Since(t.began).Milliseconds()
		if t.spec.Ms > 0 {
			percent = int(min(99, 100*ms/int64(t.spec.Ms)))
		} else if ms < 500 {
			percent = int(ms / 5)
		}
		rows = append(rows, []any{key.task, key.run, "", percent, 1000})
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a][0].(string) < rows[b][0].(string) })
	ends := r.finished
	if len(ends) > 500 {
		ends = ends[:500]
	}
	if ends == nil {
		ends = [][]any{}
	}
	reply(w, 200, map[string]any{"clockMs": r.clock(), "born": r.born, "running": rows, "finished": ends})
}
