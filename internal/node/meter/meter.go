package meter

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicroseconds and maxMicroseconds limit the recorded durations.
	minMicroseconds = 1
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 3
)

// root holds the metrics of all instances in the process.
var root = expvar.NewMap("lentildeck")

// Timer records durations in a histogram; its methods may be called concurrently.
type Timer struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewTimer returns an empty timer.
func NewTimer() *Timer {
	return &Timer{hist: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
}

// Record records one duration; it is limited to between one microsecond and ten minutes.
func (t *Timer) Record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// RecordValue fails only for values outside the limits, which min and max exclude.
	_ = t.hist.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// Quantile returns the duration that q percent of the recorded durations do not exceed.
func (t *Timer) Quantile(q float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.hist.ValueAtQuantile(q)) * time.Microsecond
}

// String returns the count, and percentiles in microseconds, as JSON; it implements expvar.Var.
func (t *Timer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hist
	return fmt.Sprintf(`{"count":%d,"p50":%d,"p95":%d,"p99":%d,"max":%d}`,
		h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max())
}

// Metrics has the metrics of one instance.
type Metrics struct {
	vars *expvar.Map
	// Quick records the time of quick requests from their arrival to the complete answer.
	Quick *Timer
	// Groups records the number of changes in each group commit, one microsecond for each change.
	Groups *Timer
	// Decisions records the duration of the owner's decisions.
	Decisions *Timer
}

// New returns empty metrics that are published under the instance's name.
func New(instance string) *Metrics {
	s := &Metrics{vars: new(expvar.Map), Quick: NewTimer(), Groups: NewTimer(), Decisions: NewTimer()}
	s.vars.Set("quickMicroseconds", s.Quick)
	s.vars.Set("groupCommitChanges", s.Groups)
	s.vars.Set("decisionMicroseconds", s.Decisions)
	root.Set(instance, s.vars)
	return s
}

// Count adds one to the named counter.
func (s *Metrics) Count(name string) { s.vars.Add(name, 1) }

// Group records the number of changes in one group commit.
func (s *Metrics) Group(changes int) { s.Groups.Record(time.Duration(changes) * time.Microsecond) }

// Publish adds a value that is computed each time it is read.
func (s *Metrics) Publish(name string, value func() any) { s.vars.Set(name, expvar.Func(value)) }

// String returns the metrics as JSON.
func (s *Metrics) String() string { return s.vars.String() }
