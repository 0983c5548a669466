package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/lentildeck/lentildeck/internal/oper/losses"
	"github.com/lentildeck/lentildeck/internal/oper/query"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { Commands.Register("losses", lossesCommand) }

// lossesFlags holds the flags of the losses command.
type lossesFlags struct {
	job  string
	json bool
	plot string
}

func lossesCommand(env *Env) *ffcli.Command {
	var f lossesFlags
	flags := flag.NewFlagSet("losses", flag.ContinueOnError)
	flags.StringVar(&f.job, "job", "", "print the timeline of this job instead of the tables")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	flags.StringVar(&f.plot, "plot", "", "also write a chart of the lateness by cause over time to this SVG file")
	return &ffcli.Command{
		Name: "losses", ShortUsage: "lentildeck losses [flags] FILE...", ShortHelp: "attribute lateness, refusals and discarded work to causes, from the logs of instances", FlagSet: flags,
		LongHelp: "Reads the log files of any number of instances; - reads standard input. `lentildeck help losses` explains the causes.",
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return &UsageError{Problem: "losses requires at least one log file; - reads standard input"}
			}
			c := losses.NewCollector()
			for _, name := range files {
				if err := collect(env, c, name); err != nil {
					return err
				}
			}
			return f.print(env, c)
		},
	}
}

// collect reads one log file, or standard input if its name is a dash.
func collect(env *Env, c *losses.Collector, name string) error {
	if name == "-" {
		return c.Read(name, env.In)
	}
	file, err := os.Open(name)
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	return errors.Join(c.Read(name, file), file.Close())
}

func (f *lossesFlags) print(env *Env, c *losses.Collector) error {
	if f.job != "" {
		return f.printJob(env, c)
	}
	report := c.Report()
	if f.plot != "" {
		if err := writePlot(f.plot, report); err != nil {
			return err
		}
	}
	if f.json {
		return json.NewEncoder(env.Out).Encode(report)
	}
	return printLosses(env.Out, report)
}

func (f *lossesFlags) printJob(env *Env, c *losses.Collector) error {
	job := c.Job(f.job)
	if job == nil {
		return &UsageError{Problem: "the logs don't name the job " + f.job}
	}
	if f.json {
		return json.NewEncoder(env.Out).Encode(job)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "job %s of queue %s, workspace %s: %s, %.3f s late\n", job.Job, job.Queue, job.Workspace, job.Phase, job.LatenessSeconds)
	for _, refusal := range job.Refusals {
		fmt.Fprintf(&text, "%s  refused: %s\n", refusal.At.Format(timelineFormat), refusal.Why)
	}
	for _, path := range job.CriticalPaths {
		for _, s := range path {
			what := "delay: " + s.Cause.String()
			if s.Work {
				what = "work"
			}
			fmt.Fprintf(&text, "%s  %8.3f s  %s\n", s.From.Format(timelineFormat), s.To.Sub(s.From).Seconds(), what)
		}
	}
	_, err := io.WriteString(env.Out, text.String())
	return err
}

func writePlot(path string, report *losses.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	return errors.Join(report.Plot(file), file.Close())
}

func printLosses(out io.Writer, r *losses.Report) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d jobs: %d late by %.1f s in all, %d unfinished, %d refused, %d cancelled; %.0f core-seconds discarded; %.1f%% of the lateness is unexplained\n",
		r.Total.Jobs, r.Total.Late, r.Total.LatenessSeconds, r.Total.Unfinished, r.Total.Refused, r.Cancelled, r.Total.CoreSeconds, 100*r.UnexplainedShare)
	for _, table := range []struct {
		name string
		rows []losses.Loss
	}{{"cause", r.Causes}, {"queue", r.Queues}, {"workspace", r.Workspaces}, {"data centre", r.DataCentres}, {"window", r.Windows}} {
		text.WriteString("\n")
		if err := renderTable(&text, lossTable(table.name, table.rows)); err != nil {
			return err
		}
	}
	if len(r.BadLines) > 0 {
		fmt.Fprintf(&text, "\n%d lines could not be decoded:\n%s\n", len(r.BadLines), strings.Join(r.BadLines[:min(len(r.BadLines), maxShownBadLines)], "\n"))
	}
	if len(r.MissingInstances) > 0 {
		fmt.Fprintf(&text, "\nno lines of these instances, so causes may be wrong: %s\n", strings.Join(r.MissingInstances, ", "))
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// maxShownBadLines is the maximum number of undecodable lines that are named.
const maxShownBadLines = 10

func lossTable(name string, rows []losses.Loss) query.Table {
	t := query.Table{Columns: []string{name, "jobs", "late", "unfinished", "refused", "refusals", "lateness s", "core-seconds"}}
	for _, l := range rows {
		t.Rows = append(t.Rows, []string{l.Name, fmt.Sprint(l.Jobs), fmt.Sprint(l.Late), fmt.Sprint(l.Unfinished), fmt.Sprint(l.Refused),
			fmt.Sprint(l.Refusals), fmt.Sprintf("%.1f", l.LatenessSeconds), fmt.Sprintf("%.0f", l.CoreSeconds)})
	}
	return t
}
