// Command cardamomyoke-entry accepts callers' requests and routes them to slots. It runs on each entry host.
package main

import (
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/base/program"
	"github.com/cardamomyoke/cardamomyoke/internal/node/daemon/entrymain"
)

func main() {
	os.Exit(program.Main(entrymain.Program(), os.Args[1:]))
}
