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

// The exit codes.
const (
	ExitOK = iota
	// ExitFailed means that the command did not do what was asked.
	ExitFailed
	// ExitUsage means that the command line was wrong.
	ExitUsage
	// ExitRefused means that the system refused and nothing has changed.
	ExitRefused
	// ExitUnknown means that the command may or may not have taken effect.
	ExitUnknown
)

// Env is what commands use of the process.
type Env struct {
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	Args []string
	Now  func() time.Time
}

// Command makes one command for the environment.
type Command func(env *Env) *ffcli.Command

// Commands are the registered commands by name.
var Commands = plug.New[Command]("command")

// environment lets flags be given as variables.
var environment = []ff.Option{ff.WithEnvVarPrefix("LENTILDECK")}

// remote holds the flags of commands that call an instance.
type remote struct {
	operators string
	callers   string
	token     string
	name      string
	format    string
	keys      keyFlags
}

// keyFlags are the files for TLS towards the operators' port.
type keyFlags struct {
	certificate string
	key         string
	authority   string
}

func (r *remote) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.StringVar(&r.operators, "operators", "http://127.0.0.1:7002", "URL of an instance's operators' port")
	set.StringVar(&r.callers, "callers", "http://127.0.0.1:7001", "URL of an instance's callers' port")
	set.StringVar(&r.token, "token", "", "operators' token; better given as LENTILDECK_TOKEN")
	set.StringVar(&r.name, "as", userName(), "your name for the record")
	set.StringVar(&r.format, "format", "table", "table or json")
	set.StringVar(&r.keys.certificate, "certificate", "", "PEM file with your certificate, if the port uses TLS")
	set.StringVar(&r.keys.key, "key", "", "PEM file with your key")
	set.StringVar(&r.keys.authority, "authority", "", "PEM file with the authority of the instances")
	return set
}

func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}

func (r *remote) client() (*client.Client, error) {
	if r.format != "table" && r.format != "json" {
		return nil, &UsageError{Problem: fmt.Sprintf("--format %q is not known; use table or json", r.format)}
	}
	keys, err := r.keys.load()
	if err != nil {
		return nil, err
	}
	return client.New(r.operators, r.callers, r.token, r.name, keys), nil
}

// Root makes the client's root command from the table.
func Root(env *Env) *ffcli.Command {
	root := &ffcli.Command{
		Name: "lentildeck", ShortUsage: "lentildeck COMMAND [flags] [words]", ShortHelp: "query and command a lentildeck system",
		LongHelp: "Flags may be given in the environment too: --token as LENTILDECK_TOKEN.\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 refused (nothing changed), 4 unknown (may have taken effect).",
		FlagSet:  flag.NewFlagSet("lentildeck", flag.ContinueOnError),
		Exec:     func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.FlagSet.SetOutput(env.Err)
	for _, name := range Commands.Names() {
		// Names come from the registry itself.
		make, _ := Commands.Lookup(name)
		command := make(env)
		if command.FlagSet != nil {
			command.FlagSet.SetOutput(env.Err)
		}
		command.Options = environment
		root.Subcommands = append(root.Subcommands, command)
	}
	return root
}

// UsageError says what is wrong with a command line.
type UsageError struct{ Problem string }

// Error returns the problem.
func (e *UsageError) Error() string { return e.Problem }
