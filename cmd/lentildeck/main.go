package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lentildeck/lentildeck/internal/oper/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &cmds.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Args: os.Args[1:], Now: time.Now}
	code := cmds.Run(ctx, env)
	stop()
	os.Exit(code)
}
