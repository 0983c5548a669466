package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/sourcegraph/conc"
)

const (
	// commitTimeout bounds one group commit, including the time to resolve a lost response.
	commitTimeout = 5 * time.Second
	// maxShardBytes stays below the key-value store's limit of one megabyte per value.
	maxShardBytes = 900 << 10
)

// Change modifies one record in place; it must not keep the pointer, and an error leaves the record unchanged.
type Change[T any] func(record *T, exists bool) error

// shardContent is the stored form of a shard.
type shardContent[T any] struct {
	Records map[string]T `json:"records"`
}

// operation is one change that waits for its group commit; done receives the result.
type operation[T any] struct {
	id     string
	change Change[T]
	done   chan error
}

// Config sets where a table is stored and how its records expire.
type Config[T any] struct {
	// Prefix is the key prefix of the shards in the key-value store; it ends in a slash.
	Prefix string
	// Shards is the number of stored values that the records are spread over.
	Shards int
	Class  store.Class
	// Expired reports whether a record may be dropped.
	Expired func(record T, now time.Time) bool
	// Observe is called with the number of changes of each group commit.
	Observe func(operations int)
}

// shard is one value of the key-value store, with this instance's copy of its records and the pending changes.
type shard[T any] struct {
	key     string
	mu      sync.Mutex
	entry   store.Entry
	loaded  bool
	records map[string]T
	pending []operation[T]
	ready   chan struct{}
}

// Table is one instance's copy of all shards; changes are written through to the key-value store.
type Table[T any] struct {
	cfg    Config[T]
	client *store.Client
	now    func() time.Time
	shards []*shard[T]
	wg     conc.WaitGroup
	stop   context.CancelFunc
	done   chan struct{}
	// generation is incremented by every change of this instance's copy.
	generation atomic.Int64
	// loadMu guards loadedVersion, the version up to which Load has applied all changes.
	loadMu        sync.Mutex
	loadedVersion int64
}

// Generation returns a counter that every change of this instance's copy increments.
func (t *Table[T]) Generation() int64 { return t.generation.Load() }

// New returns a table whose commit loops run until Close.
func New[T any](cfg Config[T], client *store.Client, now func() time.Time) *Table[T] {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Table[T]{cfg: cfg, client: client, now: now, stop: cancel, done: make(chan struct{})}
	for i := range cfg.Shards {
		s := &shard[T]{key: fmt.Sprintf("%s%02d", cfg.Prefix, i), records: make(map[string]T), ready: make(chan struct{}, 1)}
		s.entry.Key = s.key
		t.shards = append(t.shards, s)
		t.wg.Go(func() { t.commitLoop(ctx, s) })
	}
	return t
}

// Close stops the commit loops.
func (t *Table[T]) Close() {
	t.stop()
	t.wg.Wait()
	close(t.done)
}

// Done returns a channel that is closed when the table has stopped.
func (t *Table[T]) Done() <-chan struct{} { return t.done }

func (t *Table[T]) shardOf(id string) *shard[T] {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return t.shards[h.Sum32()%uint32(len(t.shards))]
}

// Update applies the change to the record in the next group commit and waits for the result. It returns a store.UnknownError
// if ctx or the table ends first; the change may then still be committed.
func (t *Table[T]) Update(ctx context.Context, id string, change Change[T]) error {
	s := t.shardOf(id)
	op := operation[T]{id: id, change: change, done: make(chan error, 1)}
	s.mu.Lock()
	s.pending = append(s.pending, op)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
	select {
	case err := <-op.done:
		return err
	case <-ctx.Done():
		return &store.UnknownError{Key: s.key, Cause: ctx.Err()}
	case <-t.done:
		return &store.UnknownError{Key: s.key, Cause: errors.New("this instance is stopping")}
	}
}

func (t *Table[T]) commitLoop(ctx context.Context, s *shard[T]) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ready:
			t.commitPending(ctx, s)
		}
	}
}

// commitPending commits all pending changes of the shard in one write.
func (t *Table[T]) commitPending(ctx context.Context, s *shard[T]) {
	s.mu.Lock()
	group := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(group) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	results, err := t.commitGroup(ctx, s, group)
	for i, op := range group {
		if err != nil && results[i] == nil {
			op.done <- err
			continue
		}
		op.done <- results[i]
	}
	t.cfg.Observe(len(group))
}

// commitGroup repeats read, change and swap until no other instance writes in between.
func (t *Table[T]) commitGroup(ctx context.Context, s *shard[T], group []operation[T]) ([]error, error) {
	results := make([]error, len(group))
	for {
		fresh, err := t.loadShard(ctx, s)
		if err != nil {
			return results, err
		}
		entry, next := s.snapshot()
		changed := false
		for i, op := range group {
			results[i] = apply(next, op)
			changed = changed || results[i] == nil
		}
		if !changed && fresh {
			return results, nil
		}
		if !changed {
			// The refusal may be based on a stale copy, so the changes are applied again to a fresh one.
			s.invalidate()
			continue
		}
		t.expire(next)
		if err := checkSize(next); err != nil {
			return results, err
		}
		written, err := t.client.Swap(ctx, t.cfg.Class, entry, shardContent[T]{Records: next}, 0)
		var conflict *store.ConflictError
		switch {
		case err == nil && written.Superseded:
			s.invalidate()
			return results, nil
		case err == nil:
			s.set(written, next)
			t.generation.Add(1)
			return results, nil
		case errors.As(err, &conflict):
			s.invalidate()
		default:
			s.invalidate()
			return results, err
		}
	}
}

func apply[T any](records map[string]T, op operation[T]) error {
	record, exists := records[op.id]
	if err := op.change(&record, exists); err != nil {
		return err
	}
	records[op.id] = record
	return nil
}

func (t *Table[T]) expire(records map[string]T) {
	now := t.now()
	maps.DeleteFunc(records, func(_ string, r T) bool { return t.cfg.Expired(r, now) })
}

func checkSize[T any](records map[string]T) error {
	raw, err := json.Marshal(shardContent[T]{Records: records})
	if err != nil {
		return fmt.Errorf("table: encode: %w", err)
	}
	if len(raw) > maxShardBytes {
		return &ShardFullError{Bytes: len(raw)}
	}
	return nil
}

// loadShard reads the shard if this instance has no valid copy; fresh reports whether it was read.
func (t *Table[T]) loadShard(ctx context.Context, s *shard[T]) (fresh bool, err error) {
	s.mu.Lock()
	loaded := s.loaded
	s.mu.Unlock()
	if loaded {
		return false, nil
	}
	entry, err := t.client.Get(ctx, t.cfg.Class, s.key)
	if err != nil {
		return false, err
	}
	defer t.generation.Add(1)
	return true, s.applyEntry(entry)
}

func (s *shard[T]) applyEntry(entry store.Entry) error {
	var stored shardContent[T]
	if len(entry.Data) > 0 {
		if err := json.Unmarshal(entry.Data, &stored); err != nil {
			return &store.RecordError{Key: s.key, Problem: err.Error()}
		}
	}
	if stored.Records == nil {
		stored.Records = make(map[string]T)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.Version >= s.entry.Version {
		s.entry, s.records, s.loaded = entry, stored.Records, true
	}
	return nil
}

func (s *shard[T]) snapshot() (store.Entry, map[string]T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry, maps.Clone(s.records)
}

func (s *shard[T]) set(entry store.Entry, records map[string]T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.Version >= s.entry.Version {
		s.entry, s.records, s.loaded = entry, records, true
	}
}

func (s *shard[T]) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = false
}

// ApplyEntry applies a value that a watch returned; values of other prefixes are ignored.
func (t *Table[T]) ApplyEntry(entry store.Entry) error {
	for _, s := range t.shards {
		if s.key == entry.Key {
			defer t.generation.Add(1)
			return s.applyEntry(entry)
		}
	}
	if strings.HasPrefix(entry.Key, t.cfg.Prefix) {
		return &store.RecordError{Key: entry.Key, Problem: "no such shard"}
	}
	return nil
}

// Load applies all changes of the shards since the last Load, in one call to the store.
func (t *Table[T]) Load(ctx context.Context) error {
	t.loadMu.Lock()
	defer t.loadMu.Unlock()
	entries, version, err := t.client.Watch(ctx, t.cfg.Prefix, t.loadedVersion, 0)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := t.ApplyEntry(entry); err != nil {
			return err
		}
	}
	t.loadedVersion = version
	return nil
}

// Reload reads the record's shard from the store and returns the record; ok is false if there is none.
func (t *Table[T]) Reload(ctx context.Context, id string) (record T, ok bool, err error) {
	entry, err := t.client.Get(ctx, store.Other, t.shardOf(id).key)
	if err != nil {
		return record, false, err
	}
	if err := t.ApplyEntry(entry); err != nil {
		return record, false, err
	}
	record, ok = t.Get(id)
	return record, ok, nil
}

// Get returns this instance's copy of a record; the result is false if there is none.
func (t *Table[T]) Get(id string) (T, bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[id]
	return record, ok
}

// Each calls visit for this instance's copy of every record, in no particular order.
func (t *Table[T]) Each(visit func(T)) {
	for _, s := range t.shards {
		s.mu.Lock()
		records := s.records
		s.mu.Unlock()
		for _, record := range records {
			visit(record)
		}
	}
}

// ShardFullError reports that a shard would exceed the key-value store's limit for a value.
type ShardFullError struct{ Bytes int }

// Error gives the size and the limit in bytes.
func (e *ShardFullError) Error() string {
	return fmt.Sprintf("table: a shard of %d bytes would pass the limit of %d; wait until old records expire", e.Bytes, maxShardBytes)
}
