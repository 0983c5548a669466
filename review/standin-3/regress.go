package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["regress"] = regress }

const backTime = 250 * time.Millisecond

// effect is the first start of a task of a job: a runner has then seen the version that has its queue.
type effect struct {
	at    time.Time
	token int64
}

// regress changes the configuration again and again: each version adds one queue and removes the one before. Clients hand
// jobs in to the new queue, one every 12 ms. When a runner is told to start a task of such a job, a client asks the instance that told it for the
// queue's count. CONFIG: an instance answers 404 to a request that was sent more than backMs after a runner saw the version from it.
func regress() bool {
	w := newWorld([]string{"olympos", "ossa", "othrys"}, perimetros)
	current = w
	for i := range 8 {
		w.addNode(w.zones[i%3])
	}
	var mu sync.Mutex
	effects := map[string]effect{}
	for i := range 8 {
		r := w.addRunner(i, w.zones[i%3], []string{"a", fmt.Sprintf("r%d-1", i%3+1)})
		r.workOf = func(string, int) (time.Duration, bool, bool) { return 300 * time.Millisecond, false, false }
		r.onStart = func(_ *runner, name string, _ int, token int64) {
			mu.Lock()
			defer mu.Unlock()
			queue := name[:4]
			if _, known := effects[queue]; !known {
				effects[queue] = effect{time.Now(), token}
			}
		}
	}
	first := route("r-first", "/first/", 1, 2)
	w.store.put("op/config", w.config(7, first))
	w.begin("/first/")
	breaks, asked := 0, 0
	version := 7
	end := time.Now().Add(95 * time.Second)
	for round := 1; time.Now().Before(end); round++ {
		time.Sleep(time.Duration(1500+rand.IntN(1000)) * time.Millisecond)
		prefix := "/first/"
		tag := fmt.Sprintf("%04x", round)
		if w.trouble {
			version += 1 + rand.IntN(5)
			prefix = "/q" + tag + "/"
			w.store.put("op/config", w.config(version, first, route("r-"+tag, prefix, 1, 2)))
			w.rec.add("operator: version %d with the queue %s is confirmed", version, prefix)
		}
		var clients sync.WaitGroup
		for i := range 30 {
			// One client every 12 ms, each at an instance of its own choice.
			clients.Go(func() {
				time.Sleep(time.Duration(i*12) * time.Millisecond)
				job := fmt.Sprintf("%s%s%04x%08x", prefix, tag, i, rand.Uint32())
				w.call(w.nodes[rand.IntN(len(w.nodes))], "POST", job, map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 300}}}, true)
			})
		}
		// The first job of the queue that starts shows the version to a runner.
		var seen effect
		for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
			mu.Lock()
			e, ok := effects[tag]
			mu.Unlock()
			if ok {
				seen = e
				break
			}
		}
		if seen.token != 0 {
			b, a := w.ask(prefix, seen)
			breaks, asked = breaks+b, asked+a
		}
		clients.Wait()
	}
	w.rec.add("requests sent more than backMs after a start by the same instance: %d, answered 404: %d", asked, breaks)
	return breaks > 0
}

// ask asks the instance that sent the start for the queue's count, several times, and returns how many of the requests that were sent more
// than backMs after the start were answered 404, and how many there were.
func (w *world) ask(prefix string, seen effect) (breaks, asked int) {
	w.store.mu.Lock()
	it := w.store.items["owner"]
	holds := it != nil && it.Created == seen.token
	w.store.mu.Unlock()
	name := w.owner()
	if !holds {
		return 0, 0
	}
	for _, n := range w.nodes {
		if n.name != name {
			continue
		}
		time.Sleep(time.Until(seen.at.Add(backTime + 10*time.Millisecond)))
		for time.Since(seen.at) < backTime+250*time.Millisecond {
			sent := time.Since(seen.at)
			a := w.call(n, "GET", prefix, nil, true)
			asked++
			if a.status == 404 {
				breaks++
				w.rec.add("%s told a runner to start a job of %s; a request for it, sent to %s %d ms later, is answered 404 %v", name, strings.Trim(prefix, "/"), name, sent.Milliseconds(), a.body)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return breaks, asked
}
