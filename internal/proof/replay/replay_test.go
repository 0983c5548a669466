package replay_test

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/proof/replay"
	"github.com/lentildeck/lentildeck/internal/proof/sample"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
	"gotest.tools/v3/assert"
)

const (
	tracesDir = "../../../traces/"
	// unseenSeed generates the scenarios with a seed on which no design choice is based.
	unseenSeed = 4711
)

// scenarios are the recorded traces of the present fleet size; twoyear is larger.
var scenarios = []string{"morning", "fragment", "borrow", "drain", "loss", "sizes", "badworkers", "cancels", "outage"}

// outcome is the expected outcome of a recorded trace, from its .outcome.json file.
type outcome struct {
	Jobs        int     `json:"jobs"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Unfinished  int     `json:"unfinished"`
	Lost        int     `json:"lost"`
	RanTwice    int     `json:"ranTwice"`
	Violations  int     `json:"violations"`
	UrgentStart float64 `json:"urgentStartMaxSeconds"`
}

func recorded(t *testing.T, name string) *trace.Trace {
	t.Helper()
	file, err := os.Open(filepath.Join(tracesDir, name+".jsonl"))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	parsed, err := trace.Read(file)
	assert.NilError(t, err)
	return parsed
}

func generated(t *testing.T, name string, seed uint64) *trace.Trace {
	t.Helper()
	var text bytes.Buffer
	assert.NilError(t, sample.Write(&text, name, seed))
	parsed, err := trace.Read(&text)
	assert.NilError(t, err)
	return parsed
}

// frozenClock does not advance, so that the decision times in the reports of two runs are equal.
func frozenClock() time.Time { return time.Time{} }

// results caches the reports, which several tests share.
var results sync.Map

func report(t *testing.T, parsed *trace.Trace, policy string) replay.Report {
	t.Helper()
	key := [3]any{parsed.Header.Name, parsed.Header.Seed, policy}
	if known, ok := results.Load(key); ok {
		return known.(replay.Report)
	}
	result, err := replay.Run(parsed, policy, frozenClock)
	assert.NilError(t, err)
	if policy == "default" {
		for _, v := range result.Violations {
			t.Errorf("%s: at %s job %s: %s: %s", parsed.Header.Name, v.Entry.At, v.Entry.Job, v.Promise, v.State)
		}
	}
	results.Store(key, result.Report)
	return result.Report
}

func TestRecordedTracesComeToTheirOutcome(t *testing.T) {
	for _, name := range append(scenarios, "twoyear") {
		t.Run(name, func(t *testing.T) {
			if name == "twoyear" && testing.Short() {
				t.Skip("long")
			}
			t.Parallel()
			text, err := os.ReadFile(filepath.Join(tracesDir, name+".outcome.json"))
			assert.NilError(t, err)
			var want outcome
			assert.NilError(t, json.Unmarshal(text, &want))
			got := report(t, recorded(t, name), "default")
			assert.Equal(t, got.Starts.Urgent.Max <= want.UrgentStart, true, "the slowest urgent start took %v s", got.Starts.Urgent.Max)
			assert.Equal(t, outcome{
				Jobs: got.Jobs, Refused: got.Refused, Failed: got.Failed, Unfinished: got.Unfinished, Lost: got.Lost,
				RanTwice: got.RanTwice, Violations: got.Violations.Total(), UrgentStart: want.UrgentStart,
			}, want)
		})
	}
}

func TestUnseenSeedsBreakNoPromise(t *testing.T) {
	for _, name := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := report(t, generated(t, name, unseenSeed), "default")
			assert.Equal(t, got.Violations.Total(), 0)
			assert.Equal(t, got.Unfinished, 0)
			assert.Equal(t, got.Starts.Urgent.Max <= 5.2, true, "the slowest urgent start took %v s", got.Starts.Urgent.Max)
		})
	}
}

// geometricMean returns the geometric mean of a figure over all scenarios, each with the recorded and the unseen seed;
// zero values are left out.
func geometricMean(t *testing.T, figure func(t *testing.T, parsed *trace.Trace) float64) float64 {
	sum, count := 0.0, 0.0
	for _, name := range scenarios {
		for _, parsed := range []*trace.Trace{recorded(t, name), generated(t, name, unseenSeed)} {
			value := figure(t, parsed)
			t.Logf("%s, seed %d: %.3f", name, parsed.Header.Seed, value)
			if value > 0 {
				sum += math.Log(value)
				count++
			}
		}
	}
	return math.Exp(sum / count)
}

func TestMeanCompletionAgainstBaselines(t *testing.T) {
	got := geometricMean(t, func(t *testing.T, parsed *trace.Trace) float64 {
		best := min(report(t, parsed, "fifo").Completion.Mean, report(t, parsed, "backfill").Completion.Mean)
		return report(t, parsed, "default").Completion.Mean / best
	})
	assert.Equal(t, got <= 0.70, true, "%.3f of the better baseline; at most 0.70", got)
}

func TestMeanCompletionAgainstLowerBound(t *testing.T) {
	got := geometricMean(t, func(t *testing.T, parsed *trace.Trace) float64 {
		r := report(t, parsed, "default")
		return r.Completion.Mean / r.LowerBound.MeanCompletionSeconds
	})
	assert.Equal(t, got <= 1.3, true, "%.3f of the lower bound; at most 1.3", got)
}

func TestFragmentationAgainstBaselines(t *testing.T) {
	got := geometricMean(t, func(t *testing.T, parsed *trace.Trace) float64 {
		base := report(t, parsed, "backfill")
		if first := report(t, parsed, "fifo"); first.Completion.Mean < base.Completion.Mean {
			base = first
		}
		return report(t, parsed, "default").Fragmentation / base.Fragmentation
	})
	assert.Equal(t, got <= 0.5, true, "%.3f of the better baseline; at most 0.5", got)
}

func TestWorkDuringChangeAgainstBaselines(t *testing.T) {
	got := geometricMean(t, func(t *testing.T, parsed *trace.Trace) float64 {
		best := max(report(t, parsed, "fifo").Change.Useful, report(t, parsed, "backfill").Change.Useful)
		if best == 0 {
			return 0
		}
		return report(t, parsed, "default").Change.Useful / best
	})
	assert.Equal(t, got >= 1.1, true, "%.3f of the better baseline; at least 1.1", got)
}

func TestLowerBoundHoldsForTruncatedTrace(t *testing.T) {
	full := recorded(t, "borrow")
	for _, at := range []time.Duration{time.Hour, 3 * time.Hour, 9 * time.Hour} {
		cut := &trace.Trace{Header: full.Header}
		for _, e := range full.Events {
			if e.When() <= at {
				cut.Events = append(cut.Events, e)
			}
		}
		cut.Events = append(cut.Events, trace.End{At: trace.At{At: span.Of(at), Kind: "end"}})
		for _, policy := range []string{"fifo", "backfill", "default"} {
			result, err := replay.Run(cut, policy, frozenClock)
			assert.NilError(t, err)
			r := result.Report
			assert.Equal(t, r.Unfinished > 0, true)
			assert.Equal(t, r.Completion.Mean >= r.LowerBound.MeanCompletionSeconds, true, "%s cut at %s: %v < %v", policy, at, r.Completion.Mean, r.LowerBound.MeanCompletionSeconds)
		}
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	first, err := replay.Run(recorded(t, "loss"), "default", frozenClock)
	assert.NilError(t, err)
	second, err := replay.Run(recorded(t, "loss"), "default", frozenClock)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}

func TestLowerBoundIsBelowEverySchedule(t *testing.T) {
	for _, name := range scenarios {
		parsed := recorded(t, name)
		for _, policy := range []string{"fifo", "backfill", "default"} {
			r := report(t, parsed, policy)
			assert.Equal(t, r.Completion.Mean >= r.LowerBound.MeanCompletionSeconds, true, "%s %s", name, policy)
			assert.Equal(t, r.Makespan >= r.LowerBound.MakespanSeconds, true, "%s %s", name, policy)
		}
	}
}
