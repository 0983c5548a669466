package main

import (
	"fmt"
	"strings"
	"time"
)

// casePauses: the tasks of a job that lasts fail now and then, as such tasks may. Each must be started again.
func casePauses(folder string, trouble bool) {
	d := newDeployment(folder)
	d.writeConfig(1, 4)
	d.startDaemons(2)
	for i := range 4 {
		d.startRunner(fmt.Sprintf("i-%d", i+1), "-labels", fmt.Sprintf("a,r%d", 1+i/2), "-zone", fmt.Sprintf("z%d", 1+i/2), "-seed", fmt.Sprint(time.Now().UnixNano()+int64(i)))
	}
	const id, steady = "00000000000000c2", "00000000000000c3"
	const tasks = 10
	// A job whose tasks never fail holds 18 of the 32 accelerators.
	if !d.submit(steady, map[string]any{"spec": `{"ms":0}`, "steps": []any{map[string]any{"count": 18, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 1000, "longRunning": true}}}) {
		d.giveUp("the steady job was not accepted")
	}
	time.Sleep(3 * time.Second)
	spec := `{"failFrom":3000,"failTo":12000}`
	if !trouble {
		spec = `{"ms":0}`
	}
	job := map[string]any{"spec": spec, "steps": []any{map[string]any{"count": tasks, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 1000, "longRunning": true}}}
	if !d.submit(id, job) {
		d.giveUp("the job was not accepted")
	}
	time.Sleep(80 * time.Second)
	state := d.state(id)
	end := time.Now().UnixMilli()
	// The longest time from the end of a task's last run to its next start.
	longest, which := int64(0), ""
	for i := range tasks {
		name := fmt.Sprintf("%s.0.0.%d", id, i)
		last := int64(0)
		gap := func(until int64) {
			if last > 0 && until-last > longest {
				longest, which = until-last, name
			}
		}
		for _, e := range d.seen() {
			if e.Task != name {
				continue
			}
			switch e.What {
			case "start":
				gap(e.At)
				last = 0
			case "end":
				last = e.At
			}
		}
		gap(end)
	}
	started := 0
	for _, e := range d.seen() {
		if e.What == "start" && strings.HasPrefix(e.Task, id) {
			started++
		}
	}
	broken := longest > 9000
	d.verdict(broken, fmt.Sprintf("state of the job: %s; starts: %d; longest time from the end of a run to the next start of its task: %d ms (%s); broken: %t", state, started, longest, which, broken))
}
