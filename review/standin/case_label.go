package main

import (
	"fmt"
	"time"
)

func init() { cases["label"] = failedOnAll }

// labelled returns the fleet with the label "b" instead of "a" on n runners, each in a rack of its own.
func labelled(n int) []runnerKind {
	kinds := fleet()
	for i := range n {
		k := &kinds[len(kinds)-1-8*i]
		k.labels = append([]string{"b"}, k.labels[1:]...)
	}
	return kinds
}

// failedOnAll: the two runners with the label that a job requires fail all that they start, for some seconds.
func failedOnAll(w *world) (int, string) {
	if err := w.build(labelled(2)); err != nil {
		return couldNot, err.Error()
	}
	grey := []*runner{w.runners[47], w.runners[39]}
	if w.trouble {
		for _, r := range grey {
			r.set(func() { r.grey = true })
		}
		w.rec.log("trouble: %s and %s fail all that they start", grey[0].kind.id, grey[1].kind.id)
	}
	body := `{"spec":"for=2500","steps":[{"count":1,"cpu":5600,"memMb":15000,"gpu":1,"estimateMs":2500,"requires":"b"}]}`
	if err := w.submit(tally, jobID, keyA, body); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		for _, r := range grey {
			r.set(func() { r.grey = false })
		}
		w.rec.log("trouble: both are sound again, after 6 s")
	}
	idle := w.idleWhileOwed(time.Now())
	_, done, failed := w.count(jobID)
	why := fmt.Sprintf("%d runs of the task have ended failed, the queue allows 4; its state: %s", failed, w.state(tally, jobID, keyA))
	if idle && done == 0 && failed < 4 {
		return broken, "LOST: the job has nothing running for 3 s while its turn has come and the service is idle: " + why
	}
	return held, why
}
