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

// item is a key with its value, as PROTOCOL.md says.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// change is an event of the history: an item as it was written, or a deletion.
type change struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store. It answers after 4 ms, keeps its whole history and refuses nothing.
type store struct {
	mu      sync.Mutex
	cond    *sync.Cond
	rev     int64
	items   map[string]*item
	history []change
	leases  map[int64]*lease
	nextID  int64
	// onWrite is called, with mu held, for each written or deleted key.
	onWrite func(c change)
}

const storeDelay = 4 * time.Millisecond

func newStore() *store {
	s := &store{rev: 100, items: map[string]*item{}, leases: map[int64]*lease{}, nextID: 7000}
	s.cond = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.cond.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases whose time is over, and removes their keys. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	for _, key := range keys {
		s.remove(key)
	}
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	c := change{item: item{Key: key, Revision: s.rev}, Deleted: true}
	s.history = append(s.history, c)
	if s.onWrite != nil {
		s.onWrite(c)
	}
}

func (s *store) set(key string, value []byte, leaseID int64) {
	it := &item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: leaseID}
	if old := s.items[key]; old != nil {
		it.Created = old.Created
	}
	s.items[key] = it
	c := change{item: *it}
	s.history = append(s.history, c)
	if s.onWrite != nil {
		s.onWrite(c)
	}
}

// put writes a key for the operator or a runner; its return is the confirmation.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data, 0)
	s.cond.Broadcast()
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.rev++
		s.remove(key)
		s.cond.Broadcast()
	}
}

// value returns a key's value, nil if it does not exist.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.Value
	}
	return nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const pageItems = 500

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && r.URL.Path == "/kv-key":
		s.mu.Lock()
		it := s.items[q.Get("key")]
		asOf := s.rev
		s.mu.Unlock()
		if it == nil {
			reply(w, 404, map[string]any{"asOf": asOf})
			return
		}
		reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "asOf": asOf})
	case r.Method == "GET" && r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.Method == "GET" && r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.Method == "POST" && r.URL.Path == "/kv-txn":
		s.serveTransaction(w, r)
	case r.Method == "POST" && r.URL.Path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		ttl := min(max(body.TTL, 1000), 600_000)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		d := time.Duration(ttl) * time.Millisecond
		s.leases[id] = &lease{ttl: d, ends: time.Now().Add(d)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttlMs": ttl})
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		known := s.leases[id] != nil
		s.endLease(id)
		s.cond.Broadcast()
		s.mu.Unlock()
		if !known {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
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
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := make([]item, 0, len(keys))
	for _, key := range keys {
		items = append(items, *s.items[key])
	}
	asOf := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	until := time.Now().Add(min(wait, 30*time.Second))
	s.mu.Lock()
	var events []change
	for {
		at := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, c := range s.history[at:] {
			if strings.HasPrefix(c.Key, prefix) {
				events = append(events, c)
			}
		}
		if len(events) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		s.cond.Wait()
	}
	asOf := s.rev
	s.mu.Unlock()
	out := make([]any, 0, len(events))
	for _, c := range events {
		if c.Deleted {
			out = append(out, map[string]any{"key": c.Key, "revision": c.Revision, "deleted": true})
		} else {
			out = append(out, c.item)
		}
	}
	reply(w, 200, map[string]any{"events": out, "asOf": asOf})
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
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
	if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Expected)+len(tx.Writes)+len(tx.Deletes) > 32 {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, x := range tx.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	holds := true
	items := make([]item, 0, len(tx.Expected))
	for _, x := range tx.Expected {
		it := s.items[x.Key]
		if it == nil {
			it = &item{Key: x.Key}
		}
		holds = holds && it.Revision == x.Revision
		items = append(items, *it)
	}
	if !holds {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	s.rev++
	for _, x := range tx.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, key := range tx.Deletes {
		s.remove(key)
	}
	s.cond.Broadcast()
	reply(w, 200, map[string]any{"revision": s.rev})
}
