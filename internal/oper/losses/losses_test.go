package losses_test

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/oper/losses"
	"gotest.tools/v3/assert"
)

const job = "5c0e7a21d94b36f8"

// line returns a log line at the given number of milliseconds; fields are the inner part of a JSON object.
func line(ms int, message, fields string) string {
	at := time.UnixMilli(int64(1_700_000_000_000 + ms)).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf("%9.4f host-1 {\"fields\":{\"instance\":\"a\",%s},\"level\":\"info\",\"timestamp\":%q,\"message\":%q}", float64(ms)/1000, fields, at, message)
}

func aboutJob(fields string) string { return fmt.Sprintf("\"job\":%q,\"token\":7,%s", job, fields) }

// accepted returns the lines of a quick job of one task, which is received at 0 ms; its objective is 1.5 times its work plus
// 250 ms.
func accepted() []string {
	return []string{
		line(10, "admitted", aboutJob(`"result":"oK","took":"10ms"`)),
		line(12, "jobSeen", aboutJob(`"queue":"quick","workspace":"alpha","age":"2ms","stretch":1.5,"target":"250ms","steps":[{"count":1}]`)),
	}
}

func changed(ms int, what, more string) string {
	return line(ms, "runChanged", aboutJob(fmt.Sprintf("\"what\":%q,%s", what, more)))
}

func task(run int) string { return fmt.Sprintf("\"task\":\"%s.0.0.0\",\"run\":%d", job, run) }

func started(ms, run int) string {
	return line(ms, "startSent", fmt.Sprintf("\"token\":7,%s,\"outcome\":\"started\",\"worker\":\"w\"", task(run)))
}

// ended returns the lines of a job that ends, is recorded and is shown.
func ended(end, recorded, shown int) []string {
	return []string{
		changed(end, "jobOver", `"why":"completed: all tasks done"`),
		line(recorded, "jobRecorded", aboutJob(`"phase":"completed"`)),
		line(shown, "jobShown", fmt.Sprintf("\"job\":%q,\"phase\":\"completed\"", job)),
	}
}

func collect(t *testing.T, lines ...[]string) *losses.Collector {
	t.Helper()
	var text strings.Builder
	for _, some := range lines {
		text.WriteString(strings.Join(some, "\n") + "\n")
	}
	c := losses.NewCollector()
	assert.NilError(t, c.Read("a.log", strings.NewReader(text.String())))
	return c
}

// seconds returns the lateness of the cause.
func seconds(r *losses.Report, cause losses.Cause) float64 {
	for _, row := range r.Causes {
		if row.Name == cause.String() {
			return row.LatenessSeconds
		}
	}
	return 0
}

func assertSeconds(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.06, "%.3f s instead of %.3f s", got, want)
}

func TestJobWithinItsObjectiveLosesNothing(t *testing.T) {
	r := collect(t, accepted(), []string{changed(14, "runPlaced", task(1)), started(20, 1), changed(1020, "runDone", task(1))}, ended(1020, 1030, 1100)).Report()
	assert.Equal(t, r.Total.Jobs, 1)
	assert.Equal(t, r.Total.Late, 0)
	assert.Equal(t, r.Total.LatenessSeconds, 0.0)
}

// Each row is a job with 1 s of work, whose objective is thus 1.75 s, and one delay of several seconds.
func TestDelaysAreAttributed(t *testing.T) {
	run := func(placed, begin int) []string {
		return []string{changed(placed, "runPlaced", task(1)), started(begin, 1), changed(begin+1000, "runDone", task(1))}
	}
	for name, c := range map[string]struct {
		lines []string
		want  losses.Cause
	}{
		"the fleet is full": {
			append([]string{changed(14, "jobWaits", task(0)+`,"cause":"fleetFull"`)}, append(run(3014, 3020), ended(4020, 4030, 4040)...)...), losses.FleetFull,
		},
		"other runs have to stop": {
			append([]string{changed(14, "jobWaits", task(0)+`,"cause":"stopAwaited"`)}, append(run(3014, 3020), ended(4020, 4030, 4040)...)...), losses.StopAwaited,
		},
		"the end can't be recorded": {
			append(run(14, 20), append([]string{line(2000, "commitFailed", `"token":7,"error":"down"`)}, ended(1020, 4000, 4010)...)...), losses.StoreAway,
		},
		"the end is not shown":      {append(run(14, 20), ended(1020, 1030, 4000)...), losses.EndNotShown},
		"the worker does not start": {run(14, 3020), losses.WorkerSilent},
		"the run is preempted": {
			append([]string{changed(14, "runPlaced", task(1)), started(20, 1), changed(520, "runStopped", task(1)+`,"cause":"preempted","coreSeconds":16`),
				changed(3014, "runPlaced", task(2)), started(3020, 2), changed(4020, "runDone", task(2))}, ended(4020, 4030, 4040)...), losses.Preempted,
		},
		"no owner decides": {
			append([]string{line(16, "termLoaded", `"token":9`), line(2900, "termLoaded", `"token":11`)},
				append([]string{changed(3014, "runPlaced", task(1)), started(3020, 1), changed(4020, "runDone", task(1))}, ended(4020, 4030, 4040)...)...), losses.OwnerChanging,
		},
	} {
		t.Run(name, func(t *testing.T) {
			more := c.lines
			if name == "the worker does not start" {
				more = append(more, ended(4020, 4030, 4040)...)
			}
			r := collect(t, accepted(), more).Report()
			assert.Equal(t, r.Total.Late, 1)
			assert.Assert(t, seconds(r, c.want) > 0.9*r.Total.LatenessSeconds, "%v", r.Causes)
			assert.Assert(t, r.UnexplainedShare < 0.05, "%.3f unexplained", r.UnexplainedShare)
		})
	}
}

// Three workers of a data centre fall silent at once; what the job waits for there is the data centre's fault.
func TestSilentDataCentreIsCutOff(t *testing.T) {
	lines := []string{line(5, "rackListed", `"dataCentre":"dc","workers":["w","x","y"],"token":7`)}
	for _, worker := range []string{"w", "x", "y"} {
		lines = append(lines, line(600, "workerSilent", fmt.Sprintf("\"worker\":%q", worker)))
	}
	r := collect(t, accepted(), lines, []string{
		changed(14, "runPlaced", task(1)+`,"worker":"w"`), started(20, 1), changed(3000, "runBroken", task(1)+`,"worker":"w","why":"lost"`),
		changed(3014, "runPlaced", task(2)+`,"worker":"z"`), started(3020, 2), changed(4020, "runDone", task(2)),
	}, ended(4020, 4030, 4040)).Report()
	assert.Assert(t, seconds(r, losses.CutOff) > 0.9*r.Total.LatenessSeconds, "%v", r.Causes)
}

// The caller was sent away twice before another instance accepted the job.
func TestRefusalsAreCounted(t *testing.T) {
	refused := []string{
		line(10, "admitted", fmt.Sprintf("\"job\":%q,\"result\":\"refused\",\"took\":\"10ms\",\"why\":\"store: unavailable\"", job)),
		line(1500, "admitted", fmt.Sprintf("\"job\":%q,\"result\":\"refused\",\"took\":\"4ms\",\"why\":\"store: unavailable\"", job)),
	}
	c := collect(t, refused, []string{
		line(3010, "admitted", aboutJob(`"result":"oK","took":"10ms"`)),
		line(3012, "jobSeen", aboutJob(`"queue":"quick","workspace":"alpha","age":"2ms","stretch":1.5,"target":"250ms","steps":[{"count":1}]`)),
		changed(3014, "runPlaced", task(1)), started(3020, 1), changed(4020, "runDone", task(1)),
	}, ended(4020, 4030, 4040))
	r := c.Report()
	assert.Equal(t, r.Total.Refusals, 2)
	assert.Equal(t, r.Total.Refused, 0)
	assertSeconds(t, seconds(r, losses.StoreAway), 4.04-1.75)
	assert.Equal(t, len(c.Job(job).Refusals), 2)
	assert.Assert(t, c.Job("other") == nil)
	only := collect(t, refused).Report()
	assert.Equal(t, only.Total.Refused, 1)
	assert.Equal(t, only.Total.Late, 0)
}

// A gang's members are one task group, and work that was discarded counts once, also if several members report it.
func TestDiscardedWorkOfAGang(t *testing.T) {
	r := collect(t, []string{
		line(10, "admitted", aboutJob(`"result":"oK","took":"10ms"`)),
		line(12, "jobSeen", aboutJob(`"queue":"plan","workspace":"alpha","age":"2ms","stretch":3,"target":"1s","steps":[{"count":2,"gang":true}]`)),
		changed(14, "runPlaced", task(1)),
		changed(1014, "runBroken", fmt.Sprintf(`"task":"%s.0.0.1","run":1,"why":"failed","coreSeconds":10`, job)),
		changed(1015, "runStopped", task(1)+`,"cause":"memberEnded","coreSeconds":12`),
		changed(1100, "runPlaced", task(2)), changed(2100, "runDone", fmt.Sprintf(`"task":"%s.0.0.1","run":2`, job)),
	}, ended(2100, 2110, 2120)).Report()
	assert.Equal(t, r.Total.CoreSeconds, 22.0)
	assert.Equal(t, r.Total.Late, 0)
	assert.Equal(t, r.Causes[0].Name, losses.RunFailed.String())
}

// Each response of the store takes a second; nothing fails, but nothing comes in time.
func TestSlowStoreIsTheCauseOfASlowAdmission(t *testing.T) {
	r := collect(t, []string{
		line(2010, "admitted", aboutJob(`"result":"oK","took":"2.01s"`)),
		line(2012, "jobSeen", aboutJob(`"queue":"quick","workspace":"alpha","age":"2ms","stretch":1.5,"target":"250ms","steps":[{"count":1}]`)),
		changed(2014, "runPlaced", task(1)), started(2020, 1), changed(3020, "runDone", task(1)),
	}, ended(3020, 3030, 3040)).Report()
	assert.Assert(t, seconds(r, losses.StoreAway) > 0.9*r.Total.LatenessSeconds, "%v", r.Causes)
}

func TestUnfinishedAndCancelledJobs(t *testing.T) {
	r := collect(t, accepted(), []string{changed(14, "jobWaits", task(0)+`,"cause":"scattered"`), line(9000, "asked", `"job":"/x/1"`)}).Report()
	assert.Equal(t, r.Total.Unfinished, 1)
	assertSeconds(t, seconds(r, losses.Scattered), 9-0.25)
	r = collect(t, accepted(), []string{changed(5000, "jobOver", `"why":"cancelled: cancelled"`)}).Report()
	assert.Equal(t, r.Cancelled, 1)
	assert.Equal(t, r.Total.Late, 0)
}

func TestBadLinesAndMissingInstancesAreNamed(t *testing.T) {
	r := collect(t, accepted(), []string{"no object here", `1.0 host {"fields":{"job":`, line(20, "relayed", `"peer":"b","job":"/x/1","result":"oK"`)}).Report()
	assert.Equal(t, len(r.BadLines), 1)
	assert.Assert(t, strings.HasPrefix(r.BadLines[0], "a.log: line 4: "), r.BadLines[0])
	assert.DeepEqual(t, r.MissingInstances, []string{"b"})
}

func TestPlotShowsEachCause(t *testing.T) {
	c := collect(t, accepted(), []string{changed(14, "jobWaits", task(0)+`,"cause":"fleetFull"`), changed(3014, "runPlaced", task(1)), started(3020, 1), changed(4020, "runDone", task(1))}, ended(4020, 4030, 4040))
	var out bytes.Buffer
	assert.NilError(t, c.Report().Plot(&out))
	assert.Assert(t, strings.HasPrefix(out.String(), "<svg") && strings.Contains(out.String(), "fleetFull"))
	var nothing *losses.NothingLateError
	assert.Assert(t, errors.As(losses.NewCollector().Report().Plot(&out), &nothing))
}
