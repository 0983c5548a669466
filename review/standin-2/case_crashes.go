package main

import (
	"fmt"
	"strings"
	"time"
)

// caseCrashes: a runner crashes now and then while a task that lasts runs there. The task must be started again each time.
func caseCrashes(folder string, trouble bool) {
	const crashes, apart, downFor = 5, 10 * time.Second, time.Second
	d := newDeployment(folder)
	d.writeConfig(1, 4)
	d.startDaemons(2)
	// Eight runners, of which one has the label that the job requires.
	for i := range 8 {
		labels := fmt.Sprintf("a,r%d", 1+i/4)
		if i == 7 {
			labels = "b,r2"
		}
		d.startRunner(fmt.Sprintf("i-%d", i+1), "-labels", labels, "-zone", fmt.Sprintf("z%d", 1+i/4))
	}
	const id = "00000000000000c1"
	job := map[string]any{"spec": `{"ms":0}`, "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 1000, "requires": "b", "longRunning": true}}}
	if !d.submit(id, job) {
		d.giveUp("the job was not accepted")
	}
	starts := func() (n int) {
		for _, e := range d.seen() {
			if e.What == "start" && strings.HasPrefix(e.Task, id) {
				n++
			}
		}
		return n
	}
	if !await(10*time.Second, func() bool { return starts() == 1 }) {
		d.giveUp("the task did not start")
	}
	for n := 1; n <= crashes; n++ {
		time.Sleep(apart - downFor)
		if trouble {
			d.kill("i-8")
			time.Sleep(downFor)
			d.startRunner("i-8")
		} else {
			time.Sleep(downFor)
		}
	}
	// Nothing is disturbed from now on.
	before := starts()
	time.Sleep(15 * time.Second)
	state := d.state(id)
	failedEnds := 0
	for _, e := range d.seen() {
		if e.What == "end" && e.How == "failed" {
			failedEnds++
		}
	}
	broken := state != "running" && state != "queued"
	d.verdict(broken, fmt.Sprintf("state of the job: %s; starts: %d (%d of them after the last crash); ends `failed`: %d; broken: %t", state, starts(), starts()-before, failedEnds, broken))
}
