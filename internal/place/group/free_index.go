package group

// maxFreeLevel is the last level of the index. It is above what one machine has today; workers with more free accelerators share
// it, so that the index never costs more than the workers do.
const maxFreeLevel = 64

// freeIndex lists the open workers by their number of free accelerators, so that a search only examines workers that may
// have room.
type freeIndex struct{ levels [maxFreeLevel + 1][]*Worker }

// atLeast returns the lists of workers that may have as many free accelerators.
func (idx *freeIndex) atLeast(accelerators int) [][]*Worker {
	return idx.levels[freeLevel(accelerators):]
}

func freeLevel(accelerators int) int { return min(accelerators, maxFreeLevel) }

func (idx *freeIndex) reset() {
	for i := range idx.levels {
		idx.levels[i] = idx.levels[i][:0]
	}
}

func (idx *freeIndex) add(w *Worker) {
	level := freeLevel(w.freeAccelerators())
	w.freeIndex, w.freeIndexLevel, w.freeIndexPosition = idx, level, len(idx.levels[level])
	idx.levels[level] = append(idx.levels[level], w)
}

func (idx *freeIndex) remove(w *Worker) {
	list := idx.levels[w.freeIndexLevel]
	last := list[len(list)-1]
	list[w.freeIndexPosition], last.freeIndexPosition = last, w.freeIndexPosition
	idx.levels[w.freeIndexLevel] = list[:len(list)-1]
}

// reindex updates the worker's entry in the index after its room has changed.
func (w *Worker) reindex() {
	if w.freeIndex == nil || freeLevel(w.freeAccelerators()) == w.freeIndexLevel {
		return
	}
	w.freeIndex.remove(w)
	w.freeIndex.add(w)
}

// freeAccelerators counts the accelerators that are free for quick and long-running tasks, which may use the room of
// backfill reservations.
func (w *Worker) freeAccelerators() int {
	return max(w.Capacity.Accelerators-w.Used.Accelerators-w.reserved.Accelerators, 0)
}
