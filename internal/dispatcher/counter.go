package dispatcher

import "sync/atomic"

// counter is a counter that is reset when it is read.
type counter struct{ n atomic.Int64 }

func (c *counter) add() { c.n.Add(1) }

func (c *counter) takeAndReset() int64 { return c.n.Swap(0) }
