package caller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
)

// Arrival is a job and the time after the start of the traffic at which its caller first sends it.
type Arrival struct {
	At  time.Duration
	Job *trail.Job
	// CancelAfter is when the caller cancels the job after its acceptance; zero: never.
	CancelAfter time.Duration
}

// Arrivals draws the jobs of a day.
func Arrivals(s site.Site, random *rand.Rand) []Arrival {
	var list []Arrival
	for _, q := range s.Queues {
		for at := gap(random, q.Rate); at < s.Traffic; at += gap(random, q.Rate) {
			a := Arrival{At: at, Job: draw(s, q, random)}
			if random.Float64() < q.Cancel {
				a.CancelAfter = time.Duration(200+random.IntN(4000)) * time.Millisecond
			}
			list = append(list, a)
		}
	}
	return list
}

func gap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// spread draws from a log-normal distribution with the given mean.
func spread(random *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
}

func draw(s site.Site, q site.Queue, random *rand.Rand) *trail.Job {
	j := &trail.Job{
		ID: fmt.Sprintf("%016x", random.Uint64()), Queue: q.Name, Prefix: q.Prefix, MaxAttempts: q.MaxAttempts,
		// A few of the workspaces are large.
		Key: site.Key(int(float64(s.Workspaces) * math.Pow(random.Float64(), 2))),
	}
	j.Payload = fmt.Sprintf("payload of %s: %x", j.ID, random.Uint64())
	steps := 1
	if random.Float64() < q.SecondStep {
		steps = 2
	}
	for n := range steps {
		step := trail.Step{
			MilliCores: q.MilliCores, MemMB: q.MemMB, Accelerators: q.Accelerators[random.IntN(len(q.Accelerators))],
			Gang: random.Float64() < q.Gang, Checkpoints: random.Float64() < q.Checkpoints, FailShare: q.FailShare,
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		// The shortest tasks that the distribution yields are not useful as jobs.
		work := min(time.Duration(spread(random, float64(q.Work), 0.3)), q.MaxWork)
		step.Estimate = time.Duration(spread(random, float64(work), 0.5))
		for range min(max(int(spread(random, float64(q.Width), 0.8)), 1), q.MaxWidth) {
			step.Work = append(step.Work, min(max(time.Duration(spread(random, float64(work), 0.2)), 50*time.Millisecond), q.MaxWork))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// Planted are planted faults of the callers, to try the checks.
type Planted struct {
	// Unordered leaves out which steps come first, Altered sends another payload.
	Unordered, Altered bool
}

// body returns the job as it is submitted.
func body(j *trail.Job, planted Planted) map[string]any {
	payload := j.Payload
	if planted.Altered {
		payload += "!"
	}
	steps := []map[string]any{}
	for _, s := range j.Steps {
		step := map[string]any{
			"count": len(s.Work), "cpu": s.MilliCores, "memMb": s.MemMB, "gpu": s.Accelerators, "estimateMs": s.Estimate.Milliseconds(),
		}
		if len(s.After) > 0 && !planted.Unordered {
			step["after"] = s.After
		}
		if s.Gang {
			step["gang"] = true
		}
		if s.Checkpoints {
			step["checkpointing"] = true
		}
		steps = append(steps, step)
	}
	return map[string]any{"spec": payload, "steps": steps}
}
