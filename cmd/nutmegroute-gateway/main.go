// Command nutmegroute-gateway serves clients on a deployment of shared engines.
// It reads its settings from the file that the platform provides.
package main

import (
	"os"

	"github.com/nutmegroute/nutmegroute/platform/run"
)

func main() { os.Exit(run.Main(os.Args[1:], os.Stdout, os.Stderr)) }
