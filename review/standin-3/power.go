package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["power"] = power }

// power hands in one job whose only task lasts and may run on any of twelve runners. Then all instances are killed, the task's
// runner is lost for good, and the instances are started again 4 s later. LOST: from 6 s after its last run, the task has nothing running
// for 3 s, with capacity for it twice over, under half of the service's in use, and these and the 4 s before calm.
func power() bool {
	w := newWorld([]string{"olympos", "ossa", "othrys"}, perimetros)
	current = w
	for i := range 6 {
		w.addNode(w.zones[i%3])
	}
	for i := range 12 {
		r := w.addRunner(i, w.zones[i%3], []string{"a", fmt.Sprintf("r%d-1", i%3+1)})
		r.workOf = func(string, int) (time.Duration, bool, bool) { return 500 * time.Millisecond, false, true }
	}
	w.store.put("op/config", w.config(7, route("r-3ajwyy7", "/pule252/", 1, 2)))
	w.begin("/pule252/")
	const id = "5c0e7a21d94b36f8"
	w.submit("/pule252/"+id, map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 8000, "memMb": 8000, "gpu": 1, "longRunning": true}}})
	time.Sleep(4 * time.Second)
	if w.trouble {
		r := w.runs(id)
		if r == nil {
			check(fmt.Errorf("the task doesn't run after 4 s"))
		}
		for _, n := range w.nodes {
			n.kill()
		}
		r.crash()
		time.Sleep(4 * time.Second)
		for _, n := range w.nodes {
			n.revive()
		}
	}
	// idle is since when nothing ran, as the runner was lost, calm since when all instances are started again.
	calm := time.Now()
	idle := calm
	if w.trouble {
		idle = calm.Add(-4 * time.Second)
	}
	longest, broken := time.Duration(0), false
	for until := calm.Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		now := time.Now()
		if w.runs(id) != nil {
			idle = now
		}
		longest = max(longest, now.Sub(idle))
		if now.Sub(idle) > 9*time.Second && now.Sub(calm) > 7*time.Second && !broken {
			broken = true
			w.rec.add("for %.1f s the task has not run, with all instances up for %.1f s and eleven runners empty; the job is shown as %s",
				now.Sub(idle).Seconds(), now.Sub(calm).Seconds(), w.state("/pule252/"+id))
		}
	}
	w.rec.add("longest time without a run: %.1f s", longest.Seconds())
	return broken
}

// runs returns the runner on which a task of the job runs.
func (w *world) runs(id string) *runner {
	for _, r := range w.runners {
		for name := range r.runs() {
			if strings.HasPrefix(name, id+".") {
				return r
			}
		}
	}
	return nil
}

// kill ends the process; revive starts it again.
func (n *node) kill() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
}

func (n *node) revive() {
	n.mu.Lock()
	n.stopping = false
	n.mu.Unlock()
	n.start()
}
