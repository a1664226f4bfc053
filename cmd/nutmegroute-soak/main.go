// Command nutmegroute-soak runs the soak test of the gateway, which injects
// random faults.
package main

import (
	"os"

	"github.com/nutmegroute/nutmegroute/platform/soak"
)

func main() { os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr)) }
