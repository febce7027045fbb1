// Command pollenscale is the daemon that runs beside each target, together
// with the operators' commands.
package main

import (
	"os"

	"pollenscale/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
