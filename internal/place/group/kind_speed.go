package group

import (
	"math"
	"slices"
	"time"
)

const (
	// kindInterval is the minimum time between two estimates of the speeds of kinds, which examine all workers.
	kindInterval = time.Second
	// minKindSamples is how many workers with a label must have a known speed for the label to predict the others' speed: with one slow
	// worker in four, as many are all slow by chance once in 4,000 times.
	minKindSamples = 6
	// minKindShare is the share of them whose speed may differ by kindTolerance at most from their median. The others may have turned
	// slow. Speeds from samples of whole percents differ by about as much.
	minKindShare  = 0.9
	kindTolerance = 0.1
	// kindCertainty is the certainty of a speed that only a label predicts: just enough for it to be known.
	kindCertainty = minKnownCertainty
)

// workerKind is a label of workers of one service, such as their kind or rack.
type workerKind struct{ service, label string }

// kindSpeed is the speed that a label predicts, from the number of workers with a known speed.
type kindSpeed struct {
	speed   float64
	workers int
}

// updateKinds estimates the speeds that labels predict, if any worker's speed has changed, and completes the workers' speeds with them.
func (e *Engine) updateKinds(now time.Time) {
	if !e.speedsChanged || now.Sub(e.kindsUpdatedAt) < kindInterval {
		return
	}
	e.speedsChanged, e.kindsUpdatedAt = false, now
	if e.kindSpeeds = e.predictKinds(); len(e.kindSpeeds) == 0 && !e.kindsApplied {
		return
	}
	e.kindsApplied = len(e.kindSpeeds) > 0
	for _, w := range e.sortedWorkers {
		e.expectSpeed(w)
	}
}

// predictKinds returns the labels that predict speeds, of the services in which some label predicts an unusual one. In all others labels
// tell nothing, and most workers seem alike by chance.
func (e *Engine) predictKinds() map[workerKind]kindSpeed {
	samples := make(map[workerKind][]float64)
	for _, w := range e.sortedWorkers {
		if !w.Listed || w.speed.certainty < minKnownCertainty {
			continue
		}
		for _, label := range w.Labels {
			kind := workerKind{w.Service, label}
			samples[kind] = append(samples[kind], w.speed.sampled())
		}
	}
	kinds := make(map[workerKind]kindSpeed)
	uneven := make(map[string]bool)
	for kind, speeds := range samples {
		if median, alike := alikeSpeed(speeds); alike {
			kinds[kind] = kindSpeed{speed: median, workers: len(speeds)}
			uneven[kind.service] = uneven[kind.service] || math.Abs(median-1) > kindTolerance
		}
	}
	for kind := range kinds {
		if !uneven[kind.service] {
			delete(kinds, kind)
		}
	}
	return kinds
}

// alikeSpeed returns the median of the speeds, and whether there are enough of them and nearly all are close to it.
func alikeSpeed(speeds []float64) (median float64, alike bool) {
	if len(speeds) < minKindSamples {
		return 0, false
	}
	slices.Sort(speeds)
	median = speeds[len(speeds)/2]
	near := 0
	for _, speed := range speeds {
		if math.Abs(speed-median) <= kindTolerance*median {
			near++
		}
	}
	return median, float64(near) >= minKindShare*float64(len(speeds))
}

// expectSpeed completes the worker's speed with the one that an earlier owner has learned and the one that its labels predict; the label
// with the most samples counts.
func (e *Engine) expectSpeed(w *Worker) {
	e.inheritSpeed(w)
	var best kindSpeed
	for _, label := range w.Labels {
		if kind := e.kindSpeeds[workerKind{w.Service, label}]; kind.workers > best.workers {
			best = kind
		}
	}
	if best.workers == 0 {
		w.speed.expect(1, 0)
		return
	}
	w.speed.expect(best.speed, kindCertainty)
}
