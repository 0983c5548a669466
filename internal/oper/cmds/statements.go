package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/lentildeck/lentildeck/internal/oper/client"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxStatementBytes is the size of the longest statement that the prompt reads.
const maxStatementBytes = 1 << 20

func init() {
	Commands.Register("query", queryCommand)
	Commands.Register("prompt", promptCommand)
	Commands.Register("submit", submitCommand)
	Commands.Register("config", configCommand)
	for _, command := range []statementCommand{
		{name: "admit", argsUsage: "JOB", shortHelp: "admit a held job to the queue"},
		{name: "cancel", argsUsage: "JOB", shortHelp: "cancel a job in any data centre"},
		{name: "drain", argsUsage: "DATACENTRE [within TIME]", shortHelp: "take a data centre out of service"},
		{name: "restore", argsUsage: "DATACENTRE", shortHelp: "return a drained data centre to service"},
		{name: "why", argsUsage: "JOB", shortHelp: "print why a job is waiting"},
	} {
		Commands.Register(command.name, command.command)
	}
	Commands.Register("status", func(env *Env) *ffcli.Command {
		return statementCommand{name: "status", statement: "show status", shortHelp: "list every instance with its configuration"}.command(env)
	})
}

// statementCommand describes a command that sends one statement of the operators' language.
type statementCommand struct {
	name      string
	argsUsage string
	shortHelp string
	// statement is sent as it is; if empty, the name and the arguments form the statement.
	statement string
}

func (s statementCommand) command(env *Env) *ffcli.Command {
	var r remoteFlags
	return &ffcli.Command{
		Name: s.name, ShortUsage: "lentildeck " + s.name + " [flags] " + s.argsUsage, ShortHelp: s.shortHelp, FlagSet: r.flagSet(s.name),
		Exec: func(_ context.Context, args []string) error {
			line := s.statement
			if line == "" {
				line = s.name + " " + strings.Join(args, " ")
			}
			return runStatement(env, &r, line)
		},
	}
}

// runStatement sends one statement and prints the answer.
func runStatement(env *Env, r *remoteFlags, line string) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	answer, err := c.Execute(line)
	if err != nil {
		return err
	}
	return printAnswer(env.Out, r.format, answer)
}

func queryCommand(env *Env) *ffcli.Command {
	var r remoteFlags
	return &ffcli.Command{
		Name: "query", ShortUsage: "lentildeck query [flags] 'STATEMENT'", ShortHelp: "query jobs, workers, data centres, instances and guarantees",
		LongHelp: "Examples:\n  jobs where workspace = recount and phase = waiting order by submitted\n  workers in plovdiv where free > 0 limit 5\n  why recount-17",
		FlagSet:  r.flagSet("query"),
		Exec: func(_ context.Context, args []string) error {
			return runStatement(env, &r, strings.Join(args, " "))
		},
	}
}

func promptCommand(env *Env) *ffcli.Command {
	var r remoteFlags
	return &ffcli.Command{
		Name: "prompt", ShortUsage: "lentildeck prompt [flags]", ShortHelp: "read statements interactively", FlagSet: r.flagSet("prompt"),
		Exec: func(ctx context.Context, _ []string) error {
			c, err := r.client()
			if err != nil {
				return err
			}
			return Prompt(ctx, env, c, r.format)
		},
	}
}

// Prompt reads statements and prints their answers until end of input, quit or exit.
func Prompt(ctx context.Context, env *Env, c *client.Client, format string) error {
	lines := bufio.NewScanner(env.In)
	lines.Buffer(nil, maxStatementBytes)
	for ctx.Err() == nil {
		_, _ = fmt.Fprint(env.Out, "lentildeck> ")
		if !lines.Scan() {
			break
		}
		line := strings.TrimSpace(lines.Text())
		switch line {
		case "":
			continue
		case "quit", "exit":
			return nil
		case "help":
			if err := printTopic(env.Out, "language"); err != nil {
				return err
			}
			continue
		}
		answer, err := c.Execute(line)
		if err == nil {
			err = printAnswer(env.Out, format, answer)
		}
		if err != nil {
			_, _ = fmt.Fprintln(env.Out, err)
		}
	}
	return lines.Err()
}

func submitCommand(env *Env) *ffcli.Command {
	var r remoteFlags
	return &ffcli.Command{
		Name: "submit", ShortUsage: "lentildeck submit [flags] FILE", ShortHelp: "submit a job from a JSON file (- reads standard input)", FlagSet: r.flagSet("submit"),
		Exec: func(_ context.Context, args []string) error {
			source, err := readInput(env, args)
			if err != nil {
				return err
			}
			var spec queue.Spec
			if err := json.Unmarshal(source, &spec); err != nil {
				return &UsageError{Problem: "job file: " + err.Error() + "; see `lentildeck help jobs`"}
			}
			c, err := r.client()
			if err != nil {
				return err
			}
			record, err := c.Submit(spec)
			if err != nil {
				return err
			}
			return printRecord(env, r.format, record.Job, record)
		},
	}
}

func printRecord(env *Env, format, job string, record any) error {
	if format == "json" {
		return json.NewEncoder(env.Out).Encode(record)
	}
	_, err := fmt.Fprintf(env.Out, "job %s is recorded; run `lentildeck why %s` if it does not start\n", job, job)
	return err
}

func readInput(env *Env, args []string) ([]byte, error) {
	if len(args) != 1 {
		return nil, &UsageError{Problem: "exactly one file is required; - reads standard input"}
	}
	if args[0] == "-" {
		return io.ReadAll(env.In)
	}
	source, err := os.ReadFile(args[0])
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	return source, nil
}

func configCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "lentildeck config check|apply|show [flags] [FILE]", ShortHelp: "check, apply or show the configuration",
		Subcommands: []*ffcli.Command{
			configFileCommand(env, "check", "validate a configuration without applying it", (*client.Client).Check),
			configFileCommand(env, "apply", "replace the fleet and the workspaces", (*client.Client).Apply),
			configShowCommand(env),
		},
		Exec: func(context.Context, []string) error {
			return &UsageError{Problem: "config requires a subcommand: check, apply or show"}
		},
	}
}

func configFileCommand(env *Env, name, shortHelp string, send func(*client.Client, []byte) (string, error)) *ffcli.Command {
	var r remoteFlags
	return &ffcli.Command{
		Name: name, ShortUsage: "lentildeck config " + name + " [flags] FILE", ShortHelp: shortHelp, FlagSet: r.flagSet(name), Options: envOptions,
		Exec: func(_ context.Context, args []string) error {
			source, err := readInput(env, args)
			if err != nil {
				return err
			}
			c, err := r.client()
			if err != nil {
				return err
			}
			message, err := send(c, source)
			if err != nil {
				return err
			}
			return printMessage(env.Out, r.format, message)
		},
	}
}

func configShowCommand(env *Env) *ffcli.Command {
	var r remoteFlags
	var printDocument bool
	flags := r.flagSet("show")
	flags.BoolVar(&printDocument, "document", false, "print the configuration document instead of the instances that have it")
	return &ffcli.Command{
		Name: "show", ShortUsage: "lentildeck config show [flags]", ShortHelp: "show the revision, age and source on each instance", FlagSet: flags, Options: envOptions,
		Exec: func(context.Context, []string) error {
			if !printDocument {
				return runStatement(env, &r, "show config")
			}
			c, err := r.client()
			if err != nil {
				return err
			}
			doc, err := c.Config()
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(env.Out)
			encoder.SetIndent("", "  ")
			return encoder.Encode(doc)
		},
	}
}
