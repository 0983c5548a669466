package main

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

func init() { cases["relay"] = refusedByAPeer }

// refusedByAPeer: the store's answer to the write that accepts a job is lost, and the operator takes the client's key away.
func refusedByAPeer(w *world) (int, string) {
	if err := w.build(fleet()); err != nil {
		return couldNot, err.Error()
	}
	first := w.decks[0]
	if first == w.owner() {
		first = w.decks[1]
	}
	var lost atomic.Bool
	if w.trouble {
		first.port.loseAnswer = func(writes []write) bool {
			if !slices.ContainsFunc(writes, func(x write) bool { return x.Key == "in/"+jobID }) || lost.Swap(true) {
				return false
			}
			w.rec.log("trouble: the store has executed the write that accepts job %s; its answer to %s is lost", jobID, first.name)
			go func() {
				time.Sleep(200 * time.Millisecond)
				w.config.Version += 2
				w.config.Tenants[0].Keys = slices.DeleteFunc(slices.Clone(w.config.Tenants[0].Keys), func(key string) bool { return key == keyA })
				w.publish("trouble: a key of kaje80 is taken away")
			}()
			return true
		}
	}
	body := `{"spec":"for=2500","steps":[{"count":3,"cpu":7500,"memMb":15000,"gpu":1,"estimateMs":2500}]}`
	var statuses []int
	rejected := true
	for attempt := range 4 {
		d := first
		if attempt > 0 {
			d = w.decks[len(w.decks)-attempt]
		}
		status, _ := d.call("POST", host, girth+jobID, keyA, body)
		statuses = append(statuses, status)
		// Without an answer, or with 502 or 504, the client does not know; it sends the job again, as it does after 429 and 503.
		rejected = rejected && (status/100 == 4 || status == 503)
		if status != 0 && status != 502 && status != 504 && status != 429 && status != 503 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	started, _, _ := w.count(jobID)
	why := fmt.Sprintf("the client's attempts to hand the job in were answered %v; %d of its tasks started", statuses, started)
	switch {
	case w.trouble && !lost.Load():
		return couldNot, "the trouble did not strike: " + why
	case rejected && started > 0:
		return broken, "REFUSED: " + why
	case !w.trouble && started == 0:
		return couldNot, why
	}
	return held, why
}
