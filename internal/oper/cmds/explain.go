package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/lentildeck/lentildeck/internal/oper/logs"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { Commands.Register("explain", explainCommand) }

// timelineFormat is how times are printed.
const timelineFormat = "15:04:05.000"

func explainCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name: "explain", ShortUsage: "lentildeck explain ID [FILE...]", ShortHelp: "merge the log lines of several instances about a job, task or worker into one timeline",
		LongHelp: "ID is a job, a task or a worker. Without files, lines are read from standard input. Lines about owners are included,\nas a change of owner explains many gaps.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &UsageError{Problem: "explain needs the ID of a job, task or worker"}
			}
			lines, err := readLogs(env.In, args[1:], args[0])
			if err != nil {
				return err
			}
			return printTimeline(env.Out, lines)
		},
	}
}

// readLogs reads the files, or in if there are none, and returns the lines that contain the ID or report a change of owner.
func readLogs(in io.Reader, files []string, id string) ([]logs.Line, error) {
	if len(files) == 0 {
		return scanLog(in, id)
	}
	var all []logs.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := scanLog(file, id)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// scanLog returns the lines that contain the ID or report a change of owner; lines that can't be decoded are left out.
func scanLog(in io.Reader, id string) ([]logs.Line, error) {
	var lines []logs.Line
	wanted := func(text string) bool { return strings.Contains(text, id) || strings.Contains(text, `"term`) }
	mentions := func(line *logs.Line) bool {
		for _, value := range line.Fields {
			if strings.Contains(fmt.Sprint(value), id) {
				return true
			}
		}
		return strings.Contains(line.Prefix, id)
	}
	_, err := logs.Scan(in, wanted, func(line logs.Line) {
		if strings.HasPrefix(line.Message, "term") || mentions(&line) {
			lines = append(lines, line)
		}
	})
	return lines, err
}

func printTimeline(out io.Writer, lines []logs.Line) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	for _, line := range lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if name != "event" && name != "instance" && line.Fields[name] != "" {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		parts := make([]string, len(names))
		for i, name := range names {
			parts[i] = fmt.Sprintf("%s=%v", name, line.Fields[name])
		}
		from := line.Prefix
		if instance, ok := line.Fields["instance"].(string); ok && from == "" {
			from = instance
		}
		if _, err := fmt.Fprintf(out, "%s  %-22s %-14s %s\n", line.Time.Format(timelineFormat), from, line.Message, strings.Join(parts, " ")); err != nil {
			return err
		}
	}
	return nil
}
