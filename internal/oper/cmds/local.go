package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/local"
	"github.com/lentildeck/lentildeck/internal/node/setup"
	"github.com/lentildeck/lentildeck/internal/peer/list"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() {
	Commands.Register("local", localCommand)
	Commands.Register("platform", platformCommand)
}

func localCommand(env *Env) *ffcli.Command {
	var once, verbose bool
	set := flag.NewFlagSet("local", flag.ContinueOnError)
	set.BoolVar(&once, "once", false, "make the tour and stop; the exit code is 0 only if every step held")
	set.BoolVar(&verbose, "verbose", false, "write the log to standard error")
	return &ffcli.Command{
		Name: "local", ShortUsage: "lentildeck local [--once]", ShortHelp: "run everything in one process with stand-ins, make a tour, then take statements", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			cluster, err := local.Start(ctx, localLog(env.Err, verbose), env.Now)
			if err != nil {
				return err
			}
			if err := local.Tour(ctx, cluster, env.Out, env.Now); err != nil {
				return errors.Join(err, cluster.Close())
			}
			if once {
				return cluster.Close()
			}
			_, _ = fmt.Fprintln(env.Out, "\nThe system stays up. Try `centres`, `jobs where phase = waiting`, `why JOB`, `drain plovdiv`, `help`, `quit`.")
			return errors.Join(Prompt(ctx, env, cluster.Nodes()[0].Client, "table"), cluster.Close())
		},
	}
}

func localLog(out io.Writer, verbose bool) *event.Log {
	if !verbose {
		return event.Discard()
	}
	return event.NewLog(&log.Logger{Handler: logjson.New(out), Level: log.DebugLevel})
}

// listEntries puts the instances of the settings files on the instance list.
func listEntries(cluster *local.Cluster, files string) error {
	for _, file := range strings.Split(files, ",") {
		if file == "" {
			continue
		}
		settings, err := setup.Load(file)
		if err != nil {
			return &UsageError{Problem: file + ": " + err.Error()}
		}
		cluster.List.Add(list.Instance{
			Name: settings.Instance, Kind: list.Entry, DataCentre: settings.DataCentre, Address: settings.Listen.Peers,
		})
	}
	return nil
}

func platformCommand(env *Env) *ffcli.Command {
	var platformAt, workersAt, entries string
	set := flag.NewFlagSet("platform", flag.ContinueOnError)
	set.StringVar(&platformAt, "platform", "127.0.0.1:7100", "where the key-value service and the instance list answer")
	set.StringVar(&workersAt, "workers", "127.0.0.1:7200", "where the workers answer")
	set.StringVar(&entries, "entries", "", "settings files of the instances to list, separated by commas")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "lentildeck platform [flags]", ShortHelp: "run only the stand-ins, for daemons started by hand", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			cluster, err := local.StartPlatform(ctx, platformAt, workersAt, localLog(env.Err, false), env.Now)
			if err != nil {
				return err
			}
			if err := listEntries(cluster, entries); err != nil {
				return errors.Join(err, cluster.Close())
			}
			_, _ = fmt.Fprintf(env.Out, "stand-ins serve at %s and %s\n", platformAt, workersAt)
			<-ctx.Done()
			return cluster.Close()
		},
	}
}
