// Command nutmegroute-bench runs benchmarks of the router against the stand-ins
// and compares it with a naive version of itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/nutmegroute/nutmegroute/internal/bench"
)

func main() {
	var args bench.Args
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := bench.Run(ctx, args, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegroute-bench:", err)
		os.Exit(1)
	}
}
