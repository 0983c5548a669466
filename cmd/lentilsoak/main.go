package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/lentildeck/lentildeck/internal/soak/drill"
	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/peterbourgon/ff/v3"
)

// The exit codes besides 0.
const (
	exitFound  = 1
	exitUsage  = 2
	exitFailed = 3
)

// options are the command's flags.
type options struct {
	seed, seeds              uint64
	site, day, plant, keep   string
	binary, source, mutation string
	keepAll                  bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	var o options
	flags := flag.NewFlagSet("lentilsoak", flag.ContinueOnError)
	flags.Uint64Var(&o.seed, "seed", 1, "first seed")
	flags.Uint64Var(&o.seeds, "seeds", 1, "number of seeds, played one after the other")
	flags.StringVar(&o.site, "site", "small", "site: "+strings.Join(site.Names(), ", "))
	flags.StringVar(&o.day, "days", "mixed", "days to play for each seed, separated by commas: "+strings.Join(fault.Names(), ", "))
	flags.StringVar(&o.plant, "plant", "", "planted fault, which decides the day: "+strings.Join(drill.Plants(), ", "))
	flags.StringVar(&o.keep, "keep", "soak-kept", "folder in which the logs of days with findings are kept")
	flags.BoolVar(&o.keepAll, "keep-all", false, "keep the logs of all days")
	flags.StringVar(&o.binary, "binary", "", "lentildeckd under test; built from the source if empty")
	flags.StringVar(&o.source, "source", ".", "source tree from which lentildeckd is built")
	flags.StringVar(&o.mutation, "mutate", "", "fault planted in the program, FILE:OLD=>NEW; the text is replaced in the build alone")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LENTILSOAK")); err != nil {
		return exitUsage
	}
	found, err := o.playAll(ctx)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "lentilsoak:", err)
		return exitFailed
	case found:
		return exitFound
	default:
		return 0
	}
}

func (o *options) playAll(ctx context.Context) (found bool, err error) {
	s, err := site.Find(o.site)
	if err != nil {
		return false, err
	}
	if o.plant != "" {
		if _, o.day, err = drill.Rule(o.plant); err != nil {
			return false, err
		}
	}
	temp, err := os.MkdirTemp("", "lentilsoak")
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(temp)) }()
	if o.binary == "" {
		if o.binary, err = buildProgram(ctx, o.source, temp, o.mutation); err != nil {
			return false, err
		}
	}
	for seed := o.seed; seed < o.seed+o.seeds; seed++ {
		for _, day := range strings.Split(o.day, ",") {
			plan := drill.Plan{Site: s, Seed: seed, Day: day, Plant: o.plant, Binary: o.binary, Folder: filepath.Join(temp, fmt.Sprintf("%s-%s-%d", s.Name, day, seed))}
			broke, err := o.play(ctx, plan)
			if err != nil {
				return found, err
			}
			found = found || broke
		}
	}
	return found, nil
}

// play plays one day, and keeps its folder if there is a finding.
func (o *options) play(ctx context.Context, plan drill.Plan) (bool, error) {
	result, err := drill.Play(ctx, plan)
	if err != nil {
		return false, errors.Join(err, o.keepFolder(plan))
	}
	if result.Owners, err = drill.CountOwners(plan.Folder); err != nil {
		return false, err
	}
	fmt.Printf("%s %s seed %d: %s: %s\n", plan.Site.Name, plan.Day, plan.Seed, drill.Summary(result.Findings), result)
	if len(result.Findings) == 0 && len(result.Spans) == 0 && !o.keepAll {
		return false, os.RemoveAll(plan.Folder)
	}
	report, err := os.Create(filepath.Join(plan.Folder, "report.txt"))
	if err != nil {
		return true, err
	}
	if err := errors.Join(drill.Report(report, plan, result), report.Close()); err != nil {
		return true, err
	}
	for i, f := range result.Findings {
		if i < 10 {
			fmt.Printf("  %s: job %s: %s\n", f.Rule, f.Job, f.Text)
		}
	}
	return len(result.Findings) > 0, o.keepFolder(plan)
}

func (o *options) keepFolder(plan drill.Plan) error {
	kept := filepath.Join(o.keep, filepath.Base(plan.Folder))
	if err := os.MkdirAll(o.keep, 0o755); err != nil {
		return err
	}
	if err := os.RemoveAll(kept); err != nil {
		return err
	}
	if err := os.CopyFS(kept, os.DirFS(plan.Folder)); err != nil {
		return err
	}
	fmt.Printf("  kept in %s\n", kept)
	return os.RemoveAll(plan.Folder)
}
