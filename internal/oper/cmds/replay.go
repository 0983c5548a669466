package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/lentildeck/lentildeck/internal/oper/query"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/proof/check"
	"github.com/lentildeck/lentildeck/internal/proof/replay"
	"github.com/lentildeck/lentildeck/internal/proof/sample"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxShownViolations is the maximum number of violations that are printed for one replay.
const maxShownViolations = 20

func init() {
	Commands.Register("replay", replayCommand)
	Commands.Register("trace", traceCommand)
}

// replayFlags holds the flags of the replay command.
type replayFlags struct {
	policy     string
	format     string
	explainJob string
}

func replayCommand(env *Env) *ffcli.Command {
	var f replayFlags
	flags := flag.NewFlagSet("replay", flag.ContinueOnError)
	flags.StringVar(&f.policy, "policy", engine.DefaultPolicy, "policy, or all; known: "+strings.Join(engine.Policies.Names(), ", "))
	flags.StringVar(&f.format, "format", "table", "table or json (one object per line)")
	flags.StringVar(&f.explainJob, "explain", "", "print the history of this job instead of the report")
	return &ffcli.Command{
		Name: "replay", ShortUsage: "lentildeck replay [flags] FILE...", ShortHelp: "replay recorded traces and report the results; exits 1 if there are violations", FlagSet: flags,
		Exec: func(_ context.Context, files []string) error {
			if f.format != "table" && f.format != "json" {
				return &UsageError{Problem: fmt.Sprintf("--format %q is not known; use table or json", f.format)}
			}
			if len(files) == 0 {
				return &UsageError{Problem: "replay requires at least one trace file; see `lentildeck help traces`"}
			}
			return f.run(env, files)
		},
	}
}

// run reads all traces before the first replay, so that an invalid file is reported before any replay.
func (f *replayFlags) run(env *Env, files []string) error {
	policies := []string{f.policy}
	if f.policy == "all" {
		policies = engine.Policies.Names()
	}
	traces := make([]*trace.Trace, 0, len(files))
	for _, file := range files {
		t, err := readTrace(file)
		if err != nil {
			return err
		}
		traces = append(traces, t)
	}
	violations := 0
	for _, t := range traces {
		var reports []replay.Report
		for _, policy := range policies {
			result, err := replay.Run(t, policy, env.Now)
			if err != nil {
				return &UsageError{Problem: err.Error()}
			}
			if f.explainJob != "" {
				printJobHistory(env, result.Log, policy, f.explainJob)
				continue
			}
			violations += result.Report.Violations.Total()
			printViolations(env, result)
			reports = append(reports, result.Report)
		}
		if err := f.print(env, reports); err != nil {
			return err
		}
	}
	if violations > 0 {
		return &ViolationsError{Count: violations}
	}
	return nil
}

// ViolationsError reports the number of violations in all replays.
type ViolationsError struct{ Count int }

// Error returns the number of violations.
func (e *ViolationsError) Error() string { return fmt.Sprintf("%d violations", e.Count) }

func readTrace(path string) (*trace.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	defer func() { _ = file.Close() }()
	t, err := trace.Read(file)
	if err != nil {
		return nil, &UsageError{Problem: path + ": " + err.Error()}
	}
	return t, nil
}

// printViolations prints time, event, broken promise and state of the first violations.
func printViolations(env *Env, result replay.Result) {
	for i, v := range result.Violations {
		if i == maxShownViolations {
			_, _ = fmt.Fprintf(env.Err, "... and %d more\n", len(result.Violations)-i)
			return
		}
		_, _ = fmt.Fprintf(env.Err, "violation: trace %s, policy %s, at %s: %s of job %s: promise %s: %s\n",
			result.Report.Trace, result.Report.Policy, v.Entry.At, v.Entry.Kind, v.Entry.Job, v.Promise, v.State)
	}
}

func (f *replayFlags) print(env *Env, reports []replay.Report) error {
	if f.format == "json" {
		lines := json.NewEncoder(env.Out)
		for _, r := range reports {
			if err := lines.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	if len(reports) == 0 {
		return nil
	}
	return renderTable(env.Out, comparisonTable(reports))
}

// comparisonTable returns a table with one row per metric and one column per policy.
func comparisonTable(reports []replay.Report) query.Table {
	t := query.Table{Columns: []string{reports[0].Trace}}
	for _, r := range reports {
		t.Columns = append(t.Columns, r.Policy)
	}
	for _, metric := range []struct {
		name   string
		format func(r *replay.Report) string
	}{
		{"jobs", func(r *replay.Report) string { return fmt.Sprint(r.Jobs) }},
		{"finished", func(r *replay.Report) string { return fmt.Sprint(r.Finished) }},
		{"cancelled, interrupted, refused, failed, unfinished", func(r *replay.Report) string {
			return fmt.Sprint(r.Cancelled, r.Interrupted, r.Refused, r.Failed, r.Unfinished)
		}},
		{"mean completion s", func(r *replay.Report) string { return fmt.Sprintf("%.0f", r.Completion.Mean) }},
		{"  over lower bound", func(r *replay.Report) string {
			return fmt.Sprintf("%.2f", r.Completion.Mean/max(r.LowerBound.MeanCompletionSeconds, 1))
		}},
		{"p95 completion s", func(r *replay.Report) string { return fmt.Sprintf("%.0f", r.Completion.P95) }},
		{"slowdown mean", func(r *replay.Report) string { return fmt.Sprintf("%.1f", r.Slowdown.Mean) }},
		{"makespan s", func(r *replay.Report) string { return fmt.Sprintf("%.0f", r.Makespan) }},
		{"fragmentation", func(r *replay.Report) string { return fmt.Sprintf("%.4f", r.Fragmentation) }},
		{"idle share while jobs wait", func(r *replay.Report) string { return fmt.Sprintf("%.4f", r.Idle) }},
		{"urgent start max s", func(r *replay.Report) string { return fmt.Sprintf("%.1f", r.Starts.Urgent.Max) }},
		{"reclaims, max s", func(r *replay.Report) string { return fmt.Sprintf("%d, %.1f", r.Reclaim.Count, r.Reclaim.Max) }},
		{"change useful share", func(r *replay.Report) string { return fmt.Sprintf("%.3f", r.Change.Ratio) }},
		{"wasted share", func(r *replay.Report) string { return fmt.Sprintf("%.4f", r.Wasted/max(r.Useful+r.Wasted, 1)) }},
		{"violations", func(r *replay.Report) string { return fmt.Sprint(r.Violations.Total()) }},
		{"decision p99 µs", func(r *replay.Report) string { return fmt.Sprint(r.Micros.P99) }},
	} {
		row := []string{metric.name}
		for i := range reports {
			row = append(row, metric.format(&reports[i]))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// printJobHistory prints the log entries about one job, the stops of other jobs that make room for it, and entries that
// belong to no job.
func printJobHistory(env *Env, log []check.Entry, policy, job string) {
	_, _ = fmt.Fprintf(env.Out, "%s under %s\n", job, policy)
	for _, e := range log {
		switch {
		case e.Job == job:
			_, _ = fmt.Fprintf(env.Out, "  %-12s %-10s attempt %d  %s  %s\n", e.At, e.Kind, e.Attempt, e.Why, strings.Join(e.Workers, " "))
		case e.Requester == job:
			_, _ = fmt.Fprintf(env.Out, "  %-12s makes %s stop (checkpoint %v)\n", e.At, e.Job, e.Checkpoint)
		case e.Job == "":
			_, _ = fmt.Fprintf(env.Out, "  %-12s %s %s%s\n", e.At, e.Kind, e.Centre, e.Worker)
		}
	}
}

func traceCommand(env *Env) *ffcli.Command {
	var seed uint64
	flags := flag.NewFlagSet("trace", flag.ContinueOnError)
	flags.Uint64Var(&seed, "seed", 1, "random seed; the same seed always gives the same trace")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "lentildeck trace [--seed N] SCENE", ShortHelp: "print a generated trace: " + strings.Join(sample.Scenarios.Names(), ", "), FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Problem: "trace requires exactly one scene: " + strings.Join(sample.Scenarios.Names(), ", ")}
			}
			if err := sample.Write(env.Out, args[0], seed); err != nil {
				return &UsageError{Problem: err.Error()}
			}
			return nil
		},
	}
}
