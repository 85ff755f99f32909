// Command cardamomyoke-slot runs beside each upstream and is the only process that hands it work or orders.
package main

import (
	"os"

	"github.com/cardamomyoke/cardamomyoke/internal/base/program"
	"github.com/cardamomyoke/cardamomyoke/internal/node/daemon/slotmain"
)

func main() {
	os.Exit(program.Main(slotmain.Program(), os.Args[1:]))
}
