package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as PROTOCOL.md shows it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type change struct {
	at   time.Time
	item item
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// kvStore is a stand-in for the platform's metadata store. It is linearizable: one lock guards everything.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]*lease
	nextID   int64
	history  []change
	// kept is the revision after which history is complete.
	kept    int64
	changed chan struct{}
	// down makes the store answer 503 to every call since downAt; leases pause meanwhile.
	down   bool
	downAt time.Time
	// onCall, if set, may replace the handling of a call of a daemon; it reports whether it did.
	onCall func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

func newStore() *kvStore {
	s := &kvStore{revision: 100, kept: 100, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 1, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

func (s *kvStore) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if !s.down && now.After(l.ends) {
			s.endLease(id)
		}
	}
	cut := 0
	for cut < len(s.history) && now.Sub(s.history[cut].at) > 20*time.Second {
		s.kept = s.history[cut].item.Revision
		cut++
	}
	s.history = s.history[cut:]
}

// setDown begins or ends an outage.
func (s *kvStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		s.downAt = time.Now()
	}
	if !down && s.down {
		for _, l := range s.leases {
			l.ends = l.ends.Add(time.Since(s.downAt))
		}
	}
	s.down = down
}

func (s *kvStore) endLease(id int64) {
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

// apply makes one change of the store; the caller holds the lock.
func (s *kvStore) apply(writes []item, deletes []string) int64 {
	s.revision++
	now := time.Now()
	for _, w := range writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, change{now, w})
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, change{now, item{Key: key, Revision: s.revision, Deleted: true}})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes a key as the operator or a runner does, and returns its revision.
func (s *kvStore) put(key string, value any) int64 {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply([]item{{Key: key, Value: data}}, nil)
}

func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(nil, []string{key})
	}
}

func (s *kvStore) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

func (s *kvStore) serve(l net.Listener) { _ = http.Serve(l, s) }

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	if strings.HasPrefix(r.URL.Path, "/runner/") {
		// A runner's check-in; the store accepts it like a write.
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			reply(w, 503, map[string]any{})
			return
		}
		id := strings.TrimPrefix(r.URL.Path, "/runner/")
		if r.Method == http.MethodDelete {
			s.remove("servers/" + id)
		} else {
			s.put("servers/"+id, json.RawMessage(body))
		}
		reply(w, 200, map[string]any{})
		return
	}
	if s.onCall != nil && s.onCall(w, r, body) {
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		reply(w, 503, map[string]any{})
		return
	}
	s.handle(w, r, body)
}

func (s *kvStore) handle(w http.ResponseWriter, r *http.Request, body []byte) {
	time.Sleep(2 * time.Millisecond)
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"asOf": asOf})
			return
		}
		reply(w, 200, struct {
			item
			AsOf int64 `json:"asOf"`
		}{it, asOf})
	case r.URL.Path == "/kv-range":
		s.rangeKeys(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.txn(w, body)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.Unmarshal(body, &in)
		in.TTL = max(in.TTL, 1000)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &lease{time.Duration(in.TTL) * time.Millisecond, time.Now().Add(time.Duration(in.TTL) * time.Millisecond)}
		s.mu.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttlMs": in.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		if strings.HasPrefix(r.URL.Path, "/kv-keep/") {
			l.ends = time.Now().Add(l.ttl)
		} else {
			s.endLease(id)
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *kvStore) rangeKeys(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			reply(w, 503, map[string]any{})
			return
		}
		if after < s.kept {
			s.mu.Unlock()
			reply(w, 410, map[string]any{})
			return
		}
		events := []item{}
		for _, c := range s.history {
			if c.item.Revision > after && strings.HasPrefix(c.item.Key, prefix) {
				events = append(events, c.item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *kvStore) txn(w http.ResponseWriter, body []byte) {
	status, answer := s.commit(body)
	reply(w, status, answer)
}

// commit executes a transaction and returns the answer.
func (s *kvStore) commit(body []byte) (int, any) {
	var in txn
	if json.Unmarshal(body, &in) != nil || len(in.Expected)+len(in.Writes)+len(in.Deletes) > 32 {
		return 400, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, x := range in.Expected {
		it, ok := s.items[x.Key]
		if !ok {
			it = item{Key: x.Key}
		}
		holds = holds && it.Revision == x.Revision
		current = append(current, it)
	}
	if !holds {
		return 412, map[string]any{"items": current}
	}
	var writes []item
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return 403, map[string]any{}
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return 404, map[string]any{}
		}
		writes = append(writes, item{Key: x.Key, Value: x.Value, Lease: x.Lease})
	}
	return 200, map[string]any{"revision": s.apply(writes, in.Deletes)}
}
