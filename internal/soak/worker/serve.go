package worker

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"
)

const (
	listedExits = 500
	longestWait = 2000
)

// orderBody has the fields of all calls to a worker.
type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Acked      int64  `json:"acked"`
	Wait       int64  `json:"waitMs"`
}

type answer struct {
	Clock    int64  `json:"clockMs"`
	Born     int64  `json:"born"`
	Reason   string `json:"reason,omitempty"`
	Running  any    `json:"running,omitempty"`
	Finished any    `json:"finished,omitempty"`
}

// life serves the calls to one life of a worker.
type life struct {
	worker *Worker
	stop   chan struct{}
}

// ServeHTTP executes one call.
func (l *life) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := l.worker
	var b orderBody
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&b) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	behavior, unhealthy, late, delay := w.behavior, w.rand.Float64() < w.behavior.Unhealthy, w.rand.Float64() < w.behavior.Late, time.Duration(500+w.rand.IntN(4000))
	id := w.id
	w.mu.Unlock()
	if behavior.Slow > 0 {
		time.Sleep(behavior.Slow)
	}
	if r.Header.Get("Expected-Instance") != id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if unhealthy {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late && r.URL.Path != "/hold" {
		time.AfterFunc(delay*time.Millisecond, func() { l.execute(r.URL.Path, &b, time.Now(), true) })
		l.hold(r)
	}
	status, a := l.execute(r.URL.Path, &b, time.Now(), false)
	if status == http.StatusOK && r.URL.Path == "/hold" {
		a = l.list(r, &b)
	}
	select {
	case <-l.stop:
		panic(http.ErrAbortHandler)
	default:
	}
	data, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(data)))
	out.WriteHeader(status)
	if _, err := out.Write(data); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// hold leaves a call without an answer until its caller gives up.
func (l *life) hold(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-l.stop:
	}
	panic(http.ErrAbortHandler)
}

func (l *life) over() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// execute carries out an order or renews the lease.
func (l *life) execute(path string, b *orderBody, now time.Time, late bool) (int, answer) {
	w := l.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.over() || !w.up {
		return http.StatusServiceUnavailable, answer{}
	}
	a := answer{Clock: w.clock(now), Born: w.born.UnixMilli()}
	if b.Token < w.token {
		a.Reason = "fence"
		return http.StatusConflict, a
	}
	w.token = b.Token
	switch path {
	case "/run-start":
		if a.Reason = w.begin(b, now, late); a.Reason != "" {
			return http.StatusConflict, a
		}
	case "/run-stop":
		w.halt(b)
	case "/hold":
		w.extend(b.Deadline, now)
		w.forget(b.Acked, now)
	default:
		return http.StatusBadRequest, a
	}
	return http.StatusOK, a
}

// extend applies a deadline on the worker's clock to its lease; the lock is held.
func (w *Worker) extend(deadline int64, now time.Time) {
	if deadline == 0 {
		return
	}
	left := min(time.Duration(float64(deadline-w.clock(now))/w.clockRate*float64(time.Millisecond)), w.place.Site.MaxHold*102/100)
	if at := now.Add(left); at.After(w.lease) {
		w.lease, w.lapseSeen = at, false
	}
}

// forget drops the exits up to acked; the lock is held.
func (w *Worker) forget(acked int64, now time.Time) {
	for len(w.exits) > 0 && w.exits[0].number <= acked {
		w.place.Trail.Acked(w.exits[0].run.seen, now)
		w.exits = w.exits[1:]
	}
}

// list waits for an exit, if the call says so, and returns both lists.
func (l *life) list(r *http.Request, b *orderBody) answer {
	w := l.worker
	until := time.NewTimer(time.Duration(min(b.Wait, longestWait)) * time.Millisecond)
	defer until.Stop()
	for over := b.Wait == 0; ; {
		w.mu.Lock()
		if over || len(w.exits) > 0 || l.over() {
			defer w.mu.Unlock()
			return w.lists(time.Now())
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			over = true
		case <-l.stop:
			over = true
		}
	}
}

func (w *Worker) lists(now time.Time) answer {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 0
		if r.working {
			percent = min(99, int(100*(r.base+now.Sub(r.began))/max(r.work, 1)))
		}
		running = append(running, []any{r.seen.Task.String(), r.seen.Number, r.saved(now, false, w.place.Site.CheckpointEvery), percent, 1000})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range w.exits[:min(len(w.exits), listedExits)] {
		finished = append(finished, []any{e.number, e.run.seen.Task.String(), e.run.seen.Number, e.how, e.checkpoint})
	}
	return answer{Clock: w.clock(now), Born: w.born.UnixMilli(), Running: running, Finished: finished}
}
