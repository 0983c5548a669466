package meter

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowest and highest bound the recorded durations, in microseconds.
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	// digits is the precision of the histograms.
	digits = 3
)

// root holds the sets of all instances of the process.
var root = expvar.NewMap("lentildeck")

// Timer records durations.
type Timer struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewTimer returns an empty timer.
func NewTimer() *Timer { return &Timer{hist: hdrhistogram.New(lowest, highest, digits)} }

// Add records one duration; longer ones than ten minutes count as ten minutes.
func (t *Timer) Add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// RecordValue fails only outside the bounds, which min and max exclude.
	_ = t.hist.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// Quantile returns the duration that the share q of all recorded ones does not exceed, q from 0 to 100.
func (t *Timer) Quantile(q float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.hist.ValueAtQuantile(q)) * time.Microsecond
}

// String returns count and percentiles in microseconds as JSON, as expvar asks.
func (t *Timer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hist
	return fmt.Sprintf(`{"count":%d,"p50":%d,"p95":%d,"p99":%d,"max":%d}`,
		h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max())
}

// Set is the metrics of one instance.
type Set struct {
	vars *expvar.Map
	// Quick times quick requests from their arrival to the whole answer, in microseconds.
	Quick *Timer
	// Groups counts the changes of each group commit.
	Groups *Timer
	// Decisions times the owner's decisions.
	Decisions *Timer
}

// New publishes a set under the instance's name.
func New(instance string) *Set {
	s := &Set{vars: new(expvar.Map), Quick: NewTimer(), Groups: NewTimer(), Decisions: NewTimer()}
	s.vars.Set("quickMicroseconds", s.Quick)
	s.vars.Set("groupCommitChanges", s.Groups)
	s.vars.Set("decisionMicroseconds", s.Decisions)
	root.Set(instance, s.vars)
	return s
}

// Count adds one to the named counter.
func (s *Set) Count(name string) { s.vars.Add(name, 1) }

// Group records the size of one group commit.
func (s *Set) Group(changes int) { s.Groups.Add(time.Duration(changes) * time.Microsecond) }

// Publish adds a value that is worked out when it is read.
func (s *Set) Publish(name string, value func() any) { s.vars.Set(name, expvar.Func(value)) }

// String returns the set as JSON.
func (s *Set) String() string { return s.vars.String() }
