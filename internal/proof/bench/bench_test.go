package bench_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/back"
	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/node/local"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/claim"
	"github.com/lentildeck/lentildeck/internal/route/pool"
	"github.com/lentildeck/lentildeck/internal/route/quick"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

var ctx = context.Background()

// sizes are fleet sizes in workers; the last one is the size that the design must support.
var sizes = []int{56, 350, 1400}

const (
	tasksPerWorker      = 5
	workersPerWorkspace = 2
)

func failOn(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// newLoadedEngine returns an engine with the given number of workers and proportional running tasks and workspaces.
func newLoadedEngine(b *testing.B, workers int) *engine.Engine {
	b.Helper()
	cfg := engine.Config{Seed: 1}
	cfg.Policy, _ = engine.Policies.Lookup(engine.DefaultPolicy)
	spec := fleet.DataCentreSpec{Name: "dc"}
	for r := range workers / 7 {
		spec.Racks = append(spec.Racks, fleet.RackSpec{Name: fmt.Sprint("r", r), Workers: 7, Resources: shape.Resources{Accelerators: 8, Cores: 64, MemoryGB: 256}})
	}
	cfg.DataCentres = []fleet.DataCentreSpec{spec}
	for n := range workers / workersPerWorkspace {
		ws := guard.Workspace{Name: fmt.Sprint("team", n)}
		if n%5 == 0 {
			ws.Guarantees = []guard.Guarantee{{Count: 1, Shape: shape.Shape{Members: 1, Resources: shape.Resources{Accelerators: 4, Cores: 4, MemoryGB: 4}}}}
		}
		cfg.Workspaces = append(cfg.Workspaces, ws)
	}
	e, err := engine.New(cfg)
	failOn(b, err)
	now := time.Unix(0, 0)
	for n := range workers * tasksPerWorker {
		failOn(b, e.Submit(jobSpec(fmt.Sprint("task", n), fmt.Sprint("team", n%(workers/workersPerWorkspace)), 1, shape.Worker), now))
	}
	e.Decide(now)
	return e
}

func jobSpec(name, workspace string, members int, within shape.Within) queue.Spec {
	return queue.Spec{
		Job: name, Workspace: workspace, Class: queue.Batch, Idempotent: true, Declared: span.Of(time.Hour),
		CheckpointEvery: span.Of(10 * time.Minute), CheckpointTakes: span.Of(30 * time.Second),
		Shape: shape.Shape{Members: members, Resources: shape.Resources{Accelerators: 1, Cores: 2, MemoryGB: 8}, Within: within},
	}
}

// BenchmarkDecision places and removes one job while others run; every fourth job is a gang of 16.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			e := newLoadedEngine(b, workers)
			timer := meter.NewTimer()
			now := time.Unix(3600, 0)
			b.ResetTimer()
			for n := range b.N {
				members, within := 1, shape.Worker
				if n%4 == 0 {
					members, within = 16, shape.DataCentre
				}
				name := fmt.Sprint("new", n)
				began := time.Now()
				failOn(b, e.Submit(jobSpec(name, "team1", members, within), now))
				e.Decide(now)
				timer.Record(time.Since(began))
				e.Cancel(name)
				e.Decide(now)
				e.Forget(name)
			}
			b.ReportMetric(float64(timer.Quantile(99).Microseconds()), "p99-µs")
		})
	}
}

// BenchmarkOwnerMemory reports the heap that the decision state of an owner takes.
func BenchmarkOwnerMemory(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				e := newLoadedEngine(b, workers)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
				runtime.KeepAlive(e)
			}
		})
	}
}

// BenchmarkWorkerSession calls one worker over TCP; bytes/call counts the request body and the response body.
func BenchmarkWorkerSession(b *testing.B) {
	for _, tasks := range []int{1, 5, 20} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			workers := fake.NewWorkers(time.Now)
			server, err := fake.ServeWorkers("127.0.0.1:0", "t", workers)
			failOn(b, err)
			defer func() { failOn(b, server.Close()) }()
			link := worker.NewHTTP(server.URL()+"/workers/{worker}", "t")
			request := worker.Request{Worker: "r-1/0", Epoch: 1, Lease: span.Of(time.Hour)}
			for n := range tasks {
				task := worker.Task{TaskID: worker.TaskID{Job: fmt.Sprint("job-", n), Attempt: 1}, Spec: jobSpec(fmt.Sprint("job-", n), "team1", 1, shape.Worker)}
				task.Spec.Payload = "1h"
				request.Reserve = append(request.Reserve, task)
				request.Start = append(request.Start, task.TaskID)
			}
			_, err = link.Sync(ctx, request)
			failOn(b, err)
			request.Reserve, request.Start, request.OmitSpecs = nil, nil, true
			response, err := link.Sync(ctx, request)
			failOn(b, err)
			up, _ := json.Marshal(request)
			down, _ := json.Marshal(response)
			b.ResetTimer()
			for range b.N {
				_, err := link.Sync(ctx, request)
				failOn(b, err)
			}
			b.ReportMetric(float64(len(up)+len(down)), "bytes/call")
		})
	}
}

// BenchmarkClaims takes claims for many concurrent callers while each call of the key-value store takes 5 ms.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{16, 128, 1024} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			kv := fake.NewKV(time.Now)
			kv.SetFault(fake.Fault{Delay: 5 * time.Millisecond})
			var ids atomic.Int64
			client := store.NewClient(kv, store.NewBudget(1e6, 1e6), time.Now, func() string { return fmt.Sprint(ids.Add(1)) })
			claims := claim.New(client, "a", time.Now, func(int) {})
			defer claims.Close()
			before := kv.Calls("swap")
			began := time.Now()
			var next atomic.Int64
			var wg sync.WaitGroup
			for range callers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						if _, _, err := claims.Acquire(ctx, fmt.Sprint("key-", n), time.Now()); err != nil {
							b.Error(err)
						}
					}
				}()
			}
			wg.Wait()
			writes := float64(kv.Calls("swap") - before)
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "claims/s")
			b.ReportMetric(300*float64(b.N)/max(writes, 1), "claims/s-at-300-writes/s")
		})
	}
}

// BenchmarkQuick compares direct calls to a fake backend server with routed calls, in the same run.
func BenchmarkQuick(b *testing.B) {
	var servers []*fake.Backend
	var members []pool.Backend
	for n := range 4 {
		s, err := fake.NewBackend(fmt.Sprint(n), "127.0.0.1:0", time.Now)
		failOn(b, err)
		defer func() { _ = s.Close() }()
		servers = append(servers, s)
		members = append(members, pool.Backend{Name: s.Name, DataCentre: "dc", Address: s.Address()})
	}
	caller := back.NewHTTP(64)
	p := pool.New("dc", pool.Limits{Slots: 8, Connections: 64}, 64, 1)
	p.SetBackends(members, time.Now())
	service := quick.New(p, caller, nil, event.Discard(), time.Now)
	timed := func(b *testing.B, call func(id string) error) {
		timer := meter.NewTimer()
		for n := range b.N {
			began := time.Now()
			failOn(b, call(fmt.Sprint(b.Name(), n)))
			timer.Record(time.Since(began))
		}
		b.ReportMetric(float64(timer.Quantile(50).Microseconds()), "p50-µs")
		b.ReportMetric(float64(timer.Quantile(99).Microseconds()), "p99-µs")
	}
	b.Run("direct", func(b *testing.B) {
		timed(b, func(id string) error {
			_, err := caller.Call(ctx, servers[0].Address(), back.Request{ID: id, Path: "/x", Body: []byte("x")})
			return err
		})
	})
	b.Run("routed", func(b *testing.B) {
		timed(b, func(id string) error {
			_, err := service.Serve(ctx, quick.Request{ID: id, Key: id, Path: "/x", Body: []byte("x"), Idempotent: true, AttemptTimeout: time.Second})
			return err
		})
	})
}

// BenchmarkStoreCalls counts the calls per second that idle instances make to the key-value store.
func BenchmarkStoreCalls(b *testing.B) {
	for _, extra := range []int{0, 7, 14} {
		b.Run(fmt.Sprint("instances=", 7+extra), func(b *testing.B) {
			c, err := local.Start(ctx, event.Discard(), time.Now)
			failOn(b, err)
			for n := range extra {
				_, err := c.AddInstance(fmt.Sprint("more-", n), "plovdiv")
				failOn(b, err)
			}
			time.Sleep(2 * time.Second)
			var before, after [5]int
			kinds := []string{"get", "watch", "swap", "renew", "grant"}
			for i, kind := range kinds {
				before[i] = c.KV.Calls(kind)
			}
			const span = 4 * time.Second
			var use, used runtime.MemStats
			runtime.ReadMemStats(&use)
			time.Sleep(span)
			for i, kind := range kinds {
				after[i] = c.KV.Calls(kind)
				b.ReportMetric(float64(after[i]-before[i])/span.Seconds(), kind+"/s")
			}
			runtime.GC()
			runtime.ReadMemStats(&used)
			b.ReportMetric(float64(used.HeapAlloc)/1024/1024/float64(7+extra), "MB/instance")
			failOn(b, c.Close())
		})
	}
}

// BenchmarkConfigChange computes one owner's part of a new configuration revision.
func BenchmarkConfigChange(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			doc := config.Document{Revision: 1}
			for d := range 6 {
				spec := fleet.DataCentreSpec{Name: fmt.Sprint("dc", d)}
				for r := range workers / 42 {
					spec.Racks = append(spec.Racks, fleet.RackSpec{Name: fmt.Sprintf("d%d-%d", d, r), Workers: 7, Resources: shape.Resources{Accelerators: 8, Cores: 64, MemoryGB: 256}})
				}
				doc.DataCentres = append(doc.DataCentres, spec)
			}
			for n := range workers / workersPerWorkspace {
				whole := shape.Shape{Members: 1 + n%4, Resources: shape.Resources{Accelerators: 2, Cores: 4, MemoryGB: 4}, Within: shape.Rack}
				doc.Workspaces = append(doc.Workspaces, guard.Workspace{Name: fmt.Sprint("team", n), Guarantees: []guard.Guarantee{{Count: 1, Shape: whole}}})
			}
			policy, _ := engine.Policies.Lookup(engine.DefaultPolicy)
			raw, _ := json.Marshal(doc)
			b.ResetTimer()
			for range b.N {
				_, err := doc.ForCentre("dc0", policy)
				failOn(b, err)
			}
			b.ReportMetric(float64(len(raw))/1024, "document-KB")
		})
	}
}

func withTimeout(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, limit)
}
