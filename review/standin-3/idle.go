package main

import (
	"strings"
	"time"
)

func init() { cases["idle"] = idle }

// idle hands in one job, whose only task needs a runner of kind b, as the last call of the traffic. The task's first run ends failed
// after 13 s, by its own fault; the second would end done after 5 s. LOST: 14 s after the end of the traffic, the job has nothing running for
// 3 s, with capacity for it twice over, and nothing else in the service.
func idle() bool {
	var w *world
	var special *runner
	w, special = rack(func(_ string, run int) (time.Duration, bool, bool) {
		if run > 1 {
			return 5 * time.Second, false, false
		}
		return 13 * time.Second, w.trouble, false
	})
	w.begin("/pule252/")
	const job = "/pule252/5c0e7a21d94b36f8"
	w.submit(job, map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 8000, "memMb": 8000, "gpu": 1, "estimateMs": 13000, "requires": "b"}}})
	ended := time.Now()
	w.rec.add("the traffic ends")
	finish := ended.Add(14 * time.Second)
	stood := time.Time{}
	broken := false
	for until := ended.Add(40 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		now := time.Now()
		if now.Before(finish) {
			continue
		}
		runs := false
		for name := range special.runs() {
			runs = runs || strings.HasPrefix(name, "5c0e7a21d94b36f8.")
		}
		state := w.state(job)
		switch {
		case state == "completed":
			w.rec.add("client: the job is shown as completed")
			return broken
		case state != "queued" && state != "running":
			w.rec.add("client: the job is shown as %s", state)
			return true
		case runs:
			stood = time.Time{}
		case stood.IsZero():
			stood = now
		case now.Sub(stood) >= 3*time.Second && !broken:
			broken = true
			w.rec.add("from %.1f s after the end of the traffic on, the job has had nothing running for 3 s; it is shown as %s", stood.Sub(ended).Seconds(), state)
		}
	}
	w.rec.add("the job isn't completed 40 s after the end of the traffic")
	return true
}
