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

// shownViolations bounds how many violations are printed one by one.
const shownViolations = 20

func init() {
	Commands.Register("replay", replayCommand)
	Commands.Register("trace", traceCommand)
}

// replayFlags are the words of the replay command.
type replayFlags struct {
	policy  string
	format  string
	explain string
}

func replayCommand(env *Env) *ffcli.Command {
	var f replayFlags
	set := flag.NewFlagSet("replay", flag.ContinueOnError)
	set.StringVar(&f.policy, "policy", engine.DefaultPolicy, "policy, or all; known: "+strings.Join(engine.Policies.Names(), ", "))
	set.StringVar(&f.format, "format", "table", "table or json (one object a line)")
	set.StringVar(&f.explain, "explain", "", "tell the story of this job instead")
	return &ffcli.Command{
		Name: "replay", ShortUsage: "lentildeck replay [flags] FILE...", ShortHelp: "replay recorded traces and report what came of them; exits 1 if a promise was broken", FlagSet: set,
		Exec: func(_ context.Context, files []string) error {
			if f.format != "table" && f.format != "json" {
				return &UsageError{Problem: fmt.Sprintf("--format %q is not known; use table or json", f.format)}
			}
			if len(files) == 0 {
				return &UsageError{Problem: "replay needs at least one trace file; see `lentildeck help traces`"}
			}
			return f.run(env, files)
		},
	}
}

// run reads every trace before the first one is replayed.
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
	broken := 0
	for _, t := range traces {
		var reports []replay.Report
		for _, policy := range policies {
			result, err := replay.Run(t, policy, env.Now)
			if err != nil {
				return &UsageError{Problem: err.Error()}
			}
			if f.explain != "" {
				story(env, result.Log, policy, f.explain)
				continue
			}
			broken += result.Report.Violations.Total()
			printViolations(env, result)
			reports = append(reports, result.Report)
		}
		if err := f.print(env, reports); err != nil {
			return err
		}
	}
	if broken > 0 {
		return &BrokenError{Count: broken}
	}
	return nil
}

// BrokenError says that promises were broken in a replay.
type BrokenError struct{ Count int }

// Error gives the number.
func (e *BrokenError) Error() string { return fmt.Sprintf("%d violations", e.Count) }

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

// printViolations tells event, time, state and promise of the first violations.
func printViolations(env *Env, result replay.Result) {
	for i, v := range result.Violations {
		if i == shownViolations {
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
	return render(env.Out, sideBySide(reports))
}

// sideBySide puts the figures below each other and the policies beside each other.
func sideBySide(reports []replay.Report) query.Table {
	t := query.Table{Columns: []string{reports[0].Trace}}
	for _, r := range reports {
		t.Columns = append(t.Columns, r.Policy)
	}
	for _, figure := range []struct {
		name string
		text func(r *replay.Report) string
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
		row := []string{figure.name}
		for i := range reports {
			row = append(row, figure.text(&reports[i]))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// story prints what happened to one job.
func story(env *Env, log []check.Entry, policy, job string) {
	_, _ = fmt.Fprintf(env.Out, "%s under %s\n", job, policy)
	for _, e := range log {
		switch {
		case e.Job == job:
			_, _ = fmt.Fprintf(env.Out, "  %-12s %-10s attempt %d  %s  %s\n", e.At, e.Kind, e.Attempt, e.Why, strings.Join(e.Workers, " "))
		case e.For == job:
			_, _ = fmt.Fprintf(env.Out, "  %-12s makes %s stop (checkpoint %v)\n", e.At, e.Job, e.Checkpoint)
		case e.Job == "":
			_, _ = fmt.Fprintf(env.Out, "  %-12s %s %s%s\n", e.At, e.Kind, e.Centre, e.Worker)
		}
	}
}

func traceCommand(env *Env) *ffcli.Command {
	var seed uint64
	set := flag.NewFlagSet("trace", flag.ContinueOnError)
	set.Uint64Var(&seed, "seed", 1, "seed; the same seed always gives the same trace")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "lentildeck trace [--seed N] SCENE", ShortHelp: "print a made trace: " + strings.Join(sample.Scenes.Names(), ", "), FlagSet: set,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Problem: "trace needs one scene: " + strings.Join(sample.Scenes.Names(), ", ")}
			}
			if err := sample.Write(env.Out, args[0], seed); err != nil {
				return &UsageError{Problem: err.Error()}
			}
			return nil
		},
	}
}
