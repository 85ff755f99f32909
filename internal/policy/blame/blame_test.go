package blame_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
)

var simSeeds = flag.Int("blame.seeds", 2, "number of seeds of each scenario in virtual time")

const (
	// crashesBeforeBound, maxRequestsAfter and minBegunShare are the users' bounds: requests with the part that reach upstreams
	// after the fifth crash, and the sound requests that begin at the first attempt against those before.
	crashesBeforeBound = 5
	maxRequestsAfter   = 3
	minBegunShare      = 0.5
	// maxRefusedShare is the largest share of sound requests that may be refused for a part.
	maxRefusedShare = 0.01
)

func sortByID(list []*simRequest) {
	slices.SortFunc(list, func(a, b *simRequest) int { return int(a.id) - int(b.id) })
}

func scenarios() []scenario {
	rules := blame.DefaultRules()
	base := scenario{gateways: 7, upstreams: 12, sound: 60, bad: 4, rules: rules}
	with := func(name string, change func(*scenario)) scenario {
		s := base
		s.name = name
		change(&s)
		return s
	}
	return []scenario{
		with("one gateway", func(s *scenario) { s.gateways = 1 }),
		with("seven gateways", func(*scenario) {}),
		with("360 gateways", func(s *scenario) { s.gateways, s.upstreams, s.sound, s.bad = 360, 64, 200, 20 }),
		with("group", func(s *scenario) { s.upstreams, s.group = 16, true }),
		with("group, other crashes", func(s *scenario) { s.upstreams, s.group, s.deaths = 16, true, 8*time.Second }),
		with("other crashes", func(s *scenario) { s.deaths = time.Second }),
		with("crashes of several", func(s *scenario) { s.deaths, s.herd = 5*time.Second, 4 }),
		with("only crashes of several", func(s *scenario) { s.bad, s.deaths, s.herd = 0, 3*time.Second, 4 }),
		with("only crashes of the group", func(s *scenario) { s.bad, s.upstreams, s.group, s.deaths, s.herd = 0, 16, true, 10*time.Second, 3 }),
		with("all killed", func(s *scenario) { s.killAll = 9 * time.Second }),
		with("all killed, group", func(s *scenario) { s.upstreams, s.group, s.killAll = 16, true, 15*time.Second }),
		with("cuts", func(s *scenario) { s.cut = 3 * time.Second }),
		with("store away", func(s *scenario) { s.storeAway = 15 * time.Second }),
		with("store away, all killed", func(s *scenario) { s.storeAway, s.killAll = 20*time.Second, 20*time.Second }),
		with("older store, all killed", func(s *scenario) { s.storeOlder, s.killAll = 15*time.Second, 20*time.Second }),
		with("all at once", func(s *scenario) {
			s.deaths, s.herd, s.killAll, s.cut, s.storeAway, s.storeOlder = 4*time.Second, 2, 25*time.Second, 10*time.Second, 30*time.Second, 30*time.Second
		}),
	}
}

// Guards against requests with one part that crash one upstream after the other, and against sound requests that are refused for
// parts that met crashes, under faults of gateways and of the store.
func TestPartsAreRefusedInTime(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			sum := tally{}
			for seed := range s.seeds() {
				r := play(s, uint64(seed))
				sum.add(r)
				checkPlay(t, seed, r)
			}
			t.Log(sum)
		})
	}
}

// seeds returns how many seeds of the scenario are played; those of many gateways take long.
func (s scenario) seeds() int {
	if s.gateways > 100 {
		return (*simSeeds + 3) / 4
	}
	return *simSeeds
}

func checkPlay(t *testing.T, seed int, r simResult) {
	t.Helper()
	slices.Sort(r.crashes)
	if more := r.arrivedAfterFifth(); more > maxRequestsAfter {
		t.Errorf("seed %d: %d requests reached upstreams after the fifth crash, allowed %d; %d crashes", seed, more, maxRequestsAfter, len(r.crashes))
	}
	before, later := r.begun(0, badFrom), r.begun(r.boundFrom()+2*stability, simLength)
	if later < minBegunShare*before {
		t.Errorf("seed %d: %.2f of the sound requests begin at the first attempt, %.2f did before", seed, later, before)
	}
	if refused := r.refusedShare(); refused > maxRefusedShare {
		t.Errorf("seed %d: %.4f of the sound requests were refused", seed, refused)
	}
}

func (r simResult) arrivedAfterFifth() int {
	if len(r.crashes) < crashesBeforeBound {
		return 0
	}
	n := 0
	for _, at := range r.arrivals {
		if at > r.crashes[crashesBeforeBound-1]+stability {
			n++
		}
	}
	return n
}

func (r simResult) boundFrom() time.Duration {
	if len(r.crashes) == 0 {
		return badFrom
	}
	return r.crashes[min(len(r.crashes), crashesBeforeBound)-1]
}

func (r simResult) begun(from, to time.Duration) float64 {
	sent, begun := 0, 0
	for _, o := range r.sound {
		if o.at >= from && o.at < to {
			sent++
			if o.begun {
				begun++
			}
		}
	}
	return float64(begun) / float64(max(1, sent))
}

func (r simResult) refusedShare() float64 {
	refused := 0
	for _, o := range r.sound {
		if o.refused {
			refused++
		}
	}
	return float64(refused) / float64(max(1, len(r.sound)))
}

// tally sums up plays.
type tally struct {
	plays, crashes, mostCrashes, sound, refused, partsRefused int
}

func (c tally) String() string {
	return fmt.Sprintf("%.1f upstreams ended, at most %d; %d of %d sound requests refused, with %d rare parts",
		float64(c.crashes)/float64(max(1, c.plays)), c.mostCrashes, c.refused, c.sound, c.partsRefused)
}

func (c *tally) add(r simResult) {
	c.plays++
	c.crashes += len(r.crashes)
	c.mostCrashes = max(c.mostCrashes, len(r.crashes))
	parts := map[blame.Part]bool{}
	for _, o := range r.sound {
		c.sound++
		if o.refused {
			c.refused++
			parts[o.rare] = true
		}
	}
	c.partsRefused += len(parts)
}

// Shows what the number of crashes that suffice costs: upstreams on one side, sound requests on the other.
func TestCrashesThatSuffice(t *testing.T) {
	s0 := blame.DefaultRules()
	for _, name := range []string{"group, other crashes", "crashes of several", "only crashes of several", "all killed"} {
		for events := 1; events <= 4; events++ {
			for _, spacing := range []time.Duration{0, s0.Spacing, 4 * s0.Spacing} {
				sum := tally{}
				for _, s := range scenarios() {
					if s.name != name {
						continue
					}
					s.rules.Events, s.rules.Spacing, s.rules.Requests = events, spacing, min(events, 2)
					s.rules.AnsweredEvents = max(s.rules.AnsweredEvents, events)
					for seed := range *simSeeds {
						sum.add(play(s, uint64(seed)))
					}
				}
				t.Logf("%s, %d crashes %s apart: %s", name, events, spacing, sum)
			}
		}
	}
}

var (
	start  = time.UnixMilli(1_700_000_000_000)
	second = time.Second
)

// crashedAt records a crash at a time after start under requests with the parts; the ids of the requests begin at request.
func crashedAt(l *blame.Ledger, at time.Duration, crash blame.Crash, request blame.Request, prompts ...blame.Parts) {
	var broken []blame.Broken
	for i, parts := range prompts {
		broken = append(broken, blame.Broken{Carrier: blame.Carrier{Request: request + blame.Request(i), Account: 1}, Parts: parts})
	}
	l.Crashed(start.Add(at), crash, broken)
}

func refusedParts(l *blame.Ledger, at time.Duration) blame.Parts {
	l.Decide(start.Add(at))
	l.Decide(start.Add(at + blame.DefaultRules().Gather))
	var out blame.Parts
	for _, s := range l.All() {
		if s.Verdict.State == blame.Refused {
			out = append(out, s.Part)
		}
	}
	return out
}

// Guards against holding crashes against the wrong part.
func TestPartAtFaultIsFound(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(l *blame.Ledger, m *blame.Memory)
		want blame.Parts
	}{
		{"one crash", func(l *blame.Ledger, _ *blame.Memory) {
			crashedAt(l, 0, 1, 1, blame.Parts{1, 2}, blame.Parts{1, 2})
		}, nil},
		{"two crashes", func(l *blame.Ledger, m *blame.Memory) {
			m.Answered(blame.Parts{1})
			crashedAt(l, 0, 1, 1, blame.Parts{1, 2})
			crashedAt(l, second, 2, 2, blame.Parts{1, 2})
		}, blame.Parts{2}},
		{"two crashes at once", func(l *blame.Ledger, _ *blame.Memory) {
			crashedAt(l, 0, 1, 1, blame.Parts{2})
			crashedAt(l, 90*time.Millisecond, 2, 2, blame.Parts{2})
		}, nil},
		{"the same request twice", func(l *blame.Ledger, _ *blame.Memory) {
			crashedAt(l, 0, 1, 1, blame.Parts{2})
			crashedAt(l, second, 2, 1, blame.Parts{2})
		}, nil},
		{"first part with others, nothing answered", func(l *blame.Ledger, m *blame.Memory) {
			m.Seen(blame.Parts{1, 2})
			m.Seen(blame.Parts{1})
			crashedAt(l, 0, 1, 1, blame.Parts{1, 2}, blame.Parts{1})
			crashedAt(l, second, 2, 3, blame.Parts{1, 2})
		}, blame.Parts{2}},
		{"parts that always go together", func(l *blame.Ledger, _ *blame.Memory) {
			crashedAt(l, 0, 1, 1, blame.Parts{9, 2})
			crashedAt(l, second, 2, 2, blame.Parts{9, 2})
		}, blame.Parts{2}},
		{"a rare part beside the one at fault", func(l *blame.Ledger, _ *blame.Memory) {
			crashedAt(l, 0, 1, 1, blame.Parts{2}, blame.Parts{2}, blame.Parts{7})
			crashedAt(l, second, 2, 4, blame.Parts{2}, blame.Parts{7})
		}, blame.Parts{2}},
		{"answered in between", func(l *blame.Ledger, _ *blame.Memory) {
			crashedAt(l, 0, 1, 1, blame.Parts{2})
			l.Answered(start.Add(second/2), blame.Parts{2})
			crashedAt(l, second, 2, 2, blame.Parts{2})
			crashedAt(l, 2*second, 3, 3, blame.Parts{2})
		}, nil},
		{"answered once, four crashes since", func(l *blame.Ledger, m *blame.Memory) {
			m.Answered(blame.Parts{2})
			for i := range 4 {
				crashedAt(l, time.Duration(i)*second, blame.Crash(i), blame.Request(i), blame.Parts{2})
			}
		}, blame.Parts{2}},
		{"two parts at fault", func(l *blame.Ledger, _ *blame.Memory) {
			for i := range 2 {
				crashedAt(l, time.Duration(i)*second, blame.Crash(i), blame.Request(i), blame.Parts{2})
				crashedAt(l, time.Duration(i)*second, blame.Crash(10+i), blame.Request(10+i), blame.Parts{3})
			}
		}, blame.Parts{2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := blame.NewMemory()
			l := blame.NewLedger(blame.DefaultRules(), "g", m)
			c.play(l, m)
			if diff := cmp.Diff(c.want, refusedParts(l, 5*second)); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// Guards against a client account that gets a part refused which others share: it crashes upstreams by other means, always with
// that part.
func TestSharedPartIsRefusedToOneAccountOnly(t *testing.T) {
	m := blame.NewMemory()
	m.Answered(blame.Parts{5})
	l := blame.NewLedger(blame.DefaultRules(), "g", m)
	for i := range 5 {
		crashedAt(l, time.Duration(i)*second, blame.Crash(i), blame.Request(i), blame.Parts{5})
	}
	if diff := cmp.Diff(blame.Parts{5}, refusedParts(l, 6*second)); diff != "" {
		t.Fatal(diff)
	}
	for account, want := range map[blame.Account]bool{1: true, 2: false} {
		if _, refused := l.Snapshot().Refused(blame.Parts{5}, account, nil); refused != want {
			t.Errorf("account %d: refused %t, want %t", account, refused, want)
		}
	}
}

// Guards against a refusal that never ends, and against more trials than are allowed.
func TestTrialsEndRefusal(t *testing.T) {
	rules := blame.DefaultRules()
	newRefused := func() *blame.Ledger {
		l := blame.NewLedger(rules, "g", blame.NewMemory())
		crashedAt(l, 0, 1, 1, blame.Parts{2})
		crashedAt(l, second, 2, 2, blame.Parts{2})
		refusedParts(l, 2*second)
		return l
	}
	t.Run("answered", func(t *testing.T) {
		l := newRefused()
		at := start.Add(2*second + rules.Gather + rules.TrialPauses[0])
		if l.TrialDue(at.Add(-second), 2) || !l.TrialDue(at, 2) {
			t.Fatal("the trial is not due after the first pause")
		}
		l.ClaimTrial(at, 2)
		l.Answered(at, blame.Parts{2})
		if got := refusedParts(l, 3*second+rules.TrialPauses[0]); got != nil {
			t.Fatalf("%s still refused", got)
		}
	})
	t.Run("crashes", func(t *testing.T) {
		l := newRefused()
		trials := 0
		for at := 2 * second; at < 200*time.Hour; at += time.Minute {
			if l.TrialDue(start.Add(at), 2) {
				trials++
				l.ClaimTrial(start.Add(at), 2)
				crashedAt(l, at, blame.Crash(100+trials), blame.Request(100+trials), blame.Parts{2})
			}
		}
		if trials != rules.Trials || len(refusedParts(l, 200*time.Hour)) != 1 {
			t.Fatalf("%d trials, want %d, and a refusal that lasts", trials, rules.Trials)
		}
	})
}

// Guards against gateways that disagree because they hear of the same things in another order.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	source := func(i int) []blame.Suspect {
		l := blame.NewLedger(blame.DefaultRules(), "g", blame.NewMemory())
		crashedAt(l, time.Duration(i)*second, blame.Crash(i%3), blame.Request(i), blame.Parts{1, 2}, blame.Parts{3})
		switch i {
		case 3:
			l.Answered(start.Add(4*second), blame.Parts{3})
		case 4:
			l.Override(start.Add(5*second), 2, blame.Barred, "someone")
		case 5:
			l.Override(start.Add(5*second), 2, blame.Trusted, "other")
		}
		return l.List()
	}
	var want []byte
	for _, order := range [][]int{{0, 1, 2, 3, 4, 5}, {5, 4, 3, 2, 1, 0}, {2, 5, 0, 4, 1, 3, 3, 5}} {
		rules := blame.DefaultRules()
		rules.Settle = time.Hour
		l := blame.NewLedger(rules, "g", blame.NewMemory())
		for _, i := range order {
			l.Merge(start.Add(6*second), source(i))
		}
		got, err := blame.EncodeRow(l.All())
		if err != nil {
			t.Fatal(err)
		}
		if want == nil {
			want = got
		}
		if string(got) != string(want) {
			t.Fatalf("order %v: another result", order)
		}
	}
}

// Guards against a row that loses something, and against one that no gateway can decode.
func TestStoredPartsAreDecoded(t *testing.T) {
	l := blame.NewLedger(blame.DefaultRules(), "g", blame.NewMemory())
	crashedAt(l, 0, 1, 1, blame.Parts{2})
	crashedAt(l, second, 2, 2, blame.Parts{2})
	refusedParts(l, 2*second)
	value, err := blame.EncodeRow(l.All())
	if err != nil {
		t.Fatal(err)
	}
	stored, err := blame.DecodeRow(value)
	if err != nil || !blame.Covers(stored, l.All()) {
		t.Fatalf("decoded %v, %v", stored, err)
	}
	if _, err := blame.DecodeRow([]byte("garbled")); err == nil {
		t.Fatal("a garbled row was decoded")
	}
}

// Guards against a part that does not fit a datagram, and a row that the store does not take.
func TestPartsAreBounded(t *testing.T) {
	const datagramBytes, rowBytes = 1100, 64 << 10
	l := blame.NewLedger(blame.DefaultRules(), "a gateway with a name of some length", blame.NewMemory())
	for crash := range 20 {
		var prompts []blame.Parts
		for request := range 10 {
			prompts = append(prompts, blame.Parts{1 << 60, blame.Part(1000*crash + request)})
		}
		crashedAt(l, time.Duration(crash)*second, blame.Crash(1<<60+crash), blame.Request(1<<60+100*crash), prompts...)
	}
	for part := range 2000 {
		crashedAt(l, 30*second, blame.Crash(1<<60+part), blame.Request(1<<60+part), blame.Parts{blame.Part(1<<50 + part)})
	}
	largest := 0
	for _, s := range l.List() {
		largest = max(largest, proto.Size(s.Proto()))
	}
	value, err := blame.EncodeRow(l.All())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d parts, the largest of %d bytes, the row of %d", len(l.List()), largest, len(value))
	if largest > datagramBytes || len(value) > rowBytes {
		t.Fatalf("the largest part has %d bytes, the row %d; allowed %d and %d", largest, len(value), datagramBytes, rowBytes)
	}
}

// Shows how many bytes a digest has after one crash, and with refused parts that no longer change.
func TestBytesOfParts(t *testing.T) {
	size := func(l *blame.Ledger, at time.Duration) int {
		list, _ := l.Digest(start.Add(at), 12)
		return proto.Size(&cardamomyokev1.Digest{Parts: blame.ToProto(list)})
	}
	l := blame.NewLedger(blame.DefaultRules(), "front-churubusco-1", blame.NewMemory())
	crashedAt(l, 0, 1<<60, 1, blame.Parts{1 << 60, 1 << 61}, blame.Parts{1 << 60})
	t.Logf("after one crash: %d bytes", size(l, second))
	crashedAt(l, second, 1<<60+1, 3, blame.Parts{1 << 60, 1 << 61})
	refusedParts(l, 2*second)
	t.Logf("once a part is refused: %d bytes, later %d", size(l, 3*second), size(l, time.Minute))
}
