package main

import (
	"fmt"
	"strings"
	"time"
)

// casePauses: the tasks of one job that lasts fail now and then, as such tasks may. Each must be started again, and the tasks of other jobs that last must be
// started, while there is room.
func casePauses(folder string, trouble bool) {
	d := newDeployment(folder)
	d.writeConfig(1, 4)
	d.startDaemons(2)
	for i := range 4 {
		d.startRunner(fmt.Sprintf("i-%d", i+1), "-labels", fmt.Sprintf("a,r%d", 1+i/2), "-zone", fmt.Sprintf("z%d", 1+i/2), "-seed", fmt.Sprint(time.Now().UnixNano()+int64(i)))
	}
	lasting := func(spec string, count, cpu int) map[string]any {
		return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": count, "cpu": cpu, "memMb": 100, "gpu": 1, "estimateMs": 1000, "longRunning": true}}}
	}
	// The steady job holds 18 of the 32 accelerators and 72 of the 128 cores, the flaky one 8 and 8, the later ones 1 and 1 each: 29 and 83 at most.
	const steady, flaky, flakyTasks = "00000000000000c3", "00000000000000c2", 8
	later := []string{"00000000000000d1", "00000000000000d2", "00000000000000d3"}
	if !d.submit(steady, lasting(`{"ms":0}`, 18, 4000)) {
		d.giveUp("the steady job was not accepted")
	}
	time.Sleep(3 * time.Second)
	spec := `{"failFrom":3000,"failTo":10000}`
	if !trouble {
		spec = `{"ms":0}`
	}
	if !d.submit(flaky, lasting(spec, flakyTasks, 1000)) {
		d.giveUp("the flaky job was not accepted")
	}
	accepted := map[string]int64{}
	for _, id := range later {
		time.Sleep(17 * time.Second)
		if !d.submit(id, lasting(`{"ms":0}`, 1, 1000)) {
			d.giveUp("a later job was not accepted")
		}
		accepted[id] = time.Now().UnixMilli()
	}
	time.Sleep(25 * time.Second)
	states := d.state(flaky)
	end := time.Now().UnixMilli()
	events := d.seen()
	// The longest time from the end of a task's last run to its next start.
	longest, which := int64(0), ""
	for i := range flakyTasks {
		name := fmt.Sprintf("%s.0.0.%d", flaky, i)
		last := int64(0)
		gap := func(until int64) {
			if last > 0 && until-last > longest {
				longest, which = until-last, name
			}
		}
		for _, e := range events {
			switch {
			case e.Task != name:
			case e.What == "start":
				gap(e.At)
				last = 0
			case e.What == "end":
				last = e.At
			}
		}
		gap(end)
	}
	// The longest time from the acceptance of a later job to the start of its task.
	waited := int64(0)
	for _, id := range later {
		first := end
		for _, e := range events {
			if e.What == "start" && strings.HasPrefix(e.Task, id) {
				first = min(first, e.At)
			}
		}
		waited = max(waited, first-accepted[id])
		d.note("job %s: its task started %d ms after it was accepted", id, first-accepted[id])
	}
	// The rule: 3 s with room, for a task that has run before from 6 s after its last run.
	broken := longest > 9000 || waited > 3000
	d.verdict(broken, fmt.Sprintf("state of the flaky job: %s; longest time from the end of a run to the next start of its task: %d ms (%s); longest time from acceptance to start of the later jobs: %d ms; broken: %t",
		states, longest, which, waited, broken))
}
