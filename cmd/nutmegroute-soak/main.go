// Command nutmegroute-soak runs the fault soak of the gateway.
package main

import (
	"os"

	"github.com/nutmegroute/nutmegroute/platform/soak"
)

func main() { os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr)) }
