package group

import (
	"slices"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// ChangedPart is a part of a divided record that is to be written.
type ChangedPart struct {
	work.Part
	// Starts are groups within the part that begin parts of their own: those were written before, but possibly not all of them.
	Starts []int
}

// Divide records that the job's record is being divided into parts that begin with the given task groups, besides those that it has.
// The number of the division is used if the record was not divided before.
func (e *Engine) Divide(job string, division int64, starts []int) {
	j := e.jobs[job]
	if j == nil {
		return
	}
	if j.Record.Division == 0 {
		j.Record.Division, j.Record.Parts, j.dividing = division, []int{0}, true
	}
	for _, first := range starts {
		if _, known := slices.BinarySearch(j.Record.Parts, first); known {
			continue
		}
		if at, known := slices.BinarySearch(j.newParts, first); !known {
			j.newParts = slices.Insert(j.newParts, at, first)
		}
	}
}

// partsCommitted records that all parts that an update has written are durable.
func (j *Job) partsCommitted() {
	if len(j.newParts) == 0 {
		return
	}
	parts := append(slices.Clone(j.Record.Parts), j.newParts...)
	slices.Sort(parts)
	j.Record.Parts, j.newParts = parts, nil
}

// changedParts returns the parts of a divided record that have changed groups, all of them until the division is durable.
func (j *Job) changedParts() []ChangedPart {
	changed := make([]bool, len(j.Record.Parts))
	for _, g := range j.changedGroups {
		changed[partOf(j.Record.Parts, g.recordIndex)] = true
	}
	starts := make(map[int][]int)
	for _, first := range j.newParts {
		at := partOf(j.Record.Parts, first)
		starts[at] = append(starts[at], first)
	}
	var parts []ChangedPart
	for i, first := range j.Record.Parts {
		if !changed[i] && !j.dividing {
			continue
		}
		end := len(j.Record.Groups)
		if i+1 < len(j.Record.Parts) {
			end = j.Record.Parts[i+1]
		}
		part := work.Part{Division: j.Record.Division, First: first, Groups: slices.Clone(j.Record.Groups[first:end])}
		parts = append(parts, ChangedPart{Part: part, Starts: starts[i]})
	}
	return parts
}

// partOf returns the index of the part that has the group; parts are the first groups of the parts, of which the first is zero.
func partOf(parts []int, group int) int {
	at, found := slices.BinarySearch(parts, group)
	if !found {
		at--
	}
	return at
}
