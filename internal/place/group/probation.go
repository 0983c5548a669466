package group

// allowsProbation reports whether a suspected group may be placed on the worker: no start is under way there, as the worker could execute it
// after that of the suspect, and it would begin beside a suspect on probation.
func (w *Worker) allowsProbation() bool {
	for _, m := range w.members {
		if m.State != Started && m.State != Ended {
			return false
		}
	}
	return true
}
