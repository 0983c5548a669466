package store

import "time"

const (
	// paceInstances is the number of instances up to which each calls at the base interval: their calls are few.
	paceInstances = 8
	// maxPace is how many times the base interval may become: a configuration that is read every 0.4 s is then read every 1.2 s, which
	// leaves time for two failed reads before keys are refused, after 3 s.
	maxPace = 3
)

// Pace returns the interval at which each of the instances makes a call that all of them make: base for a few instances, longer for more,
// so that their calls together do not grow with their number until maxPace is reached.
func Pace(base time.Duration, instances int) time.Duration {
	return base * time.Duration(min(max(instances, paceInstances), maxPace*paceInstances)) / paceInstances
}
