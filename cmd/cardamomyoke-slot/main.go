// Command cardamomyoke-slot runs on the same host as an upstream and is the only process that sends it requests and
// orders.
package main

import (
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/base/program"
	"github.com/cardamomyoke/cardamomyoke/internal/node/daemon/slotmain"
)

func main() {
	os.Exit(program.Main(slotmain.Program(), os.Args[1:]))
}
