package losses

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// windowLength is the length of the windows of the table by time.
const windowLength = 2 * time.Second

// Loss is what the jobs of one row lost.
type Loss struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// Late counts the jobs that ended after their objective, Unfinished those that had not ended when the logs did.
	Late       int `json:"late"`
	Unfinished int `json:"unfinished"`
	// Refused counts the jobs that were never accepted, Refusals the replies that sent a caller away.
	Refused         int     `json:"refused"`
	Refusals        int     `json:"refusals"`
	LatenessSeconds float64 `json:"latenessSeconds"`
	// CoreSeconds is the work that was discarded; an accelerator counts as eight cores.
	CoreSeconds float64 `json:"coreSeconds"`
}

// Report is what all jobs lost, by cause and by other keys. A job counts once in each table, but in the table of causes once
// for each cause of its lateness.
type Report struct {
	Total Loss `json:"total"`
	// Cancelled counts the jobs that their callers cancelled; their lateness is not counted.
	Cancelled int `json:"cancelled"`
	// UnexplainedShare is the share of the lateness without a cause, from 0 to 1.
	UnexplainedShare float64  `json:"unexplainedShare"`
	Causes           []Loss   `json:"causes"`
	Queues           []Loss   `json:"queues"`
	Workspaces       []Loss   `json:"workspaces"`
	DataCentres      []Loss   `json:"dataCentres"`
	Windows          []Loss   `json:"windows"`
	BadLines         []string `json:"badLines"`
	MissingInstances []string `json:"missingInstances"`

	// lateness is the lateness in seconds by window and cause.
	lateness map[string]map[Cause]float64
}

// tables collects the rows of all tables.
type tables struct {
	causes, queues, workspaces, dataCentres, windows map[string]*Loss
}

func row(table map[string]*Loss, name string) *Loss {
	if name == "" {
		name = "unknown"
	}
	if table[name] == nil {
		table[name] = &Loss{Name: name}
	}
	return table[name]
}

// Report attributes the losses of all jobs that the collector has gathered.
func (c *Collector) Report() *Report {
	r := &Report{Total: Loss{Name: "all"}, BadLines: c.BadLines, MissingInstances: c.MissingInstances(), lateness: make(map[string]map[Cause]float64)}
	all := tables{make(map[string]*Loss), make(map[string]*Loss), make(map[string]*Loss), make(map[string]*Loss), make(map[string]*Loss)}
	ev := c.evidence()
	ids := make([]string, 0, len(c.Timelines))
	first := time.Time{}
	for id, t := range c.Timelines {
		if !t.Received.IsZero() {
			ids = append(ids, id)
			first = earliest(first, t.Received)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := c.Timelines[id]
		window := fmt.Sprintf("%04d s", int(t.Received.Sub(first)/windowLength*windowLength/time.Second))
		rows := []*Loss{&r.Total, row(all.queues, t.Queue), row(all.workspaces, t.Workspace), row(all.dataCentres, t.DataCentre), row(all.windows, window)}
		r.add(t, ev, window, rows, all.causes)
	}
	r.Causes, r.Queues, r.Workspaces = worstFirst(all.causes), worstFirst(all.queues), worstFirst(all.workspaces)
	r.DataCentres, r.Windows = worstFirst(all.dataCentres), byName(all.windows)
	if r.Total.LatenessSeconds > 0 && all.causes[Unexplained.String()] != nil {
		r.UnexplainedShare = all.causes[Unexplained.String()].LatenessSeconds / r.Total.LatenessSeconds
	}
	return r
}

// evidence returns what explains delays of all jobs.
func (c *Collector) evidence() *evidence {
	faults := make(map[string][]workerFault)
	for _, fault := range c.workerFaults {
		dataCentre := c.dataCentres[fault.worker]
		faults[dataCentre] = append(faults[dataCentre], fault)
	}
	return &evidence{ownerGaps: c.ownerGaps(), storeFaults: c.storeFaults, dataCentres: c.dataCentres, workerFaults: faults, end: c.last}
}

// add counts one job in the rows, and its lateness by cause.
func (r *Report) add(t *Timeline, ev *evidence, window string, rows []*Loss, causes map[string]*Loss) {
	for _, refusal := range t.Refusals {
		row(causes, refusal.Cause.String()).Refusals++
	}
	refused := t.Accepted.IsZero()
	discarded := t.discarded(causes)
	for _, loss := range rows {
		loss.Jobs++
		loss.Refusals += len(t.Refusals)
		loss.CoreSeconds += discarded
		if refused {
			loss.Refused++
		}
	}
	if t.Phase == work.Cancelled.String() {
		r.Cancelled++
	}
	if refused || t.Phase == work.Cancelled.String() {
		return
	}
	late, byCause := t.latenessByCause(ev)
	for _, loss := range rows {
		loss.LatenessSeconds += late.Seconds()
		if late > 0 {
			loss.Late++
		}
		if t.Phase == "" {
			loss.Unfinished++
		}
	}
	if r.lateness[window] == nil {
		r.lateness[window] = make(map[Cause]float64)
	}
	for cause, delay := range byCause {
		loss := row(causes, cause.String())
		loss.LatenessSeconds += delay.Seconds()
		r.lateness[window][cause] += delay.Seconds()
		if delay > 0 {
			loss.Jobs++
			loss.Late++
		}
	}
}

// latenessByCause returns the lateness of all occurrences of the job.
func (t *Timeline) latenessByCause(ev *evidence) (time.Duration, map[Cause]time.Duration) {
	total, byCause := time.Duration(0), make(map[Cause]time.Duration)
	for _, w := range t.criticalPaths(ev) {
		late := t.lateness(&w)
		total += late
		if late == 0 {
			continue
		}
		for cause, delay := range w.attribute(late) {
			byCause[cause] += delay
		}
	}
	return total, byCause
}

// discarded returns the work of the job that was discarded, and adds it to the causes.
func (t *Timeline) discarded(causes map[string]*Loss) float64 {
	total := 0.0
	for _, g := range t.groups {
		for _, a := range g.attempts {
			if a.coreSeconds > 0 {
				row(causes, a.cause.String()).CoreSeconds += a.coreSeconds
				total += a.coreSeconds
			}
		}
	}
	return total
}

// worstFirst returns the rows in descending order of lateness.
func worstFirst(table map[string]*Loss) []Loss {
	return sorted(table, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.LatenessSeconds, a.LatenessSeconds), cmp.Compare(b.CoreSeconds, a.CoreSeconds), cmp.Compare(a.Name, b.Name))
	})
}

func byName(table map[string]*Loss) []Loss {
	return sorted(table, func(a, b Loss) int { return cmp.Compare(a.Name, b.Name) })
}

func sorted(table map[string]*Loss, compare func(a, b Loss) int) []Loss {
	rows := make([]Loss, 0, len(table))
	for _, loss := range table {
		rows = append(rows, *loss)
	}
	slices.SortFunc(rows, compare)
	return rows
}

// JobReport is the timeline of one job.
type JobReport struct {
	Job             string             `json:"job"`
	Queue           string             `json:"queue"`
	Workspace       string             `json:"workspace"`
	Phase           string             `json:"phase"`
	Refusals        []Refusal          `json:"refusals"`
	LatenessSeconds float64            `json:"latenessSeconds"`
	Causes          map[string]float64 `json:"causes"`
	CriticalPaths   [][]Segment        `json:"criticalPaths"`
}

// Job returns the timeline of one job, or nil if the logs don't name it.
func (c *Collector) Job(id string) *JobReport {
	t := c.Timelines[id]
	if t == nil {
		return nil
	}
	ev := c.evidence()
	r := &JobReport{Job: id, Queue: t.Queue, Workspace: t.Workspace, Phase: t.Phase, Refusals: t.Refusals, Causes: make(map[string]float64)}
	late, byCause := t.latenessByCause(ev)
	r.LatenessSeconds = late.Seconds()
	for cause, delay := range byCause {
		r.Causes[cause.String()] = delay.Seconds()
	}
	for _, w := range t.criticalPaths(ev) {
		r.CriticalPaths = append(r.CriticalPaths, w.segments)
	}
	return r
}
