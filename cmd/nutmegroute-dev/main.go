// Command nutmegroute-dev runs two entries, two replicas of a pipeline of three
// stages, two replicas of a plain service and the stand-in of the platform in
// one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/nutmegroute/nutmegroute/internal/dev"
)

func main() {
	var args dev.Args
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := dev.Run(ctx, args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegroute-dev:", err)
		os.Exit(1)
	}
}
