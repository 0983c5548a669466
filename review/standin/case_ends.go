package main

import (
	"fmt"
	"time"
)

func init() { cases["ends"] = manyEnds }

// manyEnds: a runner is cut off while more than 500 tasks end there; it lists 500 of the ends at a time.
func manyEnds(w *world) (int, string) {
	if err := w.build(fleet()); err != nil {
		return couldNot, err.Error()
	}
	if err := w.submit(tally, jobID, keyA, `{"spec":"for=3500..6500","steps":[{"count":640,"cpu":100,"memMb":150,"estimateMs":5000}]}`); err != nil {
		return couldNot, err.Error()
	}
	accepted := time.Now()
	time.Sleep(3200 * time.Millisecond)
	busiest := w.runners[0]
	for _, r := range w.runners {
		if r.busy() > busiest.busy() {
			busiest = r
		}
	}
	w.rec.log("%s runs %d tasks", busiest.kind.id, busiest.busy())
	if busiest.busy() <= listedEnds {
		return couldNot, "no runner has enough tasks"
	}
	if w.trouble {
		busiest.set(func() { busiest.cut = true })
		w.rec.log("trouble: %s is cut off from all machines and runs on", busiest.kind.id)
	}
	time.Sleep(time.Until(accepted.Add(6900 * time.Millisecond)))
	if w.trouble {
		busiest.set(func() { busiest.cut = false })
		busiest.beat()
		w.rec.log("trouble: the cut of 3.7 s is over")
	}
	time.Sleep(12 * time.Second)
	if problems := w.rec.startedTwice(); len(problems) > 0 {
		for _, p := range problems {
			w.rec.log("TWICE: %s", p)
		}
		return broken, fmt.Sprintf("TWICE: %d starts, e.g. %s", len(problems), problems[0])
	}
	_, done, _ := w.count(jobID)
	return held, fmt.Sprintf("%d runs, %d tasks done, no start of a task that had ended", len(w.rec.all()), done)
}
