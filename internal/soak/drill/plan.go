package drill

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/caller"
	"github.com/lentildeck/lentildeck/internal/soak/judge"
	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

// Plan says what is played.
type Plan struct {
	Site site.Site
	Seed uint64
	// Day names the faults, which are drawn from the seed.
	Day string
	// Plant names a planted fault; none if it is empty.
	Plant string
	// Binary is the program under test, Folder is where logs and findings go.
	Binary, Folder string
}

// Result is what a day has shown.
type Result struct {
	Findings []judge.Finding
	// Spans are the times in which a job could run and had nothing running, at any time of the day.
	Spans                        []judge.Span
	Jobs, Accepted, Runs, Owners int
	TrafficEnd                   time.Time
	// LongestStall is how late the soak itself was scheduled at worst, StallAtEnd the same while the end of the day is watched:
	// an answer may be missing for that reason alone.
	LongestStall, StallAtEnd       time.Duration
	Completed, Rejected, NoAnswers int
}

// String returns the figures in one line.
func (r *Result) String() string {
	return fmt.Sprintf("%d findings; %d jobs, %d accepted, %d completed, %d attempts rejected, %d without answer; %d runs, %d owners, %d jobs stood, longest stall %s, %s at the end",
		len(r.Findings), r.Jobs, r.Accepted, r.Completed, r.Rejected, r.NoAnswers, r.Runs, r.Owners, len(r.Spans),
		r.LongestStall.Round(time.Millisecond), r.StallAtEnd.Round(time.Millisecond))
}

// plant is a planted fault and the rule by which it has to be found.
type plant struct {
	rule    string
	workers worker.Planted
	callers caller.Planted
	// stall makes all workers refuse orders from the end of the traffic, forget lets the store lose accepted jobs, ghost adds jobs
	// to it that nobody submitted.
	stall, forget, ghost bool
	// day is the day that the plant needs.
	day string
}

var plants = map[string]plant{
	"runOn":     {rule: "TWICE", workers: worker.Planted{RunOn: true}, day: "cut"},
	"inflate":   {rule: "LIMIT", workers: worker.Planted{Inflate: true}, day: "calm"},
	"hasty":     {rule: "MIXED", workers: worker.Planted{Hasty: true}, day: "calm"},
	"disown":    {rule: "TWICE", workers: worker.Planted{Disown: true}, day: "calm"},
	"unordered": {rule: "ORDER", callers: caller.Planted{Unordered: true}, day: "calm"},
	"altered":   {rule: "UNASKED", callers: caller.Planted{Altered: true}, day: "calm"},
	"stall":     {rule: "LOST", stall: true, day: "calm"},
	"forget":    {rule: "LOST", forget: true, day: "calm"},
	"ghost":     {rule: "UNASKED", ghost: true, day: "calm"},
}

// Plants returns the names of all planted faults in order.
func Plants() []string {
	var names []string
	for name := range plants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Rule returns the rule by which a planted fault has to be found, and the day that shows it.
func Rule(name string) (rule, day string, err error) {
	p, ok := plants[name]
	if !ok {
		return "", "", fmt.Errorf("plant %q is not one of %s", name, strings.Join(Plants(), ", "))
	}
	return p.rule, p.day, nil
}
