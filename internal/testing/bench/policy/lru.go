package policy

import "container/list"

// lru is a runner's cache of prompt blocks. It collects the cache events that the runner publishes.
type lru struct {
	limit   int
	recency *list.List
	blocks  map[uint64]*list.Element
	stored  []uint64
	evicted []uint64
}

func newLRU(limit int) *lru {
	return &lru{limit: limit, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// touch returns how many leading blocks are cached and marks them as the most recently used.
func (c *lru) touch(blocks []uint64) int {
	n := c.peek(blocks)
	for i := n - 1; i >= 0; i-- {
		c.recency.MoveToFront(c.blocks[blocks[i]])
	}
	return n
}

// peek returns how many leading blocks are cached.
func (c *lru) peek(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// store adds blocks to the cache and evicts the least recently used ones above the limit. The last blocks of a prompt
// are evicted before its first ones.
func (c *lru) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e := c.blocks[b]; e != nil {
			c.recency.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.recency.PushFront(b)
		c.stored = append(c.stored, b)
	}
	for c.recency.Len() > c.limit {
		b := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, b)
		c.evicted = append(c.evicted, b)
	}
}

// takeEvents returns the blocks stored and evicted since the last call, and clears both lists.
func (c *lru) takeEvents() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
