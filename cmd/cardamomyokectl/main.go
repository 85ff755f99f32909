// Command cardamomyokectl is the command-line client for operators. It uses the RPC service that each entry serves.
package main

import (
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/tool/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
