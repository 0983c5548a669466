package view

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/reason"
)

// OutcomeText returns the name of an outcome, or "" for a job that has not ended.
func OutcomeText(outcome queue.Outcome) string {
	if outcome == queue.OutcomeNone {
		return ""
	}
	return outcome.String()
}

// Job is a row of the jobs table.
type Job struct {
	Job          string        `json:"job"`
	Workspace    string        `json:"workspace"`
	Class        string        `json:"class"`
	Phase        string        `json:"phase"`
	Outcome      string        `json:"outcome"`
	DataCentre   string        `json:"dataCentre"`
	Members      int           `json:"members"`
	Accelerators int           `json:"accelerators"`
	Within       string        `json:"within"`
	Attempt      int           `json:"attempt"`
	Guaranteed   bool          `json:"guaranteed"`
	Workers      []string      `json:"workers"`
	Submitted    time.Time     `json:"submitted"`
	Reason       reason.Reason `json:"reason"`
	Why          string        `json:"why"`
	Result       string        `json:"result"`
}

// Worker is a row of the workers table.
type Worker struct {
	Worker       string   `json:"worker"`
	DataCentre   string   `json:"dataCentre"`
	Rack         string   `json:"rack"`
	State        string   `json:"state"`
	Accelerators int      `json:"accelerators"`
	Free         int      `json:"free"`
	Guaranteed   int      `json:"guaranteed"`
	Jobs         []string `json:"jobs"`
}

// DataCentre is a row of the centres table: totals over one data centre.
type DataCentre struct {
	DataCentre   string `json:"dataCentre"`
	State        string `json:"state"`
	Owner        string `json:"owner"`
	Epoch        int64  `json:"epoch"`
	Workers      int    `json:"workers"`
	Accelerators int    `json:"accelerators"`
	Free         int    `json:"free"`
	Guaranteed   int    `json:"guaranteed"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
}

// Instance is a row of the instances table: one entry instance.
type Instance struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
	Source     string `json:"source"`
	Age        string `json:"age"`
	Owner      bool   `json:"owner"`
	Store      string `json:"store"`
}

// Guarantee is a row of the guarantees table: one guaranteed shape of a workspace.
type Guarantee struct {
	Workspace  string   `json:"workspace"`
	DataCentre string   `json:"dataCentre"`
	Shape      string   `json:"shape"`
	Job        string   `json:"job"`
	State      string   `json:"state"`
	Home       []string `json:"home"`
}

// Snapshot holds the rows that one owner reports, or the merged rows of all owners.
type Snapshot struct {
	Jobs        []Job        `json:"jobs"`
	Workers     []Worker     `json:"workers"`
	DataCentres []DataCentre `json:"dataCentres"`
	Guarantees  []Guarantee  `json:"guarantees"`
}
