package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { Commands.Register("explain", explainCommand) }

// maxLogLineBytes is the maximum length of one log line; reading fails on a longer one.
const maxLogLineBytes = 1 << 20

// logLine is one decoded log line of an instance and the text before its JSON object.
type logLine struct {
	Message string         `json:"message"`
	Level   string         `json:"level"`
	Time    time.Time      `json:"timestamp"`
	Fields  map[string]any `json:"fields"`
	prefix  string
}

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
func readLogs(in io.Reader, files []string, id string) ([]logLine, error) {
	if len(files) == 0 {
		return scanLog(in, id)
	}
	var all []logLine
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

func scanLog(in io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		mentionsID := strings.Contains(text, id)
		if !mentionsID && !strings.Contains(text, `"term`) {
			continue
		}
		// Text before the JSON object, such as the time and host that a log collector adds, is kept unchanged.
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line logLine
		if err := json.Unmarshal([]byte(text[start:]), &line); err != nil {
			continue
		}
		if !mentionsID && !strings.HasPrefix(line.Message, "term") {
			continue
		}
		line.prefix = strings.TrimSpace(text[:start])
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

func printTimeline(out io.Writer, lines []logLine) error {
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
		from := line.prefix
		if instance, ok := line.Fields["instance"].(string); ok && from == "" {
			from = instance
		}
		if _, err := fmt.Fprintf(out, "%s  %-22s %-14s %s\n", line.Time.Format("15:04:05.000"), from, line.Message, strings.Join(parts, " ")); err != nil {
			return err
		}
	}
	return nil
}
