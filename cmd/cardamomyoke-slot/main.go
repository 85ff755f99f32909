// Command cardamomyoke-slot runs beside each upstream and is the only process that hands it work or orders.
package main

import (
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/daemon/slotmain"
)

func main() {
	os.Exit(daemon.Main(slotmain.Program(), os.Args[1:]))
}
