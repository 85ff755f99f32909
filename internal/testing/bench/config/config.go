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

// The target that the figures are held against.
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
	limitWrites    = 300 // "several hundred"
	bytesPerMB     = 1e6
	percent        = 100
	packetsPerCall = 4  // request, answer and their acknowledgements
	packetHeader   = 40 // bytes of IP and TCP headers
)

// settings are the flags of the command.
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
	cmd := app.Command("config", "Time from put to in force everywhere, and what acceptance costs each node.")
	cmd.Flag("nodes", "Number of nodes; may be given several times.").Default("10", "30", "100", "300").IntsVar(&s.nodes)
	cmd.Flag("seed", "Seed of the jitter.").Default("1").Uint64Var(&s.seed)
	cmd.Flag("changes", "Changes for each number of nodes.").Default("40").IntVar(&s.changes)
	cmd.Flag("idle", "Time over which the cost without changes is measured.").Default("10s").DurationVar(&s.idle)
	cmd.Flag("settle", "Time before that, in which nodes find the parents that they should have.").Default("12s").DurationVar(&s.settle)
	cmd.Flag("local", "One-way delay within a data centre.").Default("200us").DurationVar(&s.delays.local)
	cmd.Flag("centre", "One-way delay between data centres of a region.").Default("1.5ms").DurationVar(&s.delays.centre)
	cmd.Flag("region", "One-way delay between regions.").Default("40ms").DurationVar(&s.delays.region)
	cmd.Action(func(*kingpin.ParseContext) error { return s.run(os.Stdout) })
}

// row is what was measured with one number of nodes.
type row struct {
	nodes          int
	times          []float64 // seconds from put to in force everywhere
	idleMessages   float64   // a node and second
	idleBytes      float64   // a node and second, sent
	idleBytesMost  float64   // of the busiest node, sent and received
	changeMessages float64   // a node and change
	changeBytes    float64   // a node and change
	cpu            float64   // percent of a core a node
	changeCPU      time.Duration
	memoryMB       float64
	reads, writes  float64 // a second, of all nodes
	changeReads    float64 // a change, of all nodes
	changeWrites   float64
	overhead       float64
}

func (s *settings) run(out io.Writer) error {
	overhead, err := rpcOverhead()
	if err != nil {
		return err
	}
	// First, while nothing else is on the heap.
	mem, err := memoryAtTarget()
	if err != nil {
		return err
	}
	var rows []row
	for _, n := range s.nodes {
		r, err := s.measure(n, overhead)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	if err := table(out, rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "\noverhead of a call over HTTP/2, counted on a loopback connection: %.0f bytes, and %d bytes of packet headers\n",
		overhead, packetsPerCall*packetHeader); err != nil {
		return err
	}
	return verdicts(out, rows, mem)
}

func (s *settings) measure(n int, overhead float64) (row, error) {
	before := heap()
	c := start(n, s.delays, s.seed)
	defer c.stop()
	if err := c.ready(); err != nil {
		return row{}, err
	}
	if _, err := c.change(0, []*cardamomyokev1.Edit{policies(1000)}); err != nil {
		return row{}, err
	}
	time.Sleep(s.settle)
	r := row{nodes: n, overhead: overhead + packetsPerCall*packetHeader}
	r.memoryMB = max(0, float64(heap())-float64(before)) / float64(n) / bytesPerMB
	s.idleCost(c, &r)
	return r, s.changeCost(c, &r)
}

func (s *settings) idleCost(c *cluster, r *row) {
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
		r.idleBytesMost = max(r.idleBytesMost, bytes)
	}
}

func (s *settings) changeCost(c *cluster, r *row) error {
	u0 := c.usage()
	for i := range s.changes {
		took, err := c.change(i*7%r.nodes, []*cardamomyokev1.Edit{policies(1000 + uint32(i))})
		if err != nil {
			return err
		}
		r.times = append(r.times, took.Seconds())
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

// memoryAtTarget returns the bytes of one node's state with all client accounts and members: two states, as while a
// change is pending, and the time it takes to apply one change.
func memoryAtTarget() (memory, error) {
	before := heap()
	st := revision.Empty()
	edits := []*cardamomyokev1.Edit{policies(1000)}
	for i := range targetClients {
		edits = append(edits, client(cardamomyokev1.EditAction_EDIT_ACTION_CREATE, i, 1))
	}
	roster := &cardamomyokev1.RosterEdit{}
	for i := range targetNodes {
		roster.Add = append(roster.Add, &revision.Member{
			Name: fmt.Sprintf("%d-%04d", i%centres, i), DataCentre: fmt.Sprintf("dc%d", i%centres), Address: "127.0.0.1:10000",
		})
	}
	// Creating accounts one by one looks each name up in the list, so they come in parts as an import would send them.
	const part = 500
	var err error
	for seq := uint64(1); len(edits) > 0; seq++ {
		k := min(part, len(edits))
		if st, err = st.Apply(&revision.Entry{Seq: seq, Revision: seq, Edits: edits[:k]}); err != nil {
			return memory{}, err
		}
		edits = edits[k:]
	}
	if st, err = st.Apply(&revision.Entry{Seq: st.Seq + 1, Revision: st.Revision(), Roster: roster}); err != nil {
		return memory{}, err
	}
	begin := time.Now()
	next, err := st.Apply(&revision.Entry{Seq: st.Seq + 1, Revision: st.Revision() + 1, Edits: []*cardamomyokev1.Edit{
		client(cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, 5, 2),
	}})
	if err != nil {
		return memory{}, err
	}
	took := time.Since(begin)
	m := memory{mb: (float64(heap()) - float64(before)) / bytesPerMB, apply: took}
	if next.Revision() <= st.Revision() { // also keeps both states alive until here
		return memory{}, &StuckError{"apply"}
	}
	return m, nil
}

// memory is what one node's state takes at the target size.
type memory struct {
	mb    float64
	apply time.Duration
}

func table(out io.Writer, rows []row) error {
	t := report.Table{Columns: []string{
		"nodes", "p50 s", "p99 s", "messages/s a node", "B/s a node sent", "B/s busiest, both ways", "messages/change a node",
		"B/change a node", "CPU % a node", "CPU/change a node", "MB a node", "reads/s all", "writes/s all", "reads/change", "writes/change",
	}}
	for _, r := range rows {
		t.Add(r.nodes, f(report.Quantile(0.5, r.times)), f(report.Quantile(0.99, r.times)), f(r.idleMessages), f(r.idleBytes),
			f(r.idleBytesMost), f(r.changeMessages), f(r.changeBytes), f(r.cpu), r.changeCPU.Round(time.Microsecond),
			f(r.memoryMB), f(r.reads), f(r.writes), f(r.changeReads), f(r.changeWrites))
	}
	return t.Markdown(out)
}

func f(v float64) string { return fmt.Sprintf("%.3g", v) }
