// Command cardamomyoke-entry takes callers' requests and routes them to slots; it runs on each entry host.
package main

import (
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/daemon/entrymain"
	"github.com/cardamomyoke/cardamomyoke/internal/program"
)

func main() {
	os.Exit(program.Main(entrymain.Program(), os.Args[1:]))
}
