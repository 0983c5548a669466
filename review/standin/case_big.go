package main

import (
	"fmt"
	"time"
)

func init() { cases["big"] = largeJob }

// largeJob: a large job comes beside quick ones: 864 tasks with checkpoints of 1,300 characters.
func largeJob(w *world) (int, string) {
	if err := w.build(fleet()); err != nil {
		return couldNot, err.Error()
	}
	if w.trouble {
		const step = `{"count":72,"cpu":5600,"memMb":15000,"gpu":1,"estimateMs":3000,"checkpointing":true}`
		body := fmt.Sprintf(`{"spec":"for=3000..3800 saves=1300","steps":[%s,%s,%s],"repeatCount":4,"startTimeMs":%d,"intervalMs":2000}`, step, step, step, time.Now().Add(time.Second).UnixMilli())
		if err := w.submit(tally, jobID, keyA, body); err != nil {
			return couldNot, err.Error()
		}
		w.rec.log("trouble: a large job has come")
	}
	time.Sleep(12 * time.Second)
	const quick = `{"spec":"for=2500","steps":[{"count":3,"cpu":7500,"memMb":15000,"gpu":1,"estimateMs":2500}]}`
	var jobs []string
	for i := range 8 {
		job := fmt.Sprintf("%016x", 0xabc0+i)
		if err := w.submit(girth, job, keyB, quick); err != nil {
			return couldNot, err.Error()
		}
		jobs = append(jobs, job)
		time.Sleep(500 * time.Millisecond)
	}
	idle := w.idleWhileOwed(time.Now())
	waiting := 0
	for _, job := range jobs {
		if started, _, _ := w.count(job); started == 0 {
			waiting++
		}
	}
	started, done, _ := w.count(jobID)
	why := fmt.Sprintf("%d of %d accepted quick jobs have never started, the state of the first: %s", waiting, len(jobs), w.state(girth, jobs[0], keyB))
	if w.trouble {
		why += fmt.Sprintf("; of the large job's 864 tasks %d have started and %d ended done, its state: %s", started, done, w.state(tally, jobID, keyA))
	}
	if idle && waiting > 0 {
		if w.trouble {
			w.decks[2].call("DELETE", host, tally+jobID, keyA, "")
			time.Sleep(8 * time.Second)
			started, _, _ := w.count(jobs[0])
			w.rec.log("8 s after the cancelling of the large job, %d tasks of the first quick job have started; its state: %s", started, w.state(girth, jobs[0], keyB))
		}
		return broken, "LOST: jobs have nothing running for 3 s while the service is idle: " + why
	}
	return held, why
}
