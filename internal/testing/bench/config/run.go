package config

import (
	"io"
	"time"
)

// Run measures the given numbers of nodes with the delays that the command has by default, and writes what it found:
// a table, the slopes and the verdicts.
func Run(out io.Writer, nodes []int, changes int, idle time.Duration, seed uint64) error {
	s := &settings{nodes: nodes, seed: seed, changes: changes, idle: idle}
	s.delays = delays{local: 200 * time.Microsecond, centre: 1500 * time.Microsecond, region: 40 * time.Millisecond}
	return s.run(out)
}
