package slot

import (
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// work counts the requests and tokens of each entry separately, so that an entry can distinguish its own share of the
// load from that of the others.
type work struct {
	mu      sync.Mutex
	entries map[ids.Incarnation]*entryWork
}

type entryWork struct {
	routing.Work
	lastSeen time.Time
}

// entryTTL is how long the counts of an entry that sends nothing are retained.
const entryTTL = 10 * time.Minute

func newWork() *work { return &work{entries: map[ids.Incarnation]*entryWork{}} }

func (w *work) start(entry ids.Incarnation, e routing.Estimate, now time.Time) *routing.Flight {
	w.mu.Lock()
	defer w.mu.Unlock()
	ew, ok := w.entries[entry]
	if !ok {
		ew = &entryWork{}
		w.entries[entry] = ew
	}
	ew.lastSeen = now
	return ew.Start(e)
}

// counts returns the work of all entries and that of the given entry. It also removes entries without work that have
// sent nothing for entryTTL.
func (w *work) counts(entry ids.Incarnation, now time.Time) (total, yours routing.Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, ew := range w.entries {
		c := ew.Counts()
		if c.Requests() == 0 && now.Sub(ew.lastSeen) > entryTTL {
			delete(w.entries, id)
			continue
		}
		total = add(total, c)
		if id == entry {
			yours = c
		}
	}
	return total, yours
}

func add(a, b routing.Counts) routing.Counts {
	return routing.Counts{
		Waiting:      a.Waiting + b.Waiting,
		Running:      a.Running + b.Running,
		PromptTokens: a.PromptTokens + b.PromptTokens,
		OutputTokens: a.OutputTokens + b.OutputTokens,

		FirstWaiting:      a.FirstWaiting + b.FirstWaiting,
		FirstPromptTokens: a.FirstPromptTokens + b.FirstPromptTokens,
	}
}

func countsProto(c routing.Counts) *cardamomyokev1.WorkCounts {
	return &cardamomyokev1.WorkCounts{
		Waiting:      uint32(max(0, c.Waiting)),
		Running:      uint32(max(0, c.Running)),
		PromptTokens: uint32(max(0, c.PromptTokens)),
		OutputTokens: uint32(max(0, c.OutputTokens)),

		FirstWaiting:      uint32(max(0, c.FirstWaiting)),
		FirstPromptTokens: uint32(max(0, c.FirstPromptTokens)),
	}
}
