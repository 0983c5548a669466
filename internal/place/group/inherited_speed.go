package group

// KnownSpeed is the speed of one incarnation of a worker, relative to the average of 1, with its certainty from 0 to 1.
type KnownSpeed struct {
	Worker      string
	Incarnation int64
	Speed       float64
	Certainty   float64
}

// KnownSpeeds returns the speeds of the listed workers that were sampled enough to be known, in the order of their IDs.
func (e *Engine) KnownSpeeds() []KnownSpeed {
	var list []KnownSpeed
	for _, w := range e.sortedWorkers {
		if w.Listed && w.Incarnation != 0 && w.speed.certainty >= minKnownCertainty {
			list = append(list, KnownSpeed{Worker: w.ID, Incarnation: w.Incarnation, Speed: w.speed.sampled(), Certainty: w.speed.certainty})
		}
	}
	return list
}

// InheritSpeeds applies the speeds that an earlier owner has learned, to each worker once its incarnation is known.
func (e *Engine) InheritSpeeds(list []KnownSpeed) {
	e.inheritedSpeeds = make(map[string]KnownSpeed, len(list))
	for _, known := range list {
		e.inheritedSpeeds[known.Worker] = known
	}
	for _, w := range e.sortedWorkers {
		e.inheritSpeed(w)
	}
}

// inheritSpeed applies the inherited speed of the worker, unless it is that of another incarnation, which may be of another kind.
func (e *Engine) inheritSpeed(w *Worker) {
	known, found := e.inheritedSpeeds[w.ID]
	if !found || w.Incarnation == 0 {
		return
	}
	delete(e.inheritedSpeeds, w.ID)
	if known.Incarnation != w.Incarnation {
		return
	}
	e.speedsChanged = true
	w.speed.addEarlier(known.Speed, known.Certainty)
	for _, m := range w.members {
		if m.placedSpeed.certainty == 0 {
			// The owner that placed the run most likely knew the speed.
			m.placedSpeed = w.speed
		}
	}
}

// addEarlier adds the mean of samples that are older than all others.
func (s *workerSpeed) addEarlier(mean, certainty float64) {
	missing := 1 - s.certainty
	s.value += missing * certainty * (mean - s.expected)
	s.certainty += missing * certainty
}
