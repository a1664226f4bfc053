// Command nutmegrouted runs an entry or a sidecar. The package internal/daemon
// documents its exit codes.
package main

import (
	"os"

	"github.com/nutmegroute/nutmegroute/internal/daemon"
)

func main() {
	constructors := daemon.Constructors{Entry: daemon.NewEntry, Sidecar: daemon.NewSidecar}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, constructors))
}
