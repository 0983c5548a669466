package sets

// stock lists the open workers by how many accelerators they have free, so that a search meets only workers that may have
// room.
type stock struct{ levels [][]*Worker }

// reset empties the lists.
func (k *stock) reset() {
	for i := range k.levels {
		k.levels[i] = k.levels[i][:0]
	}
}

// put lists the worker.
func (k *stock) put(w *Worker) {
	level := w.freeLevel()
	for len(k.levels) <= level {
		k.levels = append(k.levels, nil)
	}
	w.stock, w.level, w.index = k, level, len(k.levels[level])
	k.levels[level] = append(k.levels[level], w)
}

// remove takes the worker off its list.
func (k *stock) remove(w *Worker) {
	list := k.levels[w.level]
	last := list[len(list)-1]
	list[w.index], last.index = last, w.index
	k.levels[w.level] = list[:len(list)-1]
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
