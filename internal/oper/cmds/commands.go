package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
	"github.com/lentildeck/lentildeck/internal/oper/client"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes of the client; 0 is success.
const (
	ExitOK = iota
	// ExitFailed means that the command failed.
	ExitFailed
	// ExitUsage means that the command line is invalid.
	ExitUsage
	// ExitRefused means that the instance refused the command and nothing has changed.
	ExitRefused
	// ExitUnknown means that the command may or may not have taken effect.
	ExitUnknown
)

// Env is the process environment of a command: streams, arguments and clock.
type Env struct {
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	Args []string
	Now  func() time.Time
}

// CommandFunc returns a command that runs in the given environment.
type CommandFunc func(env *Env) *ffcli.Command

// Commands is the registry of commands by name.
var Commands = plug.New[CommandFunc]("command")

// envOptions allows flags to be set by environment variables.
var envOptions = []ff.Option{ff.WithEnvVarPrefix("LENTILDECK")}

// remoteFlags holds the flags of commands that call an instance.
type remoteFlags struct {
	operatorsURL string
	callersURL   string
	token        string
	operator     string
	format       string
	tls          tlsFiles
}

// tlsFiles holds the paths of the PEM files for TLS on the operators' port.
type tlsFiles struct {
	certificate string
	key         string
	authority   string
}

func (r *remoteFlags) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.StringVar(&r.operatorsURL, "operators", "http://127.0.0.1:7002", "URL of an instance's operators' port")
	flags.StringVar(&r.callersURL, "callers", "http://127.0.0.1:7001", "URL of an instance's callers' port")
	flags.StringVar(&r.token, "token", "", "operators' token; prefer the variable LENTILDECK_TOKEN")
	flags.StringVar(&r.operator, "as", userName(), "your name, recorded with each command")
	flags.StringVar(&r.format, "format", "table", "table or json")
	flags.StringVar(&r.tls.certificate, "certificate", "", "PEM file with your certificate, if the port uses TLS")
	flags.StringVar(&r.tls.key, "key", "", "PEM file with your key")
	flags.StringVar(&r.tls.authority, "authority", "", "PEM file with the certificate authority of the instances")
	return flags
}

func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}

func (r *remoteFlags) client() (*client.Client, error) {
	if r.format != "table" && r.format != "json" {
		return nil, &UsageError{Problem: fmt.Sprintf("--format %q is not known; use table or json", r.format)}
	}
	tlsConfig, err := r.tls.config()
	if err != nil {
		return nil, err
	}
	return client.New(r.operatorsURL, r.callersURL, r.token, r.operator, tlsConfig), nil
}

// Root returns the client's root command with all registered commands.
func Root(env *Env) *ffcli.Command {
	root := &ffcli.Command{
		Name: "lentildeck", ShortUsage: "lentildeck COMMAND [flags] [arguments]", ShortHelp: "query and control a lentildeck system",
		LongHelp: "Flags can also be set by environment variables: --token as LENTILDECK_TOKEN.\nExit codes: 0 success, 1 failed, 2 invalid usage, 3 refused (nothing changed), 4 unknown (may have taken effect).",
		FlagSet:  flag.NewFlagSet("lentildeck", flag.ContinueOnError),
		Exec:     func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.FlagSet.SetOutput(env.Err)
	for _, name := range Commands.Names() {
		// The lookup cannot fail, as the names come from the registry.
		newCommand, _ := Commands.Lookup(name)
		command := newCommand(env)
		printFlagsTo(env.Err, command)
		command.Options = envOptions
		root.Subcommands = append(root.Subcommands, command)
	}
	return root
}

// printFlagsTo makes the command and its subcommands print errors of their flags to out.
func printFlagsTo(out io.Writer, command *ffcli.Command) {
	if command.FlagSet != nil {
		command.FlagSet.SetOutput(out)
	}
	for _, subcommand := range command.Subcommands {
		printFlagsTo(out, subcommand)
	}
}

// UsageError reports an invalid command line or input file.
type UsageError struct{ Problem string }

// Error returns Problem unchanged.
func (e *UsageError) Error() string { return e.Problem }
