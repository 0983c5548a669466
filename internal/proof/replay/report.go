package replay

import (
	"math"
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/check"
)

// Spread is the distribution of a set of durations, in seconds.
type Spread struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Completion is the distribution of the time from submit to finish, over all jobs and by class.
type Completion struct {
	Spread
	ByClass map[string]Spread `json:"byClass"`
}

// Slowdown is the ratio of completion time to true run time.
type Slowdown struct {
	Mean float64 `json:"mean"`
	P95  float64 `json:"p95"`
}

// Starts is the distribution of the time from submit to the first start.
type Starts struct {
	Urgent Quantiles `json:"urgent"`
}

// Quantiles holds quantiles of waiting times, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Bound holds lower bounds that no schedule can beat; a makespan of 0 means that there is no bound.
type Bound struct {
	MeanCompletionSeconds float64 `json:"meanCompletionSeconds"`
	MakespanSeconds       float64 `json:"makespanSeconds"`
}

// Change is the work done while data centres leave and return, compared with the work that was possible.
type Change struct {
	Useful    float64 `json:"usefulAcceleratorSeconds"`
	Available float64 `json:"availableAcceleratorSeconds"`
	Ratio     float64 `json:"ratio"`
}

// Reclaim is the distribution of how long jobs within their guarantee waited to start.
type Reclaim struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50Seconds"`
	P99   float64 `json:"p99Seconds"`
	Max   float64 `json:"maxSeconds"`
}

// Micros holds quantiles of the time that a decision takes, in microseconds.
type Micros struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
}

// Report is the report of one replay, for one trace and one policy.
type Report struct {
	Trace       string `json:"trace"`
	Policy      string `json:"policy"`
	Jobs        int    `json:"jobs"`
	Finished    int    `json:"finished"`
	Cancelled   int    `json:"cancelled"`
	Interrupted int    `json:"interrupted"`
	Refused     int    `json:"refused"`
	Failed      int    `json:"failed"`
	Unfinished  int    `json:"unfinished"`
	Lost        int    `json:"lost"`
	RanTwice    int    `json:"ranTwice"`

	Completion    Completion `json:"completionSeconds"`
	Slowdown      Slowdown   `json:"slowdown"`
	Starts        Starts     `json:"startSeconds"`
	Makespan      float64    `json:"makespanSeconds"`
	LowerBound    Bound      `json:"lowerBound"`
	Fragmentation float64    `json:"fragmentation"`
	// Idle is the mean share of live accelerators that are free while a job waits.
	Idle       float64      `json:"idleWhileWaiting"`
	Useful     float64      `json:"usefulAcceleratorSeconds"`
	Wasted     float64      `json:"wastedAcceleratorSeconds"`
	Change     Change       `json:"dataCentreChange"`
	Reclaim    Reclaim      `json:"reclaim"`
	Violations check.Counts `json:"violations"`
	Decisions  int          `json:"decisions"`
	Micros     Micros       `json:"decisionMicros"`
}

func (s *sim) report(policy string, checker *check.Checker) Report {
	r := Report{Trace: s.trace.Header.Name, Policy: policy, Jobs: len(s.jobOrder), Violations: checker.Counts, Decisions: s.decisions}
	r.Lost, r.RanTwice = checker.Counts.Lost, checker.Counts.StartedTwice
	s.countOutcomes(&r)
	s.completions(&r)
	r.Starts.Urgent = s.urgentStarts()
	r.LowerBound.MeanCompletionSeconds, r.LowerBound.MakespanSeconds = s.lowerBounds()
	if s.metrics.waitingSeconds > 0 {
		r.Fragmentation = s.metrics.unusable / s.metrics.waitingSeconds
		r.Idle = s.metrics.idle / s.metrics.waitingSeconds
	}
	r.Useful, r.Wasted = s.metrics.usefulAndWasted()
	r.Change = Change{Useful: s.metrics.usefulDuringChange(), Available: s.metrics.available}
	if r.Change.Available > 0 {
		r.Change.Ratio = r.Change.Useful / r.Change.Available
	}
	waits := quantiles(checker.Reclaims)
	r.Reclaim = Reclaim{Count: len(checker.Reclaims), P50: waits.P50, P99: waits.P99, Max: waits.Max}
	r.Micros = Micros{P50: s.timer.Quantile(50).Microseconds(), P99: s.timer.Quantile(99).Microseconds()}
	return r
}

func (s *sim) countOutcomes(r *Report) {
	for _, j := range s.jobOrder {
		switch j.outcome {
		case queue.Finished:
			r.Finished++
			r.Makespan = max(r.Makespan, seconds(j.doneAt))
		case queue.Cancelled:
			r.Cancelled++
		case queue.Interrupted:
			r.Interrupted++
		case queue.Refused:
			r.Refused++
		case queue.Failed:
			r.Failed++
		default:
			r.Unfinished++
		}
	}
}

// completions fills in completion times and slowdowns. Unfinished and interrupted jobs count as open until the end of
// the replay, so that giving up a job never improves the figures.
func (s *sim) completions(r *Report) {
	var all, slow []float64
	byClass := make(map[string][]float64)
	for _, j := range s.jobOrder {
		if !j.isCounted() {
			continue
		}
		end := s.now
		if j.outcome == queue.Finished {
			end = j.doneAt
		}
		took := seconds(end - j.submit.When())
		all = append(all, took)
		slow = append(slow, took/j.submit.Actual.Seconds())
		class := j.submit.Class.String()
		byClass[class] = append(byClass[class], took)
	}
	r.Completion = Completion{Spread: summarize(all), ByClass: make(map[string]Spread)}
	for class, list := range byClass {
		r.Completion.ByClass[class] = summarize(list)
	}
	slows := summarize(slow)
	r.Slowdown = Slowdown{Mean: slows.Mean, P95: slows.P95}
}

func (s *sim) urgentStarts() Quantiles {
	var waits []time.Duration
	for _, j := range s.jobOrder {
		if j.submit.Class == queue.Urgent && j.started {
			waits = append(waits, j.firstStart-j.submit.When())
		}
	}
	return quantiles(waits)
}

func quantiles(waits []time.Duration) Quantiles {
	list := make([]float64, len(waits))
	for i, w := range waits {
		list[i] = w.Seconds()
	}
	s := summarize(list)
	return Quantiles{P50: s.P50, P99: s.P99, Max: s.Max}
}

func summarize(list []float64) Spread {
	if len(list) == 0 {
		return Spread{}
	}
	sorted := append([]float64(nil), list...)
	sort.Float64s(sorted)
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	return Spread{Mean: sum / float64(len(sorted)), P50: nearestRank(sorted, 0.50), P95: nearestRank(sorted, 0.95), P99: nearestRank(sorted, 0.99), Max: sorted[len(sorted)-1]}
}

// nearestRank returns the nearest-rank quantile of a sorted list, which must not be empty.
func nearestRank(sorted []float64, q float64) float64 {
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(at, 0)]
}
