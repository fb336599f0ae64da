package timekeeper

import (
	"sync"
	"time"
)

// readGracePeriod is how long a process that was stopped at a deadline runs before the
// deadline takes effect. It is long enough to read answers from the sockets, and short
// enough to cause little useless work at other processes.
const readGracePeriod = 100 * time.Millisecond

// Deadline is a point in time that applies whether this process runs or not, such as the
// time until which a caller waits. If the process is stopped at that time, it first reads
// answers that arrived meanwhile.
type Deadline struct {
	expired func()

	mu     sync.Mutex
	timer  *time.Timer
	isDone bool
}

// AtDeadline calls expired in its own goroutine after the deadline.
func AtDeadline(deadline time.Time, expired func()) *Deadline {
	d := &Deadline{expired: expired}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(time.Until(deadline), func() { d.reached(time.Since(deadline)) })
	return d
}

// reached handles the end of the timer, which is late by a duration. A late one means
// that the process was stopped at the deadline.
func (d *Deadline) reached(late time.Duration) {
	if late < lateThreshold {
		d.expire()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isDone {
		d.timer = time.AfterFunc(readGracePeriod, d.expire)
	}
}

func (d *Deadline) expire() {
	if d.Stop() {
		d.expired()
	}
}

// Stop cancels the deadline. It returns false if the deadline has already taken effect
// or was stopped before.
func (d *Deadline) Stop() (stopped bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stopped = !d.isDone
	d.isDone = true
	d.timer.Stop()
	return stopped
}
