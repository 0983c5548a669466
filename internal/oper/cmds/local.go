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
	flags := flag.NewFlagSet("local", flag.ContinueOnError)
	flags.BoolVar(&once, "once", false, "run the tour and exit; the exit code is 0 only if every step succeeded")
	flags.BoolVar(&verbose, "verbose", false, "write the log to standard error")
	return &ffcli.Command{
		Name: "local", ShortUsage: "lentildeck local [--once]", ShortHelp: "run everything in one process with stand-ins, run a tour, then read statements from a prompt", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			cluster, err := local.Start(ctx, newLog(env.Err, verbose), env.Now)
			if err != nil {
				return err
			}
			if err := local.RunDemo(ctx, cluster, env.Out, env.Now); err != nil {
				return errors.Join(err, cluster.Close())
			}
			if once {
				return cluster.Close()
			}
			_, _ = fmt.Fprintln(env.Out, "\nThe system keeps running. Try `centres`, `jobs where phase = waiting`, `why JOB`, `drain plovdiv`, `help`, `quit`.")
			return errors.Join(Prompt(ctx, env, cluster.Instances()[0].Client, "table"), cluster.Close())
		},
	}
}

func newLog(out io.Writer, verbose bool) *event.Log {
	if !verbose {
		return event.Discard()
	}
	return event.NewLog(&log.Logger{Handler: logjson.New(out), Level: log.DebugLevel})
}

// addToInstanceList adds the instances of the comma-separated settings files to the stand-in's instance list.
func addToInstanceList(cluster *local.Cluster, files string) error {
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
	var platformAddress, workersAddress, settingsFiles string
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	flags.StringVar(&platformAddress, "platform", "127.0.0.1:7100", "listen address of the key-value store and the instance list")
	flags.StringVar(&workersAddress, "workers", "127.0.0.1:7200", "listen address of the workers")
	flags.StringVar(&settingsFiles, "entries", "", "settings files of the instances to list, separated by commas")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "lentildeck platform [flags]", ShortHelp: "run only the stand-ins, for daemons that are started separately", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			cluster, err := local.StartPlatform(ctx, platformAddress, workersAddress, newLog(env.Err, false), env.Now)
			if err != nil {
				return err
			}
			if err := addToInstanceList(cluster, settingsFiles); err != nil {
				return errors.Join(err, cluster.Close())
			}
			_, _ = fmt.Fprintf(env.Out, "stand-ins listen on %s and %s\n", platformAddress, workersAddress)
			<-ctx.Done()
			return cluster.Close()
		},
	}
}
