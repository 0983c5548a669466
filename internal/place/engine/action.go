package engine

import "github.com/lentildeck/lentildeck/internal/place/queue"

// Action is a decision that the caller must carry out.
type Action interface{ action() }

// Start starts all members of one attempt together, member i on Workers[i].
type Start struct {
	Job     string
	Attempt int
	Workers []int
	Why     string
}

// Stop stops all members of one attempt, after a checkpoint if Checkpoint is set.
type Stop struct {
	Job        string
	Attempt    int
	Workers    []int
	Checkpoint bool
	Why        string
}

// End reports that a job has ended without finishing.
type End struct {
	Job     string
	Outcome queue.Outcome
	Why     string
}

func (Start) action() {}
func (Stop) action()  {}
func (End) action()   {}
