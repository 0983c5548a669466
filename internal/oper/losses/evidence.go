package losses

import (
	"slices"
	"time"
)

// evidence holds what explains delays of all jobs.
type evidence struct {
	ownerGaps   []interval
	storeFaults []time.Time
	// dataCentres are those of the workers, workerFaults the faults in each.
	dataCentres  map[string]string
	workerFaults map[string][]workerFault
	end          time.Time
}

// minCutOff is how many workers of a data centre must be silent at a time for the data centre to count as cut off.
const minCutOff = 3

// silence returns the cause of a delay by a silent worker: CutOff if others of its data centre were silent as well.
func (c *evidence) silence(worker string, from, to time.Time) Cause {
	silent := make(map[string]bool)
	for _, fault := range c.workerFaults[c.dataCentres[worker]] {
		if within([]time.Time{fault.at}, interval{from, to}) {
			silent[fault.worker] = true
		}
	}
	if len(silent) >= minCutOff {
		return CutOff
	}
	return WorkerSilent
}

// silenceOr returns the cause of the attempt's end, which is the silence of a worker or another one.
func (c *evidence) silenceOr(a *attempt, from, to time.Time) Cause {
	if a.cause == WorkerSilent {
		return c.silence(a.worker, from, to)
	}
	return a.cause
}

// storeOr returns StoreAway if the store failed around the interval, and the other cause if not.
func (c *evidence) storeOr(other Cause, from, to time.Time) Cause {
	if within(c.storeFaults, interval{from, to}) {
		return StoreAway
	}
	return other
}

// storeIfUnknown returns StoreAway for a delay without a cause around a fault of the store.
func (c *evidence) storeIfUnknown(cause Cause, from, to time.Time) Cause {
	if cause == Unexplained {
		return c.storeOr(cause, from, to)
	}
	return cause
}

// faultNear is how far a fault's line may lie before a delay that it explains: a failed call is logged when it times out.
const faultNear = 1500 * time.Millisecond

// within reports whether any of the times lies in the interval or shortly before it.
func within(times []time.Time, span interval) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool {
		return at.After(span.from.Add(-faultNear)) && !at.After(span.to.Add(faultNear))
	})
}
