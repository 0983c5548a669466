package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/lentildeck/lentildeck/internal/oper/client"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() {
	Commands.Register("query", queryCommand)
	Commands.Register("prompt", promptCommand)
	Commands.Register("submit", submitCommand)
	Commands.Register("config", configCommand)
	for _, verb := range []verb{
		{name: "admit", words: "JOB", help: "let a held job into the queue"},
		{name: "cancel", words: "JOB", help: "end a job, wherever it runs"},
		{name: "drain", words: "DATACENTRE [within TIME]", help: "take a data centre out of service"},
		{name: "restore", words: "DATACENTRE", help: "bring a drained data centre back"},
		{name: "why", words: "JOB", help: "say why a job waits"},
	} {
		Commands.Register(verb.name, verb.command)
	}
	Commands.Register("status", func(env *Env) *ffcli.Command {
		return verb{name: "status", line: "show status", help: "show every instance with its configuration"}.command(env)
	})
}

// verb is a command that is one statement of the operators' language.
type verb struct {
	name  string
	words string
	help  string
	// line is the statement, if it is not the name with the words.
	line string
}

func (v verb) command(env *Env) *ffcli.Command {
	var r remote
	return &ffcli.Command{
		Name: v.name, ShortUsage: "lentildeck " + v.name + " [flags] " + v.words, ShortHelp: v.help, FlagSet: r.flags(v.name),
		Exec: func(_ context.Context, args []string) error {
			line := v.line
			if line == "" {
				line = v.name + " " + strings.Join(args, " ")
			}
			return say(env, &r, line)
		},
	}
}

// say sends one statement and prints the answer.
func say(env *Env, r *remote, line string) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	answer, err := c.Line(line)
	if err != nil {
		return err
	}
	return show(env.Out, r.format, answer)
}

func queryCommand(env *Env) *ffcli.Command {
	var r remote
	return &ffcli.Command{
		Name: "query", ShortUsage: "lentildeck query [flags] 'STATEMENT'", ShortHelp: "ask what runs where, why it waits, what a data centre holds",
		LongHelp: "Examples:\n  jobs where workspace = recount and phase = waiting order by submitted\n  workers in plovdiv where free > 0 limit 5\n  why recount-17",
		FlagSet:  r.flags("query"),
		Exec: func(_ context.Context, args []string) error {
			return say(env, &r, strings.Join(args, " "))
		},
	}
}

func promptCommand(env *Env) *ffcli.Command {
	var r remote
	return &ffcli.Command{
		Name: "prompt", ShortUsage: "lentildeck prompt [flags]", ShortHelp: "type statements one after the other", FlagSet: r.flags("prompt"),
		Exec: func(ctx context.Context, _ []string) error {
			c, err := r.client()
			if err != nil {
				return err
			}
			return Prompt(ctx, env, c, r.format)
		},
	}
}

// Prompt reads statements and prints their answers until the input ends or says quit.
func Prompt(ctx context.Context, env *Env, c *client.Client, format string) error {
	lines := bufio.NewScanner(env.In)
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
		answer, err := c.Line(line)
		if err == nil {
			err = show(env.Out, format, answer)
		}
		if err != nil {
			_, _ = fmt.Fprintln(env.Out, err)
		}
	}
	return lines.Err()
}

func submitCommand(env *Env) *ffcli.Command {
	var r remote
	return &ffcli.Command{
		Name: "submit", ShortUsage: "lentildeck submit [flags] FILE", ShortHelp: "submit the job that a JSON file describes (- reads standard input)", FlagSet: r.flags("submit"),
		Exec: func(_ context.Context, args []string) error {
			source, err := input(env, args)
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
	_, err := fmt.Fprintf(env.Out, "job %s is recorded; ask `lentildeck why %s` if it waits\n", job, job)
	return err
}

func input(env *Env, args []string) ([]byte, error) {
	if len(args) != 1 {
		return nil, &UsageError{Problem: "one file is needed; - reads standard input"}
	}
	if args[0] == "-" {
		var text strings.Builder
		lines := bufio.NewScanner(env.In)
		for lines.Scan() {
			text.WriteString(lines.Text() + "\n")
		}
		return []byte(text.String()), lines.Err()
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
			configFile(env, "check", "say whether a configuration would be accepted", (*client.Client).Check),
			configFile(env, "apply", "replace fleet and workspaces", (*client.Client).Apply),
			configShow(env),
		},
		Exec: func(context.Context, []string) error {
			return &UsageError{Problem: "config needs check, apply or show"}
		},
	}
}

func configFile(env *Env, name, help string, send func(*client.Client, []byte) (string, error)) *ffcli.Command {
	var r remote
	return &ffcli.Command{
		Name: name, ShortUsage: "lentildeck config " + name + " [flags] FILE", ShortHelp: help, FlagSet: r.flags(name), Options: environment,
		Exec: func(_ context.Context, args []string) error {
			source, err := input(env, args)
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
			_, err = fmt.Fprintln(env.Out, message)
			return err
		},
	}
}

func configShow(env *Env) *ffcli.Command {
	var r remote
	var whole bool
	set := r.flags("show")
	set.BoolVar(&whole, "document", false, "print the document instead of the instances that have it")
	return &ffcli.Command{
		Name: "show", ShortUsage: "lentildeck config show [flags]", ShortHelp: "show revision, age and source on each instance", FlagSet: set, Options: environment,
		Exec: func(context.Context, []string) error {
			if !whole {
				return say(env, &r, "show config")
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
