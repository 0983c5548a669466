package main

import (
	"fmt"
	"strings"
	"time"
)

// finishS is finish_s of the site: so long after the end of the traffic jobs are asked for.
const finishS = 14 * time.Second

// idleWhileOwed waits for finish_s from the end of the traffic, and watches the runners for the 3 s of rule LOST. It returns true if
// nothing ran on any runner all the while, so that the whole service was free.
func (w *world) idleWhileOwed(trafficEnd time.Time) bool {
	time.Sleep(time.Until(trafficEnd.Add(finishS)))
	w.rec.log("finish_s after the end of the traffic: the 3 s of rule LOST begin")
	for until := time.Now().Add(3500 * time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, r := range w.runners {
			if r.busy() > 0 {
				w.rec.log("%s is at work", r.kind.id)
				return false
			}
		}
	}
	w.rec.log("nothing ran for 3.5 s on any of the %d runners", len(w.runners))
	return true
}

// count returns how many tasks of the job have started, have ended as done, and how many of its runs have ended as failed.
func (w *world) count(job string) (started, done, failed int) {
	starts, ends := map[string]bool{}, map[string]bool{}
	for _, x := range w.rec.all() {
		if !strings.HasPrefix(x.task, job+".") {
			continue
		}
		starts[x.task] = true
		if x.how == "done" {
			ends[x.task] = true
		}
		if x.how == "failed" {
			failed++
		}
	}
	return len(starts), len(ends), failed
}

// submit hands a job in until it is accepted, at one instance after the other, as a client does.
func (w *world) submit(prefix, job, key, body string) error {
	for attempt := range 4 {
		if status, _ := w.decks[attempt%len(w.decks)].call("POST", host, prefix+job, key, body); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", job)
}

// state asks for a job's state.
func (w *world) state(prefix, job, key string) string {
	status, answer := w.decks[1].call("GET", host, prefix+job, key, "")
	return fmt.Sprintf("%d %s", status, strings.TrimSpace(answer))
}
