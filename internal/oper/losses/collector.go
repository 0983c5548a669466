package losses

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/oper/logs"
)

// workerFault is a line about a worker that did not answer.
type workerFault struct {
	worker string
	at     time.Time
}

// interval is a span of time.
type interval struct{ from, to time.Time }

// Collector gathers what the logs of any number of instances say about jobs.
type Collector struct {
	// Timelines are the jobs by ID.
	Timelines map[string]*Timeline
	// BadLines names the lines that could not be decoded, by file.
	BadLines []string

	// instances have lines of their own, mentioned are named by others.
	instances map[string]bool
	mentioned map[string]bool
	// terms are the owners' terms by fencing token, from the load of the jobs to the last line of the owner.
	terms map[int64]*interval
	// storeFaults are the times of lines about a store that did not answer, workerFaults those about silent workers.
	storeFaults  []time.Time
	workerFaults []workerFault
	// dataCentres are those of the workers.
	dataCentres map[string]string
	last        time.Time
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		Timelines: make(map[string]*Timeline), instances: make(map[string]bool), mentioned: make(map[string]bool),
		terms: make(map[int64]*interval), dataCentres: make(map[string]string),
	}
}

// Read adds the lines of a file. Lines may come in any order of files; within a file they are in the order of time.
func (c *Collector) Read(name string, in io.Reader) error {
	var lines []logs.Line
	bad, err := logs.Scan(in, func(string) bool { return true }, func(line logs.Line) { lines = append(lines, line) })
	for i := range bad {
		c.BadLines = append(c.BadLines, fmt.Sprintf("%s: %s", name, bad[i].Error()))
	}
	slices.SortStableFunc(lines, func(a, b logs.Line) int { return a.Time.Compare(b.Time) })
	for i := range lines {
		if err := c.add(&lines[i]); err != nil {
			c.BadLines = append(c.BadLines, fmt.Sprintf("%s: %s of job %s: %v", name, lines[i].Message, lines[i].Text("job"), err))
		}
	}
	return err
}

// MissingInstances returns the instances that are named in the logs and have no lines.
func (c *Collector) MissingInstances() []string {
	var missing []string
	for name := range c.mentioned {
		if !c.instances[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// timeline returns the timeline of the job, which is created if it is new.
func (c *Collector) timeline(job string) *Timeline {
	t := c.Timelines[job]
	if t == nil {
		t = &Timeline{Job: job, groups: make(map[string]*taskGroup)}
		c.Timelines[job] = t
	}
	return t
}

func (c *Collector) add(line *logs.Line) error {
	c.last = latest(c.last, line.Time)
	if name := line.Text("instance"); name != "" {
		c.instances[name] = true
	}
	if peer := line.Text("peer"); peer != "" {
		c.mentioned[peer] = true
	}
	c.addTerm(line)
	if job := line.Text("job"); job != "" && !strings.Contains(job, "/") {
		return c.addToTimeline(c.timeline(job), line)
	}
	switch line.Message {
	case "startSent":
		job, _, _ := strings.Cut(line.Text("task"), ".")
		c.timeline(job).started(line)
		if line.Text("outcome") != "started" {
			c.workerFault(line.Text("worker"), line.Time)
		}
	case "storeLost", "commitFailed", "listLost":
		c.storeFaults = append(c.storeFaults, line.Time)
	case "workerSilent":
		c.workerFault(line.Text("worker"), line.Time)
	case "rackListed":
		return c.addRack(line)
	case "workersListed":
		if dataCentre := line.Text("dataCentre"); dataCentre != "" {
			c.dataCentres[line.Text("worker")] = dataCentre
		}
	}
	return nil
}

// addTerm extends the term whose token the line carries.
func (c *Collector) addTerm(line *logs.Line) {
	token := int64(line.Number("token"))
	if token == 0 || line.Message == "termBegan" {
		return
	}
	term := c.terms[token]
	if term == nil {
		term = &interval{from: line.Time}
		c.terms[token] = term
	}
	term.to = latest(term.to, line.Time)
}

func (c *Collector) addRack(line *logs.Line) error {
	var workers []string
	if err := decode(line.Fields["workers"], &workers); err != nil {
		return err
	}
	for _, worker := range workers {
		c.dataCentres[worker] = line.Text("dataCentre")
	}
	return nil
}

func (c *Collector) workerFault(worker string, at time.Time) {
	c.workerFaults = append(c.workerFaults, workerFault{worker: worker, at: at})
}

func (c *Collector) addToTimeline(t *Timeline, line *logs.Line) error {
	switch line.Message {
	case "admitted":
		t.admitted(line)
		if line.Duration("took") > slowAdmission {
			c.storeFaults = append(c.storeFaults, line.Time)
		}
	case "jobSeen":
		return t.seen(line)
	case "runChanged":
		t.changed(line)
		if dataCentre := c.dataCentres[line.Text("worker")]; dataCentre != "" {
			t.DataCentre = dataCentre
		}
	case "jobRecorded":
		t.Recorded = earliest(t.Recorded, line.Time)
	case "jobShown":
		t.Shown = earliest(t.Shown, line.Time)
	}
	return nil
}

// ownerGaps returns the times between the terms of owners, in order.
func (c *Collector) ownerGaps() []interval {
	terms := make([]interval, 0, len(c.terms))
	for _, term := range c.terms {
		terms = append(terms, *term)
	}
	slices.SortFunc(terms, func(a, b interval) int { return a.from.Compare(b.from) })
	var gaps []interval
	for i := 1; i < len(terms); i++ {
		if terms[i].from.After(terms[i-1].to) {
			gaps = append(gaps, interval{terms[i-1].to, terms[i].from})
		}
	}
	return gaps
}

// slowAdmission is the time that a submission takes from which the store counts as slow; ten times the usual.
const slowAdmission = 150 * time.Millisecond
