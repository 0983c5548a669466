package drill

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/lentildeck/lentildeck/internal/soak/judge"
)

const (
	// reported is how many findings are written with their lines, traced how many lines of each kind.
	reported = 12
	traced   = 40
)

// Report writes the findings of a day with what the trail and the instances' logs say about their jobs.
func Report(out io.Writer, plan Plan, r *Result) error {
	lines, err := logLines(plan.Folder)
	if err != nil {
		return err
	}
	day, err := os.ReadFile(filepath.Join(plan.Folder, "day.txt"))
	if err != nil {
		return err
	}
	text := &errorWriter{to: out}
	text.line("site %s, day %s, seed %d, plant %q: %s", plan.Site.Name, plan.Day, plan.Seed, plan.Plant, r)
	for _, span := range r.Spans {
		text.line("stood: %s (%s, %d runs) from %.1f s to %.1f s after the end of the traffic", span.Job, span.Task, span.Runs,
			span.From.Sub(r.TrafficEnd).Seconds(), span.To.Sub(r.TrafficEnd).Seconds())
	}
	for i, f := range r.Findings {
		text.line("%s: job %s: %s", f.Rule, f.Job, f.Text)
		if i >= reported || f.Job == "" {
			continue
		}
		text.some("  | ", matching(strings.Split(string(day), "\n"), f.Job))
		text.some("  > ", matching(lines, f.Job))
	}
	if len(r.Findings) > 0 {
		text.line("owners:")
		text.some("  > ", matching(lines, `"termBegan"`, `"termEnded"`, `"termLoaded"`))
	}
	return text.err
}

// errorWriter writes lines until one can't be written.
type errorWriter struct {
	to  io.Writer
	err error
}

func (w *errorWriter) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.to, format+"\n", args...)
	}
}

// some writes the first and the last lines.
func (w *errorWriter) some(prefix string, lines []string) {
	for i, line := range lines {
		if i == traced && len(lines) > 2*traced {
			w.line("%s... %d lines are left out", prefix, len(lines)-2*traced)
		}
		if i < traced || i >= len(lines)-traced {
			w.line("%s%s", prefix, line)
		}
	}
}

func matching(lines []string, words ...string) []string {
	var list []string
	for _, line := range lines {
		for _, word := range words {
			if strings.Contains(line, word) {
				list = append(list, line)
				break
			}
		}
	}
	return list
}

// logLines returns the lines of all instances in the order of their times.
func logLines(folder string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	type timed struct{ at, line string }
	var all []timed
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		scan := bufio.NewScanner(file)
		scan.Buffer(nil, 16<<20)
		for scan.Scan() {
			_, at, _ := strings.Cut(scan.Text(), `"timestamp":"`)
			all = append(all, timed{at[:min(len(at), 26)], scan.Text()})
		}
		if err := errors.Join(scan.Err(), file.Close()); err != nil {
			return nil, err
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	lines := make([]string, len(all))
	for i, t := range all {
		lines[i] = t.line
	}
	return lines, nil
}

// Summary returns one line for each kind of finding.
func Summary(findings []judge.Finding) string {
	counts := make(map[string]int)
	for _, f := range findings {
		counts[f.Rule]++
	}
	var parts []string
	for rule, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "no findings"
	}
	return strings.Join(parts, ", ")
}

// CountOwners returns how often an instance became the owner.
func CountOwners(folder string) (int, error) {
	lines, err := logLines(folder)
	return len(matching(lines, `"termBegan"`)), err
}
