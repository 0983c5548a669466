package main

import (
	"strings"
	"time"
)

func init() {
	cases["crashes"] = func() bool { return crashes() }
	cases["lasting"] = func() bool { return lasting() }
}

// rack builds three instances and eight runners, of which one is of kind b.
func rack(workOf func(string, int) (time.Duration, bool, bool)) (*world, *runner) {
	w := newWorld([]string{"olympos", "ossa", "othrys"}, perimetros)
	current = w
	for _, zone := range w.zones {
		w.addNode(zone)
	}
	var special *runner
	for i := range 8 {
		kind := "a"
		if i == 3 {
			kind = "b"
		}
		r := w.addRunner(i, w.zones[0], []string{kind, "r1-1"})
		r.workOf = workOf
		if i == 3 {
			special = r
		}
	}
	w.store.put("op/config", w.config(7, route("r-3ajwyy7", "/pule252/", 1, 2)))
	return w, special
}

// crashes hands in one job whose only task needs a runner of kind b and ends done after 8.5 s of work. The runner crashes 3 s after
// each of the task's first four starts, and is back after 1.5 s. LOST: the job is shown as failed though no end failed was listed.
func crashes() bool {
	w, special := rack(func(string, int) (time.Duration, bool, bool) { return 8500 * time.Millisecond, false, false })
	left := 4
	special.onStart = func(r *runner, _ string, _ int, _ int64) {
		if !w.trouble || left == 0 {
			return
		}
		left--
		life := r.life
		time.AfterFunc(3*time.Second, func() {
			if r.life != life {
				return
			}
			r.crash()
			time.Sleep(1500 * time.Millisecond)
			check(r.start())
		})
	}
	w.begin("/pule252/")
	const job = "/pule252/5c0e7a21d94b36f8"
	w.submit(job, map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 26000, "memMb": 38000, "gpu": 4, "estimateMs": 8500, "requires": "b"}}})
	last := ""
	for until := time.Now().Add(95 * time.Second); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		state := w.state(job)
		if state != last {
			w.rec.add("client: the job is shown as %s", state)
			last = state
		}
		if state == "completed" || state == "failed" || state == "canceled" || state == "410" {
			break
		}
	}
	w.rec.add("ends that were listed as failed: 0; the job is shown as %s", last)
	if last != "completed" && last != "failed" && last != "canceled" && last != "410" {
		w.rec.add("the job has no end in 95 s")
	}
	return last == "failed" || last == "canceled" || last == "410"
}

// lasting hands in one job whose only task lasts, needs a runner of kind b and is at work 0.5 s after its start. The runner crashes 2 s
// after each of the first seven starts and is back after 1 s; then it stays up. LOST: from 6 s after its last run, the task has nothing
// running for 3 s, with capacity for it twice over, under half of the service's in use, and these and the 4 s before calm.
func lasting() bool {
	w, special := rack(func(string, int) (time.Duration, bool, bool) { return 500 * time.Millisecond, false, true })
	left := 7
	special.onStart = func(r *runner, _ string, _ int, _ int64) {
		if !w.trouble || left == 0 {
			return
		}
		left--
		life := r.life
		time.AfterFunc(2*time.Second, func() {
			if r.life != life {
				return
			}
			r.crash()
			time.Sleep(time.Second)
			check(r.start())
			w.rec.add("the runner is back; %d crashes are to come", left)
		})
	}
	w.begin("/pule252/")
	const job = "/pule252/5c0e7a21d94b36f8"
	w.submit(job, map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 8000, "memMb": 8000, "gpu": 1, "longRunning": true, "requires": "b"}}})
	// idle is since when nothing ran, calm since when the runner is up.
	idle, calm := time.Now(), time.Now()
	longest := time.Duration(0)
	broken := false
	for until := time.Now().Add(85 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		runs := false
		for name := range special.runs() {
			runs = runs || strings.HasPrefix(name, "5c0e7a21d94b36f8.")
		}
		special.mu.Lock()
		up := special.up
		special.mu.Unlock()
		now := time.Now()
		if runs {
			idle = now
		}
		if !up {
			calm = now
		}
		if now.Sub(calm) > 0 {
			longest = max(longest, now.Sub(idle))
		}
		// The window of 3 s begins 6 s after the last run at the earliest, and the 4 s before it are calm.
		if now.Sub(idle) > 9500*time.Millisecond && now.Sub(calm) > 7500*time.Millisecond && !broken {
			broken = true
			w.rec.add("for %.1f s the task has not run, while the runner is up for %.1f s with nothing on it; the job is shown as %s",
				now.Sub(idle).Seconds(), now.Sub(calm).Seconds(), w.state(job))
		}
	}
	w.rec.add("longest time without a run: %.1f s", longest.Seconds())
	return broken
}
