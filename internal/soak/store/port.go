package store

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxValueBytes = 1 << 20
	maxEntries    = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	minTTL        = time.Second
	maxTTL        = 10 * time.Minute
)

// Trouble is how a port mistreats calls.
type Trouble struct {
	// Refuse answers with this status.
	Refuse int
	// Silent holds calls without executing them.
	Silent bool
	// Slow delays each call.
	Slow time.Duration
	// Lost is the share of executed calls without an answer; half of the writes among them are executed seconds later.
	Lost float64
}

// Port is the way of one instance to the store.
type Port struct {
	store    *Store
	instance string
	dc       int

	mu      sync.Mutex
	rand    *rand.Rand
	trouble Trouble
	changed chan struct{}
}

// Port returns a new way to the store for an instance of the data centre with that index.
func (s *Store) Port(instance string, dc int, seed uint64) *Port {
	return &Port{store: s, instance: instance, dc: dc, rand: rand.New(rand.NewPCG(seed, 7)), changed: make(chan struct{})}
}

// Set changes how calls are treated, including those that are held.
func (p *Port) Set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
}

// draw returns the trouble in force, and whether this call's answer is lost and its execution late.
func (p *Port) draw() (t Trouble, lost, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.trouble.Lost > 0 && p.rand.Float64() < p.trouble.Lost
	return p.trouble, lost, lost && p.rand.IntN(2) == 0
}

// hold blocks a call without answer until its caller gives up.
func hold(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// ServeHTTP executes one call.
func (p *Port) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t, lost, late := p.draw()
	time.Sleep(p.store.limits.Delay + t.Slow)
	switch {
	case t.Refuse != 0:
		w.WriteHeader(t.Refuse)
		return
	case t.Silent:
		hold(r)
	case !p.store.admit(r, time.Now()):
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/kv-key":
		p.serveKey(w, r, lost)
	case r.Method == http.MethodGet && r.URL.Path == "/kv-range":
		p.serveRange(w, r, lost)
	case r.Method == http.MethodGet && r.URL.Path == "/kv-watch":
		p.serveWatch(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		p.serveTxn(w, r, lost, late)
	case strings.HasPrefix(r.URL.Path, "/kv-lease") || strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		p.serveLease(w, r, lost)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// admit reports whether the call is within the store's rates; renewals count as reads.
func (s *Store) admit(r *http.Request, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Query().Get("serializable") == "1":
		return true
	case r.Method == http.MethodGet || strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		return s.reads.take(now)
	default:
		return s.writes.take(now)
	}
}

func (p *Port) serveKey(w http.ResponseWriter, r *http.Request, lost bool) {
	p.store.mu.Lock()
	i := p.store.items[r.URL.Query().Get("key")]
	p.store.mu.Unlock()
	if lost {
		hold(r)
	}
	if i == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i.view(p.dc))
}

func (p *Port) serveRange(w http.ResponseWriter, r *http.Request, lost bool) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s := p.store
	s.mu.Lock()
	from, _ := slices.BinarySearch(s.keys, max(prefix, after))
	items, size, more := []json.RawMessage{}, 0, false
	for _, key := range s.keys[from:] {
		if key == after && after != "" {
			continue
		}
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key].view(p.dc))
		size += s.items[key].size
	}
	asOf := s.revision
	s.mu.Unlock()
	if lost {
		hold(r)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (p *Port) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("waitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer until.Stop()
	own := &waiter{prefix: q.Get("prefix"), woken: make(chan struct{}, 1)}
	p.store.listen(own, true)
	defer p.store.listen(own, false)
	for over := false; ; {
		p.mu.Lock()
		trouble, changed := p.trouble, p.changed
		p.mu.Unlock()
		if trouble.Silent {
			hold(r)
		}
		if trouble.Refuse != 0 {
			panic(http.ErrAbortHandler)
		}
		events, asOf, gone := p.store.since(own.prefix, after, p.dc)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-own.woken:
		case <-changed:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) listen(w *waiter, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.waiters[w] = true
	} else {
		delete(s.waiters, w)
	}
}

// since returns the events after a revision; gone means that the history doesn't reach back to it.
func (s *Store) since(prefix string, after int64, dc int) (events []json.RawMessage, asOf int64, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return nil, 0, true
	}
	events = []json.RawMessage{}
	from, _ := slices.BinarySearchFunc(s.history, after+1, func(i *item, revision int64) int { return int(i.Revision - revision) })
	for _, i := range s.history[from:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i.view(dc))
		}
	}
	return events, s.revision, false
}

func (p *Port) serveLease(w http.ResponseWriter, r *http.Request, lost bool) {
	s, now := p.store, time.Now()
	path, text, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	id, err := strconv.ParseInt(text, 10, 64)
	if text != "" && err != nil || text == "" && json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	l := s.leases[id]
	switch {
	case r.Method == http.MethodPost && path == "kv-lease":
		s.nextLease++
		id = s.nextLease
		l = &lease{ttl: min(max(time.Duration(body.TTL)*time.Millisecond, minTTL), maxTTL)}
		l.ends = now.Add(l.ttl)
		s.leases[id] = l
	case l == nil:
	case path == "kv-keep":
		l.ends = now.Add(l.ttl)
	default:
		s.endLease(id, now)
	}
	s.mu.Unlock()
	if lost {
		hold(r)
	}
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		panic(http.ErrAbortHandler)
	}
}
