package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// The parameters of the trace. It was fixed before any policy was tuned: a change makes new figures incomparable with
// all earlier ones.
const (
	blockTokens        = 64
	prefixBlocks       = 32
	suffixBlocks       = 2
	promptTokens       = (prefixBlocks + suffixBlocks) * blockTokens
	families           = 48
	zipfExponent       = 1.0
	driftInterval      = 5 * time.Second
	outputMean         = 96
	outputSigma        = 0.6
	outputMax          = 400
	firstClassFraction = 0.2
	deadline           = 10 * time.Second
	addressTTL         = 5 * time.Second
)

const (
	classFirst  = "first"
	classSecond = "second"
)

// account is a client of the trace: its share of all requests and the number of its callers, each of which uses one
// entry until its address response expires.
type account struct {
	name    ids.Client
	share   float64
	callers int
}

// flooder is the client that sends half of all requests.
const flooder ids.Client = "flooder"

const smallCount = 7

func accounts() []account {
	list := []account{{flooder, 0.5, 60}, {"large-1", 0.125, 30}, {"large-2", 0.125, 30}}
	for i := range smallCount {
		list = append(list, account{ids.Client("small-" + string(rune('1'+i))), 0.25 / smallCount, 12})
	}
	return list
}

func isSmall(c ids.Client) bool { return c[0] == 's' }

// arrival is one request of the trace.
type arrival struct {
	id     uint64
	at     time.Time
	client ids.Client
	class  string
	blocks []uint64
	output int
	// callerHash identifies the caller. Together with the time it determines the entry of the request.
	callerHash uint64
}

// source generates the arrivals as a Poisson process.
type source struct {
	rng            *rand.Rand
	accounts       []account
	weights        []float64
	sharedPrefixes bool
	next           uint64
}

func newSource(seed uint64, sharedPrefixes bool) *source {
	s := &source{rng: rand.New(rand.NewPCG(seed, 1)), accounts: accounts(), sharedPrefixes: sharedPrefixes}
	for i := range families {
		s.weights = append(s.weights, 1/math.Pow(float64(i+1), zipfExponent))
	}
	return s
}

// generate returns the next arrival after the given time, at a mean rate in requests per second.
func (s *source) generate(after time.Time, rate float64) arrival {
	at := after.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
	s.next++
	a := arrival{id: s.next, at: at, class: classSecond, output: s.output()}
	acc := s.account()
	a.client = acc.name
	a.callerHash = routing.Mix(uint64(len(acc.name))<<8|uint64(acc.name[len(acc.name)-1]), s.rng.Uint64N(uint64(acc.callers)))
	if s.rng.Float64() < firstClassFraction {
		a.class = classFirst
	}
	a.blocks = s.blocks(at)
	return a
}

// account returns a random account, weighted by share.
func (s *source) account() account {
	x := s.rng.Float64()
	for _, a := range s.accounts {
		if x < a.share {
			return a
		}
		x -= a.share
	}
	return s.accounts[len(s.accounts)-1]
}

// output returns a random response length in tokens, log-normal around outputMean.
func (s *source) output() int {
	mu := math.Log(outputMean) - outputSigma*outputSigma/2
	n := int(math.Exp(mu + outputSigma*s.rng.NormFloat64()))
	return min(max(n, 1), outputMax)
}

// blocks returns the block hashes of a prompt: the prefix of its family, whose popularity drifts, and a unique suffix.
// In the trace without shared prefixes, each request has its own family.
func (s *source) blocks(at time.Time) []uint64 {
	family := s.family(at)
	if !s.sharedPrefixes {
		family = 1<<32 + s.next
	}
	blocks := make([]uint64, 0, prefixBlocks+suffixBlocks)
	for i := range prefixBlocks {
		blocks = append(blocks, routing.Mix(family, uint64(i)))
	}
	for i := range suffixBlocks {
		blocks = append(blocks, routing.Mix(s.next, 1<<40+uint64(i)))
	}
	return blocks
}

// family returns a random family with Zipf popularity. The ranks of the families rotate by one each driftInterval.
func (s *source) family(at time.Time) uint64 {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	x := s.rng.Float64() * total
	rank := 0
	for rank < families-1 && x >= s.weights[rank] {
		x -= s.weights[rank]
		rank++
	}
	shift := int(at.Sub(epoch) / driftInterval)
	return uint64((rank + shift) % families)
}

// entryOf returns the index of the entry, out of n, that the request's caller uses. The caller changes to another entry
// each time its address response expires.
func (a *arrival) entryOf(n int) int {
	period := uint64(a.at.Sub(epoch)/addressTTL) + a.callerHash%97
	return int(routing.Mix(a.callerHash, period) % uint64(n))
}
