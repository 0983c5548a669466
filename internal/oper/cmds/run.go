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

// Run carries out a command line and returns the exit code.
func Run(ctx context.Context, env *Env) int {
	if err := known(env.Args); err != nil {
		return report(env, err)
	}
	return report(env, Root(env).ParseAndRun(ctx, env.Args))
}

// known refuses a first word that is no command, with the nearest one.
func known(args []string) error {
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

// report prints an error and turns it into an exit code.
func report(env *Env, err error) int {
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

func (k keyFlags) load() (*tls.Config, error) {
	if k == (keyFlags{}) {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return nil, &UsageError{Problem: "--certificate and --key: " + err.Error()}
	}
	authority, err := os.ReadFile(k.authority)
	if err != nil {
		return nil, &UsageError{Problem: "--authority: " + err.Error()}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, &UsageError{Problem: "--authority: the file holds no PEM certificate"}
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: roots}, nil
}
