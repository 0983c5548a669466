package bench_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/back"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/node/local"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/pool"
	"github.com/lentildeck/lentildeck/internal/route/quick"
)

// startBackends starts eight fake backend servers, three of which injectFaults makes fail.
func startBackends(b *testing.B) []*fake.Backend {
	b.Helper()
	var servers []*fake.Backend
	for n := range 8 {
		s, err := fake.NewBackend(fmt.Sprint("runner-", n), "127.0.0.1:0", time.Now)
		failOn(b, err)
		servers = append(servers, s)
	}
	return servers
}

// injectFaults closes one server, makes one leave and one stop answering on its open connections.
func injectFaults(servers []*fake.Backend) {
	_ = servers[0].Close()
	servers[1].SetBehaviour(fake.Behaviour{Leaving: true})
	servers[2].SetBehaviour(fake.Behaviour{HangOpenConnections: true})
}

// reportAnsweredShare sends requests from eight callers, injects the faults after a third of them, and reports the share
// that was answered.
func reportAnsweredShare(b *testing.B, servers []*fake.Backend, call func(id string) error) {
	const requests, callers = 900, 8
	var answered, sent atomic.Int64
	var once sync.Once
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := sent.Add(1); n <= requests; n = sent.Add(1) {
				if n > requests/3 {
					once.Do(func() { injectFaults(servers) })
				}
				if call(fmt.Sprint("r", n)) == nil {
					answered.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(100*float64(answered.Load())/requests, "%answered")
	for _, s := range servers[1:] {
		_ = s.Close()
	}
}

// BenchmarkTrouble compares routing with plain round robin while servers die, leave and stop answering; no pings are sent.
func BenchmarkTrouble(b *testing.B) {
	const attemptTimeout = 300 * time.Millisecond
	b.Run("round-robin", func(b *testing.B) {
		for range b.N {
			servers := startBackends(b)
			caller := back.NewHTTP(64)
			var next atomic.Int64
			reportAnsweredShare(b, servers, func(id string) error {
				limit, cancel := withTimeout(attemptTimeout)
				defer cancel()
				_, err := caller.Call(limit, servers[next.Add(1)%8].Address(), back.Request{ID: id, Path: "/x", Body: []byte("x")})
				return err
			})
		}
	})
	b.Run("routed", func(b *testing.B) {
		for range b.N {
			servers := startBackends(b)
			var members []pool.Backend
			for _, s := range servers {
				members = append(members, pool.Backend{Name: s.Name, DataCentre: "dc", Address: s.Address()})
			}
			p := pool.New("dc", pool.Limits{Slots: 8, Connections: 64}, 64, 1)
			p.SetBackends(members, time.Now())
			service := quick.New(p, back.NewHTTP(64), nil, event.Discard(), time.Now)
			reportAnsweredShare(b, servers, func(id string) error {
				limit, cancel := withTimeout(3 * attemptTimeout)
				defer cancel()
				_, err := service.Serve(limit, quick.Request{ID: id, Key: id, Path: "/x", Body: []byte("x"), Idempotent: true, AttemptTimeout: attemptTimeout})
				return err
			})
		}
	})
}

// BenchmarkInForce measures the time from a command until it is active on all of seven instances.
func BenchmarkInForce(b *testing.B) {
	c, err := local.Start(ctx, event.Discard(), time.Now)
	failOn(b, err)
	defer func() { failOn(b, c.Close()) }()
	waitForOwners(b, c)
	timer := meter.NewTimer()
	for n := range b.N {
		line := "drain haskovo"
		if n%2 == 1 {
			line = "restore haskovo"
		}
		began := time.Now()
		_, err := c.Instances()[n%7].Client.Execute(line)
		failOn(b, err)
		for {
			answer, err := c.Instances()[0].Client.Execute(fmt.Sprint("instances where revision >= ", n+2))
			if err == nil && len(answer.Rows) == 7 {
				break
			}
		}
		timer.Record(time.Since(began))
	}
	b.ReportMetric(float64(timer.Quantile(99).Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(timer.Quantile(100).Microseconds())/1000, "max-ms")
}

func waitForOwners(b *testing.B, c *local.Cluster) {
	b.Helper()
	for {
		answer, err := c.Instances()[0].Client.Execute("instances where owner = true")
		if err == nil && len(answer.Rows) == 3 {
			return
		}
	}
}

// waitForOwnerOf returns the instance that decides for the data centre. An instance lists itself as the owner when it has the
// lease, which is before it decides.
func waitForOwnerOf(c *local.Cluster, dataCentre string) *local.Instance {
	for {
		for _, node := range c.Instances() {
			if node.DataCentre == dataCentre && node.Daemon.IsOwner() {
				return node
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkOwnerLoss measures the time from the death of the only owner that may run a job until the job's first task
// starts under the next owner.
func BenchmarkOwnerLoss(b *testing.B) {
	timer := meter.NewTimer()
	for n := range b.N {
		c, err := local.Start(ctx, event.Discard(), time.Now)
		failOn(b, err)
		waitForOwners(b, c)
		removed := make(chan struct{})
		for _, centre := range []string{"haskovo", "pazardzhik"} {
			_, err := c.Instances()[0].Client.Execute("drain " + centre)
			failOn(b, err)
		}
		owner := waitForOwnerOf(c, "plovdiv")
		go func() {
			defer close(removed)
			c.Remove(owner, true)
		}()
		began := time.Now()
		_, err = c.Instances()[6-1].Client.Submit(queue.Spec{
			Job: fmt.Sprint("j", n), Workspace: "lab", Class: queue.Urgent, Idempotent: true, Declared: span.Of(time.Second), Payload: "1s",
			Shape: shape.Shape{Members: 1, Resources: shape.Resources{Accelerators: 1, Cores: 1, MemoryGB: 1}},
		})
		failOn(b, err)
		for len(c.Workers.Starts()) == 0 {
			time.Sleep(time.Millisecond)
		}
		timer.Record(time.Since(began))
		<-removed
		failOn(b, c.Close())
	}
	b.ReportMetric(float64(timer.Quantile(50).Milliseconds()), "p50-ms")
	b.ReportMetric(float64(timer.Quantile(100).Milliseconds()), "max-ms")
}
