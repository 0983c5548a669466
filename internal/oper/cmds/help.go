package cmds

import (
	"context"
	"embed"
	"fmt"
	"io"
	"strings"

	"github.com/lentildeck/lentildeck/internal/kern/build"
	"github.com/peterbourgon/ff/v3/ffcli"
)

//go:embed help/*.md
var helpPages embed.FS

func init() {
	Commands.Register("help", helpCommand)
	Commands.Register("version", versionCommand)
	Commands.Register("completion", completionCommand)
}

// topics returns the names of the help pages.
func topics() []string {
	entries, err := helpPages.ReadDir("help")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".md"))
	}
	return names
}

func printTopic(out io.Writer, topic string) error {
	page, err := helpPages.ReadFile("help/" + topic + ".md")
	if err != nil {
		return &UsageError{Problem: fmt.Sprintf("there is no help on %q; topics: %s", topic, strings.Join(topics(), ", "))}
	}
	_, err = out.Write(page)
	return err
}

func helpCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name: "help", ShortUsage: "lentildeck help TOPIC", ShortHelp: "print a help page",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				_, err := fmt.Fprintf(env.Out, "topics: %s\ncommands: %s\n", strings.Join(topics(), ", "), strings.Join(Commands.Names(), ", "))
				return err
			}
			return printTopic(env.Out, args[0])
		},
	}
}

func versionCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name: "version", ShortUsage: "lentildeck version", ShortHelp: "print the version",
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintln(env.Out, "lentildeck", build.Version())
			return err
		},
	}
}

func completionCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name: "completion", ShortUsage: "lentildeck completion", ShortHelp: "print a completion script for bash",
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintf(env.Out, "complete -W %q lentildeck\n", strings.Join(Commands.Names(), " "))
			return err
		},
	}
}
