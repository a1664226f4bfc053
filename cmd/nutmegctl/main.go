// Command nutmegctl is the operators' command-line tool for nutmegroute.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/nutmegroute/nutmegroute/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
