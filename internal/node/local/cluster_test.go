package local

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/oper/client"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"gotest.tools/v3/assert"
)

// waitTimeout bounds the wait for a condition; no result depends on it, it only ends a test that hangs.
const waitTimeout = time.Minute

func startCluster(t *testing.T) *Cluster {
	t.Helper()
	c, err := Start(context.Background(), event.Discard(), time.Now)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	waitFor(t, "owners", func() bool {
		answer, err := c.Instances()[0].Client.Execute("instances where owner = true")
		return err == nil && len(answer.Rows) == len(dataCentres)
	})
	return c
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.After(waitTimeout)
	for !condition() {
		select {
		case <-limit:
			t.Fatalf("timed out waiting for: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func outcomeOf(c *Cluster, job string) queue.Outcome {
	record, err := c.Instances()[0].Client.Job(job)
	if err != nil {
		return queue.OutcomeNone
	}
	return record.Outcome
}

// assertNoTaskStartedTwice checks that the workers have started each task at most once.
func assertNoTaskStartedTwice(t *testing.T, c *Cluster) {
	t.Helper()
	seen := make(map[string]bool)
	for _, id := range c.Workers.Starts() {
		assert.Equal(t, seen[id.String()], false, "%s started twice", id)
		seen[id.String()] = true
	}
}

func TestEveryInstanceOfADataCentreIsReplacedAtOnce(t *testing.T) {
	c := startCluster(t)
	for n := range 6 {
		_, err := c.Instances()[0].Client.Submit(gangOf("lab", fmt.Sprint("j", n), 4, 6*time.Second))
		assert.NilError(t, err)
	}
	waitFor(t, "running", func() bool { return len(c.Workers.Starts()) == 24 })
	for _, node := range c.Instances() {
		if node.DataCentre == "plovdiv" {
			c.Remove(node, true)
		}
	}
	_, err := c.AddInstance("plv-entry-new", "plovdiv")
	assert.NilError(t, err)
	for n := range 6 {
		waitFor(t, "finished", func() bool { return outcomeOf(c, fmt.Sprint("j", n)) == queue.Finished })
	}
	assert.Equal(t, len(c.Workers.Starts()), 24)
	assertNoTaskStartedTwice(t, c)
}

func TestOutageOfTheStoreStopsNothingThatRuns(t *testing.T) {
	c := startCluster(t)
	_, err := c.Instances()[0].Client.Submit(gangOf("lab", "j", 4, 3*time.Second))
	assert.NilError(t, err)
	waitFor(t, "running", func() bool { return len(c.Workers.Starts()) == 4 })
	c.KV.SetFault(fake.Fault{Down: true})
	_, err = c.Instances()[1].Client.Execute("drain plovdiv")
	var answer *client.AnswerError
	assert.Equal(t, errors.As(err, &answer) && answer.NotRun, true, "%v", err)
	_, err = c.Instances()[2].Client.Submit(gangOf("lab", "k", 4, time.Second))
	assert.Equal(t, errors.As(err, &answer) && answer.NotRun, true, "%v", err)
	body, err := c.Instances()[3].Client.Quick("/price", "q", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, body, "answer to q: x")
	c.KV.SetFault(fake.Fault{})
	waitFor(t, "finished", func() bool { return outcomeOf(c, "j") == queue.Finished })
	assertNoTaskStartedTwice(t, c)
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	c := startCluster(t)
	stopWithRequestsInFlight(t, c)
}

func TestPlannedStopInAnOutageCutsNoRequest(t *testing.T) {
	c := startCluster(t)
	c.KV.SetFault(fake.Fault{Down: true})
	stopWithRequestsInFlight(t, c)
	c.KV.SetFault(fake.Fault{})
}

// stopWithRequestsInFlight stops an instance while eight of its requests are running; all must be answered.
func stopWithRequestsInFlight(t *testing.T, c *Cluster) {
	t.Helper()
	for _, b := range c.Backends {
		b.SetBehaviour(fake.Behaviour{Latency: 300 * time.Millisecond})
	}
	node := c.Instances()[1]
	results := make(chan error, 8)
	for n := range 8 {
		go func() {
			_, err := node.Client.Quick("/price", fmt.Sprint("q", n), []byte("x"))
			results <- err
		}()
	}
	waitFor(t, "in flight", func() bool {
		total := 0
		for _, b := range c.Backends {
			total += b.TotalRuns()
		}
		return total == 8
	})
	c.Remove(node, false)
	for range 8 {
		assert.NilError(t, <-results)
	}
}

func TestRacingCommandsAndConfigurationEverywhere(t *testing.T) {
	c := startCluster(t)
	results := make(chan error, 2)
	for n := range 2 {
		go func() {
			_, err := c.Instances()[n].Client.Execute("drain haskovo")
			results <- err
		}()
	}
	first, second := <-results, <-results
	assert.Equal(t, (first == nil) != (second == nil), true, "%v, %v", first, second)
	waitFor(t, "active on every instance", func() bool {
		answer, err := c.Instances()[2].Client.Execute("instances where revision >= 2")
		return err == nil && len(answer.Rows) == len(c.Instances())
	})
}

func TestHeldJobRunsOnceAdmitted(t *testing.T) {
	c := startCluster(t)
	doc, err := c.Instances()[0].Client.Config()
	assert.NilError(t, err)
	doc.Admissions = []config.Admission{{Workspace: "lab", Manual: true}}
	source, err := encode(doc)
	assert.NilError(t, err)
	_, err = c.Instances()[0].Client.Apply(source)
	assert.NilError(t, err)
	_, err = c.Instances()[0].Client.Submit(gangOf("lab", "held", 4, time.Second))
	assert.NilError(t, err)
	waitFor(t, "why", func() bool {
		answer, err := c.Instances()[0].Client.Execute("why held")
		return err == nil && strings.Contains(answer.Message, "admit held")
	})
	assert.Equal(t, len(c.Workers.Starts()), 0)
	_, err = c.Instances()[1].Client.Execute("admit held")
	assert.NilError(t, err)
	waitFor(t, "finished", func() bool { return outcomeOf(c, "held") == queue.Finished })
}

func TestOperatorsNeedTheToken(t *testing.T) {
	c := startCluster(t)
	wrongToken := *c.Instances()[0].Client
	wrongToken.Token = "guess"
	_, err := wrongToken.Execute("jobs")
	var answer *client.AnswerError
	assert.Equal(t, errors.As(err, &answer), true)
	assert.Equal(t, answer.Status, 401)
}

func TestCallersOfOthersAreAnsweredWhileAnInstanceDies(t *testing.T) {
	c := startCluster(t)
	crashed := c.Instances()[0]
	others := c.Instances()[1:]
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		c.Remove(crashed, true)
	}()
	for n := range 120 {
		id := fmt.Sprint("q", n)
		body, err := others[n%len(others)].Client.Quick("/price", id, []byte("x"))
		assert.NilError(t, err)
		assert.Equal(t, body, "answer to "+id+": x")
	}
	<-removed
	runs := 0
	for _, b := range c.Backends {
		runs += b.TotalRuns()
	}
	assert.Equal(t, runs, 120, "every request ran exactly once")
}

func TestFreshInstanceTakesTheRevisionOfItsPeers(t *testing.T) {
	c := startCluster(t)
	_, err := c.Instances()[0].Client.Execute("drain haskovo")
	assert.NilError(t, err)
	c.KV.SetFault(fake.Fault{Down: true})
	fresh, err := c.AddInstance("plv-entry-fresh", "plovdiv")
	assert.NilError(t, err)
	waitFor(t, "the peers' revision", func() bool {
		doc, err := fresh.Client.Config()
		return err == nil && doc.Revision == 2
	})
	answer, err := fresh.Client.Execute("instances where instance = plv-entry-fresh")
	assert.NilError(t, err)
	assert.Equal(t, answer.Rows[0]["source"], "fromPeer")
	c.KV.SetFault(fake.Fault{})
}
