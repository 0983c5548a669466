package worker

import (
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/link"
	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
)

// Registry takes the entries that workers write about themselves.
type Registry interface {
	// Register returns false if the entry was not written.
	Register(now time.Time, id string, values [][]byte) bool
	// Delete removes the entry of a worker that has left.
	Delete(now time.Time, key string)
}

// Place is what a worker has in common with the others of its site.
type Place struct {
	Site     site.Site
	Trail    *trail.Trail
	Registry Registry
	Gangs    *Gangs
	Planted  Planted
}

// Planted are planted faults of all workers, to try the checks.
type Planted struct {
	// RunOn ignores that leases lapse, and takes longer, Inflate claims twice the capacity, Hasty lists an end as done when the task begins,
	// Disown lists a task as failed when it begins and lets it run.
	RunOn, Inflate, Hasty, Disown bool
}

// Behavior is how a worker treats its orders.
type Behavior struct {
	// Unhealthy is the share of calls that it answers with 503.
	Unhealthy float64
	// Fails makes it fail all tasks that it starts.
	Fails bool
	// Late is the share of orders that it leaves unanswered and carries out seconds later.
	Late float64
	// Slow delays all its answers.
	Slow time.Duration
}

// Worker is one machine that runs tasks; it may have several lives.
type Worker struct {
	place        *Place
	IP           string
	DataCentre   string
	Rack         string
	ports        []int
	links        []*link.Link
	mu           sync.Mutex
	rand         *rand.Rand
	id           string
	up           bool
	draining     bool
	leavesAt     time.Time
	behavior     Behavior
	born         time.Time
	clockStart   int64
	clockRate    float64
	token        int64
	lease        time.Time
	lapseSeen    bool
	running      map[string]*run
	highest      map[string]int
	exits        []exit
	lastExit     int64
	sequence     int
	changed      chan struct{}
	servers      []*http.Server
	stop         chan struct{}
	parts        sync.WaitGroup
	millis, mem  int
	accelerators int
	registryCut  bool
	beatDue      time.Time
}

type run struct {
	seen     *trail.Run
	job      *trail.Job
	step     *trail.Step
	base     time.Duration
	work     time.Duration
	began    time.Time
	working  bool
	timer    *time.Timer
	stopping bool
	gang     *gang
}

type exit struct {
	number     int64
	run        *run
	how        string
	checkpoint string
}

// New returns a worker that is down. Callers of data centre i reach it at its port i.
func New(place *Place, ip, dataCentre, rack string, seed uint64) *Worker {
	w := &Worker{
		place: place, IP: ip, DataCentre: dataCentre, Rack: rack, rand: rand.New(rand.NewPCG(seed, 11)),
		millis: place.Site.MilliCores, mem: place.Site.MemMB, accelerators: place.Site.Accelerators,
	}
	for range place.Site.DataCentres {
		w.links = append(w.links, link.New(link.State{}))
		w.ports = append(w.ports, 0)
	}
	return w
}

// Links returns the link to the instances of each data centre.
func (w *Worker) Links() []*link.Link { return w.links }

// ID returns the ID of the worker's present or last life.
func (w *Worker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// Start begins a life, under the ID of the last one if sameID is true.
func (w *Worker) Start(now time.Time, sameID bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		return nil
	}
	if !sameID || w.id == "" {
		w.id = fmt.Sprintf("i-%08x", w.rand.Uint32())
	}
	w.up, w.draining, w.born, w.token, w.lease, w.lapseSeen = true, false, now, 0, time.Time{}, true
	w.running, w.highest, w.exits, w.lastExit, w.sequence = make(map[string]*run), make(map[string]int), nil, 0, 0
	w.clockStart, w.clockRate = 1000+w.rand.Int64N(100000), 0.98+0.02*w.rand.Float64()
	w.changed, w.stop, w.servers = make(chan struct{}), make(chan struct{}), nil
	w.beatDue = now.Add(time.Duration(w.rand.Int64N(int64(w.place.Site.Heartbeat))))
	for i, l := range w.links {
		inner, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", w.IP, w.ports[i]))
		if err != nil {
			return err
		}
		w.ports[i] = inner.Addr().(*net.TCPAddr).Port
		server := &http.Server{Handler: &life{worker: w, stop: w.stop}, ErrorLog: log.New(w.place.Trail, "", 0)}
		w.servers = append(w.servers, server)
		w.parts.Add(1)
		go func() {
			defer w.parts.Done()
			if err := server.Serve(l.Listener(inner)); err != http.ErrServerClosed {
				w.place.Trail.Logf(time.Now(), "worker %s: %v", w.id, err)
			}
		}()
	}
	w.parts.Add(1)
	go w.tick(w.stop)
	w.register(now)
	w.place.Trail.Logf(now, "worker %s starts at %s in %s, rack %s", w.id, w.IP, w.DataCentre, w.Rack)
	return nil
}

// Crash ends the life at once; what runs there ends with it.
func (w *Worker) Crash(now time.Time, why string) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	close(w.stop)
	var lost []*run
	for _, r := range w.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.place.Trail.Ended(r.seen, now, trail.Crashed)
		lost = append(lost, r)
	}
	w.running = nil
	servers := w.servers
	w.place.Trail.Logf(now, "worker %s is gone: %s", w.id, why)
	w.mu.Unlock()
	for _, r := range lost {
		if r.gang != nil {
			r.gang.left(r, now)
		}
	}
	for _, s := range servers {
		_ = s.Close()
	}
	w.parts.Wait()
}

// Drain announces that the worker leaves after the given time.
func (w *Worker) Drain(now time.Time, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.draining, w.leavesAt = true, now.Add(after)
		w.register(now)
		w.place.Trail.Logf(now, "worker %s drains for %s", w.id, after)
	}
}

// Leave ends the life and removes the entry.
func (w *Worker) Leave(now time.Time) {
	w.Crash(now, "it leaves")
	w.place.Registry.Delete(now, "servers/"+w.ID())
}

// Set changes how the worker treats its orders.
func (w *Worker) Set(behavior Behavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behavior = behavior
}

// CutRegistry decides whether the worker reaches the store.
func (w *Worker) CutRegistry(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registryCut = cut
}

// tick writes the entry and ends leases until the life ends.
func (w *Worker) tick(stop <-chan struct{}) {
	defer w.parts.Done()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			w.check(time.Now())
		}
	}
}

func (w *Worker) check(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	if !now.Before(w.beatDue) {
		w.register(now)
	}
	if w.lapseSeen || now.Before(w.lease) || w.place.Planted.RunOn {
		return
	}
	w.lapseSeen = true
	w.place.Trail.LeaseLapsed(w.id, now)
	for _, r := range w.running {
		w.end(r, now, trail.Lapsed)
	}
}

// register writes the entry; it is tried again soon if the store is away.
func (w *Worker) register(now time.Time) {
	w.sequence++
	claim := 1
	if w.place.Planted.Inflate {
		claim = 2
	}
	entry := map[string]any{
		"service": site.Service, "zone": w.DataCentre, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.millis * claim, "memMb": w.mem * claim, "gpu": w.accelerators * claim}, "labels": []string{"a", w.Rack},
		"clockMs": w.clock(now), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	if w.draining {
		entry["state"], entry["remainingMs"] = "draining", max(0, w.leavesAt.Sub(now).Milliseconds())
	}
	var values [][]byte
	for _, port := range w.ports {
		entry["address"] = fmt.Sprintf("%s:%d", w.IP, port)
		data, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		values = append(values, data)
	}
	w.beatDue = now.Add(w.place.Site.Heartbeat)
	if w.registryCut || !w.place.Registry.Register(now, w.id, values) {
		w.beatDue = now.Add(w.place.Site.Heartbeat / 3)
	}
}

// clock returns the time on the worker's own clock in milliseconds.
func (w *Worker) clock(now time.Time) int64 {
	return w.clockStart + int64(float64(now.Sub(w.born).Milliseconds())*w.clockRate)
}

// Room is what is free on a worker.
type Room struct {
	Worker                          string
	Up, Draining                    bool
	MilliCores, MemMB, Accelerators int
	TotalAccelerators, TotalMillis  int
}

// Room returns what is free at present.
func (w *Worker) Room() Room {
	w.mu.Lock()
	defer w.mu.Unlock()
	room := Room{
		Worker: w.id, Up: w.up, Draining: w.draining, MilliCores: w.millis, MemMB: w.mem, Accelerators: w.accelerators,
		TotalAccelerators: w.accelerators, TotalMillis: w.millis,
	}
	for _, r := range w.running {
		room.MilliCores -= r.step.MilliCores
		room.MemMB -= r.step.MemMB
		room.Accelerators -= r.step.Accelerators
	}
	return room
}
