package server

import "sync"

// runningCounter counts running requests. sync.WaitGroup is unsuitable because its Add must
// not run concurrently with a Wait that starts at zero.
type runningCounter struct {
	mu   sync.Mutex
	cond *sync.Cond
	n    int
}

// newRunningCounter returns a counter at zero.
func newRunningCounter() *runningCounter {
	c := &runningCounter{}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// add adds 1 for a request that starts, or -1 for one that ends.
func (c *runningCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	if c.n == 0 {
		c.cond.Broadcast()
	}
}

// wait blocks until no request is running.
func (c *runningCounter) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.n > 0 {
		c.cond.Wait()
	}
}
