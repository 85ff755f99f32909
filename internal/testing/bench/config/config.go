package config

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// The target size and the limits that the measurements must meet there.
const (
	changesPerDay  = 1800
	secondsPerDay  = 86400
	targetNodes    = 1140 // 360 entries and 780 slots
	targetClients  = 30_000
	limitSeconds   = 5
	limitBytes     = 6000
	limitCPU       = 2.1 // percent of a core
	limitMemoryMB  = 128
	limitReads     = 2000
	limitWrites    = 300 // the platform permits several hundred
	bytesPerMB     = 1e6
	percent        = 100
	packetsPerCall = 4  // request, response and their acknowledgements
	packetHeader   = 40 // bytes of IP and TCP headers
)

// settings holds the flags of the command.
type settings struct {
	nodes   []int
	seed    uint64
	changes int
	idle    time.Duration
	settle  time.Duration
	delays  delays
}

// Register adds the command `config`.
func Register(app *kingpin.Application) {
	s := &settings{}
	cmd := app.Command("config", "Measure the time until a change is in force on every node, and its cost for each node.")
	cmd.Flag("nodes", "Number of nodes; repeat for more cluster sizes.").Default("10", "30", "100", "300").IntsVar(&s.nodes)
	cmd.Flag("seed", "Seed of the jitter.").Default("1").Uint64Var(&s.seed)
	cmd.Flag("changes", "Changes for each number of nodes.").Default("40").IntVar(&s.changes)
	cmd.Flag("idle", "Time over which the cost without changes is measured.").Default("10s").DurationVar(&s.idle)
	cmd.Flag("settle", "Time before that measurement, for the nodes to settle on their parents in the tree.").Default("12s").DurationVar(&s.settle)
	cmd.Flag("local", "One-way delay within a data centre.").Default("200us").DurationVar(&s.delays.local)
	cmd.Flag("centre", "One-way delay between data centres of a region.").Default("1.5ms").DurationVar(&s.delays.dataCentre)
	cmd.Flag("region", "One-way delay between regions.").Default("40ms").DurationVar(&s.delays.region)
	cmd.Action(func(*kingpin.ParseContext) error { return s.run(os.Stdout) })
}

// measurement holds the results for one cluster size.
type measurement struct {
	nodes          int
	changeSeconds  []float64 // seconds from the change until it is in force on every node
	idleMessages   float64   // per node and second
	idleBytes      float64   // per node and second, sent
	maxIdleBytes   float64   // per second at the busiest node, sent and received
	changeMessages float64   // per node and change
	changeBytes    float64   // per node and change
	cpu            float64   // percent of a core per node
	changeCPU      time.Duration
	memoryMB       float64
	reads, writes  float64 // per second, all nodes
	changeReads    float64 // per change, all nodes
	changeWrites   float64
	overhead       float64 // bytes per call besides its message
}

func (s *settings) run(out io.Writer) error {
	overhead, err := rpcOverhead()
	if err != nil {
		return err
	}
	// This runs first, while nothing else is on the heap.
	mem, err := stateCostAtTarget()
	if err != nil {
		return err
	}
	var rows []measurement
	for _, n := range s.nodes {
		r, err := s.measureCluster(n, overhead)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	if err := printTable(out, rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "\noverhead of a call over HTTP/2, counted on a loopback connection: %.0f bytes, and %d bytes of packet headers\n",
		overhead, packetsPerCall*packetHeader); err != nil {
		return err
	}
	return printVerdicts(out, rows, mem)
}

func (s *settings) measureCluster(n int, overhead float64) (measurement, error) {
	before := heapBytes()
	c := startCluster(n, s.delays, s.seed)
	defer c.stop()
	if err := c.waitReady(); err != nil {
		return measurement{}, err
	}
	if _, err := c.change(0, []*cardamomyokev1.Edit{policiesEdit(1000)}); err != nil {
		return measurement{}, err
	}
	time.Sleep(s.settle)
	r := measurement{nodes: n, overhead: overhead + packetsPerCall*packetHeader}
	r.memoryMB = max(0, float64(heapBytes())-float64(before)) / float64(n) / bytesPerMB
	s.measureIdle(c, &r)
	return r, s.measureChanges(c, &r)
}

func (s *settings) measureIdle(c *cluster, r *measurement) {
	m0, b0 := c.perNode()
	u0 := c.usage()
	time.Sleep(s.idle)
	u1 := c.usage()
	m1, b1 := c.perNode()
	secs := u1.at.Sub(u0.at).Seconds()
	nodes := float64(r.nodes)
	r.idleMessages = float64(u1.messages-u0.messages) / secs / nodes
	r.idleBytes = float64(u1.bytes-u0.bytes)/secs/nodes + r.idleMessages*r.overhead
	r.cpu = percent * (u1.cpu - u0.cpu).Seconds() / secs / nodes
	r.reads = float64(u1.reads-u0.reads) / secs
	r.writes = float64(u1.writes-u0.writes) / secs
	for i := range m0 {
		bytes := (float64(b1[i]-b0[i]) + float64(m1[i]-m0[i])*r.overhead) / secs
		r.maxIdleBytes = max(r.maxIdleBytes, bytes)
	}
}

func (s *settings) measureChanges(c *cluster, r *measurement) error {
	u0 := c.usage()
	for i := range s.changes {
		took, err := c.change(i*7%r.nodes, []*cardamomyokev1.Edit{policiesEdit(1000 + uint32(i))})
		if err != nil {
			return err
		}
		r.changeSeconds = append(r.changeSeconds, took.Seconds())
		time.Sleep(100 * time.Millisecond)
	}
	u1 := c.usage()
	secs := u1.at.Sub(u0.at).Seconds()
	each := float64(s.changes) * float64(r.nodes)
	r.changeMessages = max(0, float64(u1.messages-u0.messages)/each-r.idleMessages*secs/float64(s.changes))
	payload := float64(u1.bytes-u0.bytes) / each
	idlePayload := (r.idleBytes - r.idleMessages*r.overhead) * secs / float64(s.changes)
	r.changeBytes = max(0, payload-idlePayload) + r.changeMessages*r.overhead
	idleCPU := r.cpu / percent * secs * float64(r.nodes)
	r.changeCPU = time.Duration(max(0, (u1.cpu-u0.cpu).Seconds()-idleCPU) / each * float64(time.Second))
	r.changeReads = max(0, (float64(u1.reads-u0.reads)-r.reads*secs)/float64(s.changes))
	r.changeWrites = max(0, (float64(u1.writes-u0.writes)-r.writes*secs)/float64(s.changes))
	return nil
}

// stateCostAtTarget measures the state of one node with the target's client accounts and members: the memory of two
// states, as a node holds while a change is pending, and the time to apply one change.
func stateCostAtTarget() (stateCost, error) {
	before := heapBytes()
	st := revision.Empty()
	edits := []*cardamomyokev1.Edit{policiesEdit(1000)}
	for i := range targetClients {
		edits = append(edits, clientEdit(cardamomyokev1.EditAction_EDIT_ACTION_CREATE, i, 1))
	}
	roster := &cardamomyokev1.RosterEdit{}
	for i := range targetNodes {
		roster.Add = append(roster.Add, &revision.Member{
			Name: fmt.Sprintf("%d-%04d", i%dataCentres, i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Address: "127.0.0.1:10000",
		})
	}
	// Each creation searches the list of all accounts for the name, so the accounts are created in batches, as an import
	// sends them.
	const maxEdits = 500
	var err error
	for seq := uint64(1); len(edits) > 0; seq++ {
		k := min(maxEdits, len(edits))
		if st, err = st.Apply(&revision.LogEntry{Seq: seq, Revision: seq, Edits: edits[:k]}); err != nil {
			return stateCost{}, err
		}
		edits = edits[k:]
	}
	if st, err = st.Apply(&revision.LogEntry{Seq: st.Seq + 1, Revision: st.Revision(), Roster: roster}); err != nil {
		return stateCost{}, err
	}
	start := time.Now()
	next, err := st.Apply(&revision.LogEntry{Seq: st.Seq + 1, Revision: st.Revision() + 1, Edits: []*cardamomyokev1.Edit{
		clientEdit(cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, 5, 2),
	}})
	if err != nil {
		return stateCost{}, err
	}
	took := time.Since(start)
	m := stateCost{mb: (float64(heapBytes()) - float64(before)) / bytesPerMB, apply: took}
	if next.Revision() <= st.Revision() { // This use also keeps both states alive until here.
		return stateCost{}, &NoProgressError{"apply"}
	}
	return m, nil
}

// stateCost is the cost of one node's state at the target size.
type stateCost struct {
	mb    float64       // memory of two states
	apply time.Duration // time to apply one change
}

func printTable(out io.Writer, rows []measurement) error {
	t := report.Table{Columns: []string{
		"nodes", "p50 s", "p99 s", "messages/s a node", "B/s a node sent", "B/s busiest, both ways", "messages/change a node",
		"B/change a node", "CPU % a node", "CPU/change a node", "MB a node", "reads/s all", "writes/s all", "reads/change", "writes/change",
	}}
	for _, r := range rows {
		t.Add(r.nodes, threeDigits(report.Quantile(0.5, r.changeSeconds)), threeDigits(report.Quantile(0.99, r.changeSeconds)), threeDigits(r.idleMessages), threeDigits(r.idleBytes),
			threeDigits(r.maxIdleBytes), threeDigits(r.changeMessages), threeDigits(r.changeBytes), threeDigits(r.cpu), r.changeCPU.Round(time.Microsecond),
			threeDigits(r.memoryMB), threeDigits(r.reads), threeDigits(r.writes), threeDigits(r.changeReads), threeDigits(r.changeWrites))
	}
	return t.Markdown(out)
}

func threeDigits(v float64) string { return fmt.Sprintf("%.3g", v) }
