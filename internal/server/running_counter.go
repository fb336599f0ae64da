package server

import "sync"

// runningCounter counts running requests. A sync.WaitGroup would not do: its
// Add may not race with a Wait that starts from zero.
type runningCounter struct {
	mu   sync.Mutex
	cond *sync.Cond
	n    int
}

// newRunningCounter makes a counter at zero.
func newRunningCounter() *runningCounter {
	c := &runningCounter{}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// add counts a request on (1) or off (-1).
func (c *runningCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	if c.n == 0 {
		c.cond.Broadcast()
	}
}

// wait waits until no request runs.
func (c *runningCounter) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.n > 0 {
		c.cond.Wait()
	}
}
