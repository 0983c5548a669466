package main

import (
	"fmt"
	"time"
)

func init() { cases["route"] = routeRemoved }

// routeRemoved: the operator removes the route of a job that is at work, and the instance that decides is killed.
func routeRemoved(w *world) (int, string) {
	if err := w.build(fleet()); err != nil {
		return couldNot, err.Error()
	}
	body := `{"spec":"for=7600","steps":[{"count":12,"cpu":5600,"memMb":15000,"gpu":1,"estimateMs":7600},{"count":12,"cpu":5600,"memMb":15000,"gpu":1,"estimateMs":7600,"after":[0]}]}`
	if err := w.submit(tally, jobID, keyA, body); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.config.Version += 3
		w.config.Routes = w.config.Routes[1:]
		w.publish("trouble: the route r-tally is removed")
		time.Sleep(2 * time.Second)
		d := w.owner()
		if d == nil {
			return couldNot, "no instance holds the key owner"
		}
		d.kill()
		w.rec.log("trouble: %s, which decides, is killed", d.name)
		time.Sleep(time.Second)
		if err := d.start(); err != nil {
			return couldNot, err.Error()
		}
	}
	time.Sleep(10 * time.Second)
	idle := w.idleWhileOwed(time.Now())
	started, done, _ := w.count(jobID)
	why := fmt.Sprintf("24 tasks, %d started, %d done", started, done)
	if idle && done < 24 {
		return broken, "LOST: the job has nothing running for 3 s while a task's turn has come and the service is idle: " + why
	}
	return held, why + "; its state: " + w.state(tally, jobID, keyA)
}
