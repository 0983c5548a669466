package store

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// item is one key in the platform's published form.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
	// views has the encoded item for each data centre, or one for all.
	views []json.RawMessage
	size  int
}

// view returns the encoded item as instances of the data centre see it.
func (i *item) view(dc int) json.RawMessage { return i.views[min(dc, len(i.views)-1)] }

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// write is a write of a transaction on the wire.
type write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
	// views are the values for each data centre, if they differ.
	views [][]byte
}

type waiter struct {
	prefix string
	woken  chan struct{}
}

// Limits are the rates and the history of a store.
type Limits struct {
	WritesPerS, ReadsPerS int
	Delay, History        time.Duration
}

// Store is linearizable and loses nothing that it has acknowledged.
type Store struct {
	limits Limits
	// OnCommit, if set, is called with the keys of each transaction of an instance, under the store's lock.
	OnCommit func(instance string, writes []string, deletes []string)
	// Views, if set, returns a value as instances of each data centre see it, or nil if all see the same.
	Views func(value []byte) [][]byte

	mu            sync.Mutex
	revision      int64
	items         map[string]*item
	keys          []string
	leases        map[int64]*lease
	nextLease     int64
	history       []*item
	forgotten     int64
	waiters       map[*waiter]bool
	down          bool
	pausesLeases  bool
	writes, reads bucket
	stop          chan struct{}
	done          chan struct{}
}

// New returns a store that has begun to expire leases; Close stops it.
func New(limits Limits) *Store {
	s := &Store{
		limits: limits, revision: 100, forgotten: 100, items: make(map[string]*item), leases: make(map[int64]*lease), nextLease: 1000,
		waiters: make(map[*waiter]bool), writes: bucket{rate: float64(limits.WritesPerS)}, reads: bucket{rate: float64(limits.ReadsPerS)},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Close stops the expiry of leases.
func (s *Store) Close() {
	close(s.stop)
	<-s.done
}

func (s *Store) run() {
	defer close(s.done)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			now := time.Now()
			s.expire(now, now.Sub(last))
			last = now
		}
	}
}

// expire ends the leases whose time is over and forgets old history.
func (s *Store) expire(now time.Time, passed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if s.down && s.pausesLeases {
			l.ends = l.ends.Add(passed)
		} else if now.After(l.ends) {
			s.endLease(id, now)
		}
	}
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > s.limits.History {
		old++
	}
	s.forget(old)
}

func (s *Store) forget(count int) {
	if count > 0 {
		s.forgotten = s.history[count-1].Revision
		s.history = slices.Delete(s.history, 0, count)
	}
}

// Compact discards the whole history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(len(s.history))
	s.wake("")
}

// SetDown makes the store unavailable to workers, and lets leases pause or expire meanwhile; the ports of instances have their own state.
func (s *Store) SetDown(down, pausesLeases bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.pausesLeases = down, pausesLeases
}

func (s *Store) endLease(id int64, now time.Time) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		sort.Strings(keys)
		s.apply(now, nil, keys)
	}
}

// apply makes one change and returns its revision.
func (s *Store) apply(now time.Time, writes []write, deletes []string) int64 {
	s.revision++
	for _, w := range writes {
		i := &item{Key: w.Key, Value: w.Value, Revision: s.revision, Created: s.revision, Lease: w.Lease, at: now}
		if old := s.items[w.Key]; old != nil {
			i.Created = old.Created
		} else {
			at, _ := slices.BinarySearch(s.keys, w.Key)
			s.keys = slices.Insert(s.keys, at, w.Key)
		}
		i.encode(w.views)
		s.items[w.Key] = i
		s.history = append(s.history, i)
		s.wake(w.Key)
	}
	for _, key := range deletes {
		if s.items[key] == nil {
			continue
		}
		delete(s.items, key)
		if at, found := slices.BinarySearch(s.keys, key); found {
			s.keys = slices.Delete(s.keys, at, at+1)
		}
		i := &item{Key: key, Revision: s.revision, Deleted: true, at: now}
		i.encode(nil)
		s.history = append(s.history, i)
		s.wake(key)
	}
	return s.revision
}

// encode fills in the views; the item has only fields that can be encoded.
func (i *item) encode(values [][]byte) {
	i.size = len(i.Value)
	if len(values) == 0 {
		values = [][]byte{i.Value}
	}
	for _, value := range values {
		seen := *i
		seen.Value = value
		data, err := json.Marshal(&seen)
		if err != nil {
			panic(err)
		}
		i.views = append(i.views, data)
	}
}

// wake wakes the watches of a key, or all if it is empty.
func (s *Store) wake(key string) {
	for w := range s.waiters {
		if key == "" || strings.HasPrefix(key, w.prefix) {
			select {
			case w.woken <- struct{}{}:
			default:
			}
		}
	}
}

// Put writes a key for the platform or an operator, even while the store is down for others.
func (s *Store) Put(now time.Time, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(now, []write{{Key: key, Value: data}}, nil)
	return nil
}

// Delete removes a key for the platform or an operator.
func (s *Store) Delete(now time.Time, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.apply(now, nil, []string{key})
	}
}

// Register writes a worker's entry, with its value for each data centre; it returns false while the store is down.
func (s *Store) Register(now time.Time, id string, values [][]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.apply(now, []write{{Key: "servers/" + id, Value: values[0], views: values}}, nil)
	return true
}

// ExpireEntries removes the entries of workers that were written before the given time.
func (s *Store) ExpireEntries(now, before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var old []string
	for key, i := range s.items {
		if strings.HasPrefix(key, "servers/") && i.at.Before(before) {
			old = append(old, key)
		}
	}
	sort.Strings(old)
	for _, key := range old {
		s.apply(now, nil, []string{key})
	}
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.items[key]; i != nil {
		return i.Value
	}
	return nil
}

// Copy writes the value of one key to another.
func (s *Store) Copy(now time.Time, from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.items[from]; i != nil {
		s.apply(now, []write{{Key: to, Value: i.Value}}, nil)
	}
}
