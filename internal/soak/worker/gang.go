package worker

import (
	"fmt"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/trail"
)

// Gangs are the runs of all workers that work only together.
type Gangs struct {
	mu    sync.Mutex
	gangs map[string]*gang
}

// NewGangs returns no gangs.
func NewGangs() *Gangs { return &Gangs{gangs: make(map[string]*gang)} }

type gang struct {
	mu      sync.Mutex
	size    int
	members map[*run]*Worker
	over    bool
	timer   *time.Timer
}

// join adds a run to its gang, which begins to work when it is complete; the lock of the worker is held.
func (g *Gangs) join(w *Worker, r *run, now time.Time) {
	name := fmt.Sprintf("%s.%d/%d", r.seen.Task.Job, r.seen.Task.Step, r.seen.Number)
	g.mu.Lock()
	own := g.gangs[name]
	if own == nil {
		own = &gang{size: len(r.step.Work), members: make(map[*run]*Worker)}
		g.gangs[name] = own
	}
	g.mu.Unlock()
	r.gang = own
	own.mu.Lock()
	over := own.over
	if !over {
		own.members[r] = w
	}
	complete := len(own.members) == own.size
	own.mu.Unlock()
	if over {
		go w.finish(r, trail.Broken)
		return
	}
	r.timer = time.AfterFunc(w.place.Site.GangTimeout, func() { w.aloneUnlessWorking(r) })
	if complete {
		go own.begin(now)
	}
}

func (w *Worker) aloneUnlessWorking(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !r.working {
		w.end(r, time.Now(), trail.Alone)
	}
}

// begin lets all members work.
func (g *gang) begin(now time.Time) {
	g.mu.Lock()
	members := make(map[*run]*Worker, len(g.members))
	for r, w := range g.members {
		members[r] = w
	}
	g.mu.Unlock()
	how, longest := trail.Done, time.Duration(0)
	for r, w := range members {
		w.mu.Lock()
		r.working, r.began = true, now
		memberHow, remaining := w.outcome(r)
		if memberHow == trail.Failed {
			how = trail.Failed
		}
		longest = max(longest, remaining)
		w.mu.Unlock()
	}
	timer := time.AfterFunc(longest, func() { g.end(how) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = timer
	if g.over {
		timer.Stop()
	}
}

// end ends the work of all members: all are done, or one fails and breaks the others.
func (g *gang) end(how string) {
	g.mu.Lock()
	if g.over {
		g.mu.Unlock()
		return
	}
	g.over = true
	members := g.members
	g.members = nil
	g.mu.Unlock()
	for r, w := range members {
		w.finish(r, how)
		if how == trail.Failed {
			how = trail.Broken
		}
	}
}

// left breaks the others after a member has ended otherwise than done.
func (g *gang) left(gone *run, _ time.Time) {
	g.mu.Lock()
	if g.over {
		g.mu.Unlock()
		return
	}
	g.over = true
	members := g.members
	g.members = nil
	if g.timer != nil {
		g.timer.Stop()
	}
	g.mu.Unlock()
	for r, w := range members {
		if r != gone {
			w.finish(r, trail.Broken)
		}
	}
}
