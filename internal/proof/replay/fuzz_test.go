package replay_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/replay"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// anyShape draws a shape that may or may not fit the fleet.
func anyShape(t *rapid.T) shape.Shape {
	return shape.Shape{
		Members: rapid.SampledFrom([]int{1, 1, 1, 2, 3, 4}).Draw(t, "members"),
		Resources: shape.Resources{
			Accelerators: rapid.SampledFrom([]int{0, 1, 2, 3, 4}).Draw(t, "accelerators"), Cores: rapid.IntRange(1, 8).Draw(t, "cores"), MemoryGB: 1,
		},
		Within: rapid.SampledFrom(shape.WithinValues()).Draw(t, "within"),
	}
}

func anyHeader(t *rapid.T) trace.Header {
	h := trace.Header{Kind: "header", Version: 1, Name: "fuzz", Seed: rapid.Uint64Range(1, 99).Draw(t, "seed")}
	for d := range rapid.IntRange(1, 3).Draw(t, "centres") {
		spec := fleet.DataCentreSpec{Name: fmt.Sprint("dc", d)}
		for r := range rapid.IntRange(1, 2).Draw(t, "racks") {
			spec.Racks = append(spec.Racks, fleet.RackSpec{
				Name: fmt.Sprintf("d%d-%d", d, r), Workers: rapid.IntRange(1, 4).Draw(t, "workers"), Resources: shape.Resources{Accelerators: 4, Cores: 8, MemoryGB: 64},
			})
		}
		h.DataCentres = append(h.DataCentres, spec)
	}
	for n := range 3 {
		ws := guard.Workspace{Name: fmt.Sprint("ws", n)}
		if rapid.Bool().Draw(t, "promised") {
			ws.Guarantees = []guard.Guarantee{{Count: rapid.IntRange(1, 2).Draw(t, "count"), Shape: anyShape(t)}}
		}
		h.Workspaces = append(h.Workspaces, ws)
	}
	return h
}

func anyTime(t *rapid.T) span.Duration {
	return span.Of(time.Duration(rapid.IntRange(0, 2400).Draw(t, "at")) * time.Second)
}

func anyJob(t *rapid.T, n int) trace.Submit {
	job := trace.Submit{
		At: trace.At{At: anyTime(t), Kind: "submit"}, Job: fmt.Sprint("j", n), Workspace: fmt.Sprint("ws", rapid.IntRange(0, 2).Draw(t, "ws")),
		Class: rapid.SampledFrom(queue.ClassValues()).Draw(t, "class"), Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0, Shape: anyShape(t),
		Declared: span.Of(time.Duration(rapid.IntRange(0, 2000).Draw(t, "declared")) * time.Second),
		Actual:   span.Of(time.Duration(rapid.IntRange(1, 2000).Draw(t, "actual")) * time.Second),
	}
	if rapid.IntRange(0, 2).Draw(t, "checkpoints") > 0 {
		job.CheckpointEvery = span.Of(time.Duration(rapid.IntRange(1, 300).Draw(t, "every")) * time.Second)
		job.CheckpointTakes = span.Of(time.Duration(rapid.IntRange(0, 30).Draw(t, "takes")) * time.Second)
	}
	if rapid.IntRange(0, 11).Draw(t, "fails") == 0 {
		job.FailsAfter = span.Of(5 * time.Second)
	}
	return job
}

// anyFault draws a failure or an operator command and, for most kinds, the event that ends it.
func anyFault(t *rapid.T, h trace.Header) []trace.Event {
	centre := h.DataCentres[rapid.IntRange(0, len(h.DataCentres)-1).Draw(t, "centre")]
	rack := centre.Racks[rapid.IntRange(0, len(centre.Racks)-1).Draw(t, "rack")]
	name := fmt.Sprintf("%s/%d", rack.Name, rapid.IntRange(0, rack.Workers-1).Draw(t, "worker"))
	from := anyTime(t)
	to := span.Of(from.Duration + time.Duration(rapid.IntRange(1, 900).Draw(t, "lasts"))*time.Second)
	pair := func(begin, end, dataCentre string) []trace.Event {
		return []trace.Event{trace.DataCentreChange{At: trace.At{At: from, Kind: begin}, DataCentre: dataCentre}, trace.DataCentreChange{At: trace.At{At: to, Kind: end}, DataCentre: dataCentre}}
	}
	workers := func(begin, end string) []trace.Event {
		return []trace.Event{trace.WorkerChange{At: trace.At{At: from, Kind: begin}, Worker: name}, trace.WorkerChange{At: trace.At{At: to, Kind: end}, Worker: name}}
	}
	switch rapid.IntRange(0, 7).Draw(t, "trouble") {
	case 0:
		return []trace.Event{
			trace.Drain{At: trace.At{At: from, Kind: "drain"}, DataCentre: centre.Name, Deadline: span.Of(time.Duration(rapid.IntRange(0, 90).Draw(t, "deadline")) * time.Second)},
			trace.DataCentreChange{At: trace.At{At: to, Kind: trace.KindRestore}, DataCentre: centre.Name},
		}
	case 1:
		return pair(trace.KindDataCentreDown, trace.KindDataCentreUp, centre.Name)
	case 2:
		return pair(trace.KindStoreDown, trace.KindStoreUp, "")
	case 3:
		return pair(trace.KindStoreDown, trace.KindStoreUp, centre.Name)
	case 4:
		return workers(trace.KindWorkerDown, trace.KindWorkerUp)
	case 5:
		return workers(trace.KindWorkerBad, trace.KindWorkerGood)
	default:
		return []trace.Event{trace.DataCentreChange{At: trace.At{At: from, Kind: trace.KindOwnerLost}, DataCentre: centre.Name}}
	}
}

// anyTrace draws a small trace with faults, commands and cancels; it also returns its source text. The last result is
// false if the guarantees do not fit.
func anyTrace(t *rapid.T) (*trace.Trace, string, bool) {
	h := anyHeader(t)
	var events []trace.Event
	for n := range rapid.IntRange(1, 25).Draw(t, "jobs") {
		job := anyJob(t, n)
		events = append(events, job)
		if rapid.IntRange(0, 9).Draw(t, "cancelled") == 0 {
			events = append(events, trace.Cancel{At: trace.At{At: span.Of(job.When() + time.Duration(rapid.IntRange(0, 600).Draw(t, "after"))*time.Second), Kind: "cancel"}, Job: job.Job})
		}
	}
	for range rapid.IntRange(0, 5).Draw(t, "troubles") {
		events = append(events, anyFault(t, h)...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].When() < events[j].When() })
	var text bytes.Buffer
	lines := json.NewEncoder(&text)
	_ = lines.Encode(h)
	for _, e := range events {
		_ = lines.Encode(e)
	}
	source := text.String()
	parsed, err := trace.Read(&text)
	return parsed, source, err == nil
}

// TestAnyTraceBreaksNoPromise replays random traces and expects no violation. The seed is fixed unless -rapid.seed sets
// another one.
func TestAnyTraceBreaksNoPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parsed, source, ok := anyTrace(t)
		if !ok {
			t.Skip("the guarantees do not fit")
		}
		result, err := replay.Run(parsed, "default", frozenClock)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range result.Violations {
			t.Errorf("at %s job %s: %s: %s\n%s", v.Entry.At, v.Entry.Job, v.Promise, v.State, source)
		}
	})
}

func TestMain(m *testing.M) {
	// The fixed seed draws the same traces in every run; `go test -args -rapid.seed=N` draws others.
	setSeed()
	m.Run()
}

func TestTraceErrorNamesLineAndField(t *testing.T) {
	head := `{"kind":"header","version":1,"name":"x","seed":1,"dataCentres":[{"name":"a","racks":[{"name":"r","workers":1,"cores":1,"memoryGB":1,"accelerators":1}]}],"workspaces":[{"name":"w"}]}` + "\n"
	for _, row := range []struct{ line, want string }{
		{`{"at":"0s","kind":"cancel","job":"nobody"}`, `line 2: field "job"`},
		{`{"at":"0s","kind":"cancel","jib":"j"}`, `line 2: field "jib"`},
		{`{"at":"0s","kind":"explode"}`, `line 2: field "kind"`},
		{`{"at":"x","kind":"end"}`, `line 2`},
		{`{"at":"0s","kind":"drain","dataCentre":"b"}`, `line 2: field "dataCentre"`},
		{`{"at":"0s","kind":"workerDown","worker":"r/7"}`, `line 2: field "worker"`},
		{`{"at":"0s","kind":"submit","job":"j","workspace":"w","class":"batch","members":0,"within":"rack","actual":"1s"}`, `line 2: field "members"`},
	} {
		_, err := trace.Read(bytes.NewBufferString(head + row.line + "\n"))
		assert.ErrorContains(t, err, row.want)
	}
	_, err := trace.Read(bytes.NewBufferString(head + `{"at":"5s","kind":"end"}` + "\n" + `{"at":"6s","kind":"end"}`))
	assert.ErrorContains(t, err, "line 3")
}

const (
	// drawSeed is the fixed seed of the drawn traces.
	drawSeed = "20261204"
	// drawnTraces is the number of traces that are drawn.
	drawnTraces = "3000"
)

func setSeed() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		// Setting the flags cannot fail: rapid defines them, and the values are valid.
		_ = f.Value.Set(drawSeed)
		_ = flag.Set("rapid.checks", drawnTraces)
		_ = flag.Set("rapid.nofailfile", "true")
	}
}
