package sets

// stock lists the open workers by how many accelerators they have free, so that a search meets only workers that may have
// room.
type freeIndex struct{ levels [][]*Worker }

// reset empties the lists.
func (idx *freeIndex) reset() {
	for i := range idx.levels {
		idx.levels[i] = idx.levels[i][:0]
	}
}

// put lists the worker.
func (idx *freeIndex) add(w *Worker) {
	level := w.freeAccelerators()
	for len(idx.levels) <= level {
		idx.levels = append(idx.levels, nil)
	}
	w.freeIndex, w.freeIndexLevel, w.freeIndexPosition = idx, level, len(idx.levels[level])
	idx.levels[level] = append(idx.levels[level], w)
}

// remove takes the worker off its list.
func (idx *freeIndex) remove(w *Worker) {
	list := idx.levels[w.freeIndexLevel]
	last := list[len(list)-1]
	list[w.freeIndexPosition], last.freeIndexPosition = last, w.freeIndexPosition
	idx.levels[w.freeIndexLevel] = list[:len(list)-1]
}

// restock lists the worker anew after its room has changed.
func (w *Worker) reindex() {
	if w.freeIndex == nil || w.freeAccelerators() == w.freeIndexLevel {
		return
	}
	w.freeIndex.remove(w)
	w.freeIndex.add(w)
}

// freeLevel is how many accelerators are free for those who may have most of them.
func (w *Worker) freeAccelerators() int {
	return max(w.Capacity.Accelerators-w.Used.Accelerators-w.reserved.Accelerators, 0)
}
