// Command nutmegroute-gateway serves clients on the users' platform. It takes
// its settings from the file that the platform names.
package main

import (
	"os"

	"github.com/nutmegroute/nutmegroute/platform/run"
)

func main() { os.Exit(run.Main(os.Args[1:], os.Stdout, os.Stderr)) }
