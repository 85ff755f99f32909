package blame

// memoryParts is how many parts each half of a Memory holds.
const memoryParts = 16384

// Memory counts the requests with each part, and remembers which parts were answered. It holds a bounded number of parts; those
// that were used longest ago are forgotten.
type Memory struct {
	recent, older map[Part]memorized
}

type memorized struct {
	seen     uint32
	answered bool
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{recent: map[Part]memorized{}} }

// Seen counts a request with the parts.
func (m *Memory) Seen(parts Parts) {
	for _, p := range parts {
		m.update(p, func(k *memorized) { k.seen++ })
	}
}

// Answered records that an answer under the parts has gone on.
func (m *Memory) Answered(parts Parts) {
	for _, p := range parts {
		m.update(p, func(k *memorized) { k.answered = true })
	}
}

// Known returns how many requests with a part were counted, and whether it was answered.
func (m *Memory) Known(p Part) (seen uint32, answered bool) {
	k, found := m.recent[p]
	if !found {
		k = m.older[p]
	}
	return k.seen, k.answered
}

func (m *Memory) update(p Part, change func(*memorized)) {
	k, found := m.recent[p]
	if !found {
		k = m.older[p]
	}
	change(&k)
	m.recent[p] = k
	if len(m.recent) >= memoryParts {
		m.recent, m.older = map[Part]memorized{}, m.recent
	}
}
