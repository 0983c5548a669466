package queue

import (
	"math"
	"time"
)

const (
	// priorJobs is the weight, in finished jobs, of the prior assumption that declared times are right.
	priorJobs = 3.0
	// minDeclared is the shortest declared time that counts as declared, and the minimum estimate of the remaining time.
	minDeclared = time.Second
	// defaultRunTime is assumed for a job that declares no run time.
	defaultRunTime = 10 * time.Minute
	// overrunShare is the remaining time of a job that has exceeded its estimate, as a share of its run time so far.
	overrunShare = 0.5
)

// logRatios sums the logarithms of actual over declared run time.
type logRatios struct {
	sum   float64
	count float64
}

// Estimator estimates run times from the declared ones and the past errors of each workspace.
type Estimator struct {
	byWorkspace map[string]*logRatios
	all         logRatios
}

// NewEstimator returns an estimator without history, which trusts declared times.
func NewEstimator() *Estimator {
	return &Estimator{byWorkspace: make(map[string]*logRatios)}
}

// Finished records the run time of a finished job; it ignores jobs that declare less than a second.
func (e *Estimator) Finished(spec *Spec, ran time.Duration) {
	if spec.Declared.Duration < minDeclared || ran <= 0 {
		return
	}
	ratio := math.Log(ran.Seconds() / spec.Declared.Seconds())
	own := e.byWorkspace[spec.Workspace]
	if own == nil {
		own = &logRatios{}
		e.byWorkspace[spec.Workspace] = own
	}
	own.sum += ratio
	own.count++
	e.all.sum += ratio
	e.all.count++
}

// Total estimates the total run time of a job from what it declares.
func (e *Estimator) Total(spec *Spec) time.Duration {
	declared := spec.Declared.Duration
	if declared < minDeclared {
		declared = defaultRunTime
	}
	shared := e.all.sum / (e.all.count + priorJobs)
	mean := shared
	if own := e.byWorkspace[spec.Workspace]; own != nil {
		mean = (own.sum + shared*priorJobs) / (own.count + priorJobs)
	}
	return time.Duration(float64(declared) * math.Exp(mean))
}

// Remaining estimates the run time that a job still needs; for a job past its estimate it is a share of the time so far.
func (e *Estimator) Remaining(j *Job, now time.Time) time.Duration {
	total := e.Total(&j.Spec)
	attained := j.Attained(now)
	return max(total-attained, time.Duration(overrunShare*float64(attained)), minDeclared)
}
