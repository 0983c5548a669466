package sets

// stock lists the open workers by how many accelerators they have free, so that a search meets only workers that may have
// room.
type stock struct{ levels [][]*Worker }

// reset empties the lists.
func (open *stock) reset() {
	for i := range open.levels {
		open.levels[i] = open.levels[i][:0]
	}
}

// put lists the worker.
func (open *stock) put(w *Worker) {
	level := w.freeLevel()
	for len(open.levels) <= level {
		open.levels = append(open.levels, nil)
	}
	w.stock, w.level, w.index = open, level, len(open.levels[level])
	open.levels[level] = append(open.levels[level], w)
}

// remove takes the worker off its list.
func (open *stock) remove(w *Worker) {
	list := open.levels[w.level]
	last := list[len(list)-1]
	list[w.index], last.index = last, w.index
	open.levels[w.level] = list[:len(list)-1]
}

// restock lists the worker anew after its room has changed.
func (w *Worker) restock() {
	if w.stock == nil || w.freeLevel() == w.level {
		return
	}
	w.stock.remove(w)
	w.stock.put(w)
}

// freeLevel is how many accelerators are free for those who may have most of them.
func (w *Worker) freeLevel() int {
	return max(w.Capacity.Accelerators-w.Used.Accelerators-w.claimed.Accelerators, 0)
}
