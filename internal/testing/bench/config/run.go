package config

import (
	"io"
	"time"
)

// Run measures clusters of the given sizes with the default delays of the command, and writes a table, the slopes and the
// verdicts.
func Run(out io.Writer, nodes []int, changes int, idle time.Duration, seed uint64) error {
	s := &settings{nodes: nodes, seed: seed, changes: changes, idle: idle}
	s.delays = delays{local: 200 * time.Microsecond, dataCentre: 1500 * time.Microsecond, region: 40 * time.Millisecond}
	return s.run(out)
}
