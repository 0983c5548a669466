package cmds

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/agnivade/levenshtein"
	"github.com/lentildeck/lentildeck/internal/kern/plug"
	"github.com/lentildeck/lentildeck/internal/oper/client"
)

// Run executes the command line in env.Args and returns the exit code.
func Run(ctx context.Context, env *Env) int {
	if err := checkCommandName(env.Args); err != nil {
		return reportError(env, err)
	}
	root := Root(env)
	if err := root.Parse(env.Args); err != nil {
		return reportError(env, parseError(err))
	}
	return reportError(env, root.Run(ctx))
}

// parseError makes an error of the flags a UsageError, except for a request for help.
func parseError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &UsageError{Problem: err.Error()}
}

// checkCommandName returns a UsageError that suggests the nearest command if the first argument is not a command.
func checkCommandName(args []string) error {
	if len(args) == 0 || len(args[0]) == 0 || args[0][0] == '-' {
		return nil
	}
	_, err := Commands.Lookup(args[0])
	var unknown *plug.UnknownError
	if !errors.As(err, &unknown) {
		return nil
	}
	best, distance := "", 4
	for _, name := range unknown.Known {
		if d := levenshtein.ComputeDistance(args[0], name); d < distance {
			best, distance = name, d
		}
	}
	problem := unknown.Error()
	if best != "" {
		problem += fmt.Sprintf("; did you mean %q?", best)
	}
	return &UsageError{Problem: problem}
}

// reportError prints an error and returns its exit code.
func reportError(env *Env, err error) int {
	var usage *UsageError
	var answer *client.AnswerError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(env.Err, "lentildeck:", err)
		return ExitUsage
	case errors.As(err, &answer) && answer.NotRun:
		_, _ = fmt.Fprintln(env.Err, "lentildeck: refused:", err)
		return ExitRefused
	case errors.As(err, &answer) && answer.Code == "unknown":
		_, _ = fmt.Fprintln(env.Err, "lentildeck: unknown:", err)
		return ExitUnknown
	default:
		_, _ = fmt.Fprintln(env.Err, "lentildeck:", err)
		return ExitFailed
	}
}

func (f tlsFiles) config() (*tls.Config, error) {
	if f == (tlsFiles{}) {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, &UsageError{Problem: "--certificate and --key: " + err.Error()}
	}
	authority, err := os.ReadFile(f.authority)
	if err != nil {
		return nil, &UsageError{Problem: "--authority: " + err.Error()}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, &UsageError{Problem: "--authority: the file contains no PEM certificate"}
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: roots}, nil
}
