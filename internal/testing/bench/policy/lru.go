package policy

import "container/list"

// lru is a runner's cache of prompt blocks. It also collects the cache events that the runner will publish.
type lru struct {
	limit   int
	order   *list.List
	blocks  map[uint64]*list.Element
	stored  []uint64
	evicted []uint64
}

func newLRU(limit int) *lru {
	return &lru{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// touch returns how many leading blocks are cached and makes them the most recently used.
func (c *lru) touch(blocks []uint64) int {
	n := c.peek(blocks)
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[blocks[i]])
	}
	return n
}

func (c *lru) peek(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// store puts blocks into the cache; the last ones of a prompt go first when space is needed.
func (c *lru) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e := c.blocks[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.stored = append(c.stored, b)
	}
	for c.order.Len() > c.limit {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, b)
		c.evicted = append(c.evicted, b)
	}
}

// events returns and forgets what changed since the last call.
func (c *lru) events() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
