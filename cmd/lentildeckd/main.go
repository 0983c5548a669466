package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	logtext "github.com/apex/log/handlers/text"
	"github.com/lentildeck/lentildeck/internal/kern/build"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/daemon"
	"github.com/lentildeck/lentildeck/internal/node/server"
	"github.com/lentildeck/lentildeck/internal/node/setup"
	"github.com/peterbourgon/ff/v3"

	_ "github.com/lentildeck/lentildeck/internal/state/kvhttp"
	_ "github.com/lentildeck/lentildeck/platform"
)

// The exit codes besides 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	flags := flag.NewFlagSet("lentildeckd", flag.ContinueOnError)
	settingsPath := flags.String("config", "", "settings file, JSON with comments")
	check := flags.Bool("check", false, "check the settings and stop")
	site := flags.String("site", "", "site to run on: "+strings.Join(server.Sites.Names(), ", ")+"; a site provides its own settings")
	endKeepers := flags.Int("end-keepers", 0, "number of other instances that must keep the end of a task before its job is shown as completed while the store is away; 0 shows only what is on record")
	version := flags.Bool("version", false, "print the version and stop")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("LENTILDECKD")); err != nil {
		return exitUsage
	}
	if *version {
		fmt.Println("lentildeckd", build.Version())
		return 0
	}
	if *site != "" {
		return serveSite(*site, *endKeepers)
	}
	settings, err := setup.Load(*settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentildeckd:", err)
		return exitUsage
	}
	if *check {
		fmt.Println("the settings are valid")
		return 0
	}
	return serve(settings)
}

func serve(settings setup.Settings) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	instance, err := daemon.New(settings, newLog(settings.Log), time.Now)
	if err == nil {
		err = instance.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentildeckd:", err)
		return exitFailed
	}
	return 0
}

// serveSite runs the instance with the settings that the site provides and logs to standard output.
func serveSite(name string, endKeepers int) int {
	open, err := server.Sites.Lookup(name)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentildeckd:", err)
		return exitUsage
	}
	logWriter := event.NewWriter(os.Stdout)
	defer logWriter.Close()
	options, err := open(event.NewLog(&log.Logger{Handler: logjson.New(logWriter), Level: log.InfoLevel}))
	options.Limits.EndKeepers = max(endKeepers, 0)
	if err == nil {
		err = server.New(options).Run(server.Signals())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentildeckd:", err)
		return exitFailed
	}
	return 0
}

func newLog(s setup.Log) *event.Log {
	var handler log.Handler = logjson.New(os.Stderr)
	if s.Format == "text" {
		handler = logtext.New(os.Stderr)
	}
	return event.NewLog(&log.Logger{Handler: handler, Level: log.MustParseLevel(s.Level)})
}
