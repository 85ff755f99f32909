// Command cardamomyoke-entry takes callers' requests and routes them to slots; it runs on each entry host.
package main

import (
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/daemon/entrymain"
)

func main() {
	os.Exit(daemon.Main(entrymain.Program(), os.Args[1:]))
}
