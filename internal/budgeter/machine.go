package budgeter

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"
)

const mebibyte = 1 << 20

// Parts of a machine's memory.
const (
	// clientShare is the most that clients may hold. The collector lets the heap grow to twice of
	// what lives before it runs.
	clientShare = 0.2
	// minClientShare is left to clients however much the process needs for itself.
	minClientShare = 1.0 / 12
	// heapShare is what the Go runtime may use; the rest is the program itself, and bytes that the
	// kernel has received.
	heapShare = 0.75
	// defaultMemoryMB applies if the memory of the machine is not stated.
	defaultMemoryMB = 2048
)

// Parts of a machine's descriptors.
const (
	// fileDescriptors are left to files.
	fileDescriptors = 200
	// callerShare, peerShare and readinessShare are the parts of the sockets for connections from
	// callers and operators, from peers, and from readiness checks and readers of metrics. The
	// rest is for connections to endpoints, the store and peers.
	callerShare    = 1.0 / 2
	peerShare      = 1.0 / 8
	readinessShare = 1.0 / 32
	// defaultDescriptors applies if neither the settings nor the process have a limit.
	defaultDescriptors = 16 << 10
)

// Machine describes the machine of a process.
type Machine struct {
	MemoryMB    int // 0: not stated
	Descriptors int // of the process; 0: the process's own limit
}

// LimitsOf returns the limits of a Budget for the clients of a process on the machine.
func LimitsOf(m Machine) Limits {
	sockets := m.sockets()
	limits := Limits{Bytes: int64(float64(m.memory()) * clientShare)}
	limits.Connections[Callers] = share(sockets, callerShare)
	limits.Connections[Readiness] = share(sockets, readinessShare)
	limits.Connections[Peers] = share(sockets, peerShare)
	return limits
}

// memory returns the memory in bytes.
func (m Machine) memory() int64 {
	if m.MemoryMB == 0 {
		return defaultMemoryMB * mebibyte
	}
	return int64(m.MemoryMB) * mebibyte
}

// sockets returns how many descriptors are left for sockets.
func (m Machine) sockets() int {
	descriptors := m.Descriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if descriptors == 0 || int(limit.Cur) < descriptors {
			descriptors = int(limit.Cur)
		}
	}
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return max(descriptors-fileDescriptors, descriptors/2)
}

const (
	// pressureShare is the part of a Budget whose use counts as a shortage.
	pressureShare = 0.5
	// calmShare is the part of a Budget below which a shortage is over.
	calmShare = 1.0 / 8
	// maxPressure is the time after the last sign of a shortage in which it is over at the latest.
	maxPressure = 5 * time.Second
)

// Governor keeps the memory of a process within its machine: it limits the Go runtime, leaves to
// clients what the process does not need for itself, and returns memory after a shortage.
type Governor struct {
	machine   Machine
	budget    *Budget
	isPressed bool
	pressedAt time.Time // latest sign of a shortage
	losses    int64     // accounts evicted and refused until the last tick
}

// NewGovernor returns a Governor. It limits the heap of the process if the machine's memory is
// stated.
func NewGovernor(machine Machine, budget *Budget) *Governor {
	if machine.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(machine.memory()) * heapShare))
	}
	return &Governor{machine: machine, budget: budget}
}

// Tick adapts the budget to the present use of memory. Call it a few times a second.
func (g *Governor) Tick(now time.Time) {
	u := g.budget.Usage()
	if g.observe(float64(g.budget.takePeak()) >= float64(u.Bytes)*pressureShare, u, now) {
		debug.FreeOSMemory()
	}
	g.budget.SetBytes(clientBytes(g.machine, liveBytes()-u.UsedBytes))
}

// observe reports whether a shortage has just ended.
func (g *Governor) observe(isMuchUsed bool, u Usage, now time.Time) (hasEnded bool) {
	losses := u.Evicted + u.Refused
	if isMuchUsed || losses != g.losses {
		g.isPressed, g.pressedAt, g.losses = true, now, losses
		return false
	}
	hasEnded = g.isPressed && (float64(u.UsedBytes) < float64(u.Bytes)*calmShare || now.Sub(g.pressedAt) >= maxPressure)
	g.isPressed = g.isPressed && !hasEnded
	return hasEnded
}

// clientBytes returns what clients may hold if own bytes live for the process itself.
func clientBytes(m Machine, own int64) int64 {
	memory := float64(m.memory())
	rest := memory*heapShare/2 - float64(max(own, 0)) // the heap grows to twice of what lives
	return int64(min(max(rest, memory*minClientShare), memory*clientShare))
}

const liveMetric = "/gc/heap/live:bytes"

// liveBytes returns the bytes that were found alive by the last run of the collector.
func liveBytes() int64 {
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
