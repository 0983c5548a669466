package group

import (
	"cmp"
	"slices"
)

const (
	// minKnownCertainty is the certainty from which a worker's speed counts as known: two samples of gangs reach it, so that one
	// sample of whole percents, which is off by up to an eighth, does not.
	minKnownCertainty = 0.5
	// minShareOfKnown is the share of its known speed below which a worker counts as having become slower. Samples of whole percents
	// are off by up to an eighth.
	minShareOfKnown = 0.8
)

// workerSpeed is what the owner knows of a worker's speed relative to the others; the average is 1.
type workerSpeed struct {
	// value is the mean of the samples, completed by the expected speed as far as samples are missing.
	value float64
	// certainty is the share of the value that stems from samples, from 0 without any to 1.
	certainty float64
	// expected is the speed that is expected without samples, 1 unless the worker's labels predict another; expectedCertainty is how
	// certain that is.
	expected          float64
	expectedCertainty float64
}

// unknownSpeed returns the speed of a worker without samples.
func unknownSpeed() workerSpeed { return workerSpeed{value: 1, expected: 1} }

// confidence is the certainty of the value, which stems from samples and what is expected.
func (s workerSpeed) confidence() float64 {
	return s.certainty + (1-s.certainty)*s.expectedCertainty
}

// known reports whether the speed may be relied on, as the worker was sampled enough or its labels predict its speed.
func (s workerSpeed) known() bool { return s.confidence() >= minKnownCertainty }

// explains reports whether a sampled speed is no slower than what was known.
func (s workerSpeed) explains(sample float64) bool {
	return s.known() && sample >= minShareOfKnown*s.best()
}

// best returns the best estimate of the speed: without a prediction, that of the samples alone.
func (s workerSpeed) best() float64 {
	if s.expectedCertainty > 0 || s.certainty == 0 {
		return s.value
	}
	return s.sampled()
}

// sampled returns the mean of the samples alone; the worker must have one.
func (s workerSpeed) sampled() float64 {
	return (s.value - (1-s.certainty)*s.expected) / s.certainty
}

// add takes a sample with a weight below 1.
func (s *workerSpeed) add(sample, weight float64) {
	s.value += weight * (sample - s.value)
	s.certainty += weight * (1 - s.certainty)
}

// expect changes the speed that is expected without samples.
func (s *workerSpeed) expect(speed, certainty float64) {
	s.value += (1 - s.certainty) * (speed - s.expected)
	s.expected, s.expectedCertainty = speed, certainty
}

// baseRate is the rate of the members' work on a worker of speed 1. Members on workers of known speed count for more, as a gang on
// unknown slow workers would make them seem average.
func baseRate(members []*Member) float64 {
	type weighted struct{ rate, weight float64 }
	rates := make([]weighted, len(members))
	total := 0.0
	for i, m := range members {
		rates[i] = weighted{rate: m.rate / m.Worker.speed.value, weight: minBaseWeight + m.Worker.speed.confidence()}
		total += rates[i].weight
	}
	slices.SortFunc(rates, func(a, b weighted) int { return cmp.Compare(a.rate, b.rate) })
	sum := 0.0
	for _, r := range rates {
		if sum += r.weight; sum > total/2 {
			return r.rate
		}
	}
	return rates[len(rates)-1].rate
}

// minBaseWeight is the weight of a worker without samples in a base rate; one whose speed is certain has about four times as much.
const minBaseWeight = 0.3
