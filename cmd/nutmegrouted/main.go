// Command nutmegrouted runs an entry or a sidecar. Its exit codes are those of
// the package internal/daemon.
package main

import (
	"os"

	"github.com/nutmegroute/nutmegroute/internal/daemon"
)

// constructors names the packages that implement the processes.
var constructors = daemon.Constructors{}

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, constructors))
}
