package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, in the form of PROTOCOL.md.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

const (
	storeDelay = 4 * time.Millisecond
	historyFor = 20 * time.Second
	valueBytes = 1 << 20
	pageItems  = 500
	pageBytes  = 1 << 20
)

type pastEvent struct {
	at time.Time
	item
}

// store is a stand-in for the platform's metadata store: linearizable, nothing acknowledged is lost.
type store struct {
	rec *recorder

	mu        sync.Mutex
	revision  int64
	items     map[string]*item
	leases    map[int64]*lease
	nextLease int64
	history   []pastEvent
	forgotten int64 // the last revision whose event is no longer in history
	changed   chan struct{}
}

func newStore(rec *recorder) *store {
	s := &store{rec: rec, revision: 100, forgotten: 100, items: map[string]*item{}, leases: map[int64]*lease{}, nextLease: 1000, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

// expire ends the leases whose time is over and forgets old history. The caller must not hold the lock.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyFor {
		s.forgotten = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// endLease removes a lease and its keys, with the lock held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

type write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// apply makes one change, with the lock held, and returns its revision.
func (s *store) apply(writes []write, deletes []string) int64 {
	s.revision++
	now := time.Now()
	for _, w := range writes {
		it := &item{Key: w.Key, Value: w.Value, Revision: s.revision, Created: s.revision, Lease: w.Lease}
		if old := s.items[w.Key]; old != nil {
			it.Created = old.Created
		}
		s.items[w.Key] = it
		s.history = append(s.history, pastEvent{now, *it})
	}
	for _, key := range deletes {
		if s.items[key] != nil {
			delete(s.items, key)
			s.history = append(s.history, pastEvent{now, item{Key: key, Revision: s.revision, Deleted: true}})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put is a write by the platform or the operator; the return is the confirmation.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]write{{Key: key, Value: data}}, nil)
}

// owner returns the value of the key "owner", which the instance that decides holds.
func (s *store) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items["owner"]; it != nil {
		return string(it.Value)
	}
	return ""
}

// port is the way of one machine to the store, on which troubles are played.
type port struct {
	store *store
	// loseAnswer, if set, is asked for each transaction that was executed; true: its answer is lost.
	loseAnswer func(writes []write) bool
}

func (p *port) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s := p.store
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && r.URL.Path == "/kv-key":
		s.mu.Lock()
		it := s.items[q.Get("key")]
		s.mu.Unlock()
		if it == nil {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, it)
	case r.Method == "GET" && r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.Method == "GET" && r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.Method == "POST" && r.URL.Path == "/kv-txn":
		p.serveTxn(w, r)
	case r.Method == "POST" && r.URL.Path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(400)
			return
		}
		ttl := time.Duration(min(max(body.TTL, 1000), 600000)) * time.Millisecond
		s.mu.Lock()
		s.nextLease++
		id := s.nextLease
		s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, known := s.leases[id]
		if known {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !known {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, map[string]any{})
	default:
		w.WriteHeader(400)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	size := 0
	more := false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, *s.items[key])
		size += len(s.items[key].Value)
	}
	asOf := s.revision
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	until := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(410)
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-until:
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *port) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Writes  []write  `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.Writes)+len(body.Deletes) > 32 {
		w.WriteHeader(400)
		return
	}
	for _, x := range body.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(403)
			return
		}
		if len(x.Value) > valueBytes || len(x.Key) > 200 {
			w.WriteHeader(400)
			return
		}
	}
	s := p.store
	s.mu.Lock()
	for _, x := range body.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			s.mu.Unlock()
			w.WriteHeader(404)
			return
		}
	}
	refused := false
	current := []item{}
	for _, x := range body.Expected {
		it := s.items[x.Key]
		if it == nil {
			refused = refused || x.Revision != 0
			continue
		}
		refused = refused || x.Revision != it.Revision
		current = append(current, *it)
	}
	if refused {
		s.mu.Unlock()
		reply(w, 412, map[string]any{"items": current})
		return
	}
	revision := s.apply(body.Writes, body.Deletes)
	s.mu.Unlock()
	if p.loseAnswer != nil && p.loseAnswer(body.Writes) {
		// A channel on which a response is lost returns nothing further.
		<-r.Context().Done()
		return
	}
	reply(w, 200, map[string]any{"revision": revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
