package httpclient

import "time"

// SweptIdle closes the connections that are idle for too long at the given time, and returns how many are left.
func SweptIdle(c *Client, now time.Time) int {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.sweep(now)
	n := 0
	for _, list := range c.pool.idle {
		n += len(list)
	}
	return n
}
