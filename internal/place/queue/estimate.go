package queue

import (
	"math"
	"time"
)

const (
	// priorWeight is how many finished jobs the belief "declared times are right" counts for.
	priorJobs = 3.0
	// minDeclared keeps estimates of undeclared jobs above zero.
	minDeclared = time.Second
	// undeclared is assumed for a job that declares no run time.
	defaultRunTime = 10 * time.Minute
	// overrun is the remaining share assumed for a job that has outlived its estimate.
	overrunShare = 0.5
)

// learned sums the logarithms of actual over declared.
type logRatios struct {
	sum   float64
	count float64
}

// Estimator learns how far each workspace's declared run times are off.
type Estimator struct {
	byWorkspace map[string]*logRatios
	all         logRatios
}

// NewEstimator returns an estimator that trusts declared times until it learns better.
func NewEstimator() *Estimator {
	return &Estimator{byWorkspace: make(map[string]*logRatios)}
}

// Finished records the true run time of a finished job.
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

// Total estimates the whole run time of a job from what it declares.
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

// Remaining estimates the run time that a job still needs; a job past its estimate is expected to go on in proportion.
func (e *Estimator) Remaining(j *Job, now time.Time) time.Duration {
	total := e.Total(&j.Spec)
	attained := j.Attained(now)
	return max(total-attained, time.Duration(overrunShare*float64(attained)), minDeclared)
}
