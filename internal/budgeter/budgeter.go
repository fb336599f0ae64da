// Package budgeter decides how much memory and how many connections a process spends on its
// clients, so that no client can use up the machine.
//
// A Budget belongs to the process, whatever the listener. Each connection has an Account, on
// which its buffers, the heads and the bodies of its requests are reserved before they are read.
// A part of the memory is left to accounts that hold little, so that ordinary requests are served
// beside large ones.
//
// When the budget runs short, the connections that hold the most bytes for the longest time
// without progress are evicted. Only those without a request that was passed on can be: a refusal
// still promises that the request has not run.
//
// # Usage
//
//	budget := budgeter.New(budgeter.Config{Limits: budgeter.LimitsOf(budgeter.Machine{MemoryMB: 284, Descriptors: 4100})})
//	account, err := budget.Open(budgeter.Callers, func() { conn.SetReadDeadline(past) })
//	defer account.Close()
//	err = account.Reserve(ctx, int64(len(body)))
package budgeter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

var (
	// ErrExhausted means that the memory for clients is used up.
	ErrExhausted = errors.New("memory for clients is exhausted")
	// ErrTooManyConnections means that the connections for clients are used up.
	ErrTooManyConnections = errors.New("too many connections")
	// ErrEvicted means that the account was evicted to make room for others.
	ErrEvicted = errors.New("evicted for lack of memory or connections")
)

const (
	// ConnectionBytes is reserved for a connection: its stack, its buffers, and what the kernel
	// has received for it.
	ConnectionBytes = 16 << 10
	// smallAccountBytes is up to where an account may use the memory that large ones leave.
	smallAccountBytes = 32 << 10
	// smallShare is the part of the memory that is left to small accounts.
	smallShare = 0.25
	// highShare is the part of a limit from where stalled connections are evicted, before
	// reservations fail.
	highShare = 0.875
	// evictedShare is the part of a limit that one eviction frees, so that the accounts are not
	// searched for each reservation.
	evictedShare = 1.0 / 32
	// closingShare is the most, as a part of a limit, that connections being closed may exceed it.
	closingShare = 1.0 / 8
	// minStall is how long a connection may make no progress before it can be evicted.
	minStall = 250 * time.Millisecond
	// searchInterval is the time between two searches while nothing can be evicted.
	searchInterval = 20 * time.Millisecond
	// reserveTimeout bounds the wait for memory that others are about to release.
	reserveTimeout = 500 * time.Millisecond
	// openTimeout bounds the wait for the place of a connection that can be evicted.
	openTimeout = minStall + 50*time.Millisecond
	// progressBytes is what a client sends between two marks of progress. Single bytes are none.
	progressBytes = 16 << 10
)

// Pool is a set of connections with a limit of their own.
type Pool int

// Pools of connections.
const (
	Callers      Pool = iota // callers and operators
	Readiness                // readiness checks and readers of metrics
	Peers                    // other hosts
	NoConnection             // requests that share a connection with others
	poolCount
)

// Phase is what an Account's client does.
type Phase int

// Phases of an account.
const (
	Waiting Phase = iota // between requests, or sending a head
	Sending              // sending a body
	Running              // its request may have been passed on: it is not evicted
)

// Limits are the limits of a Budget.
type Limits struct {
	Bytes       int64
	Connections [poolCount]int // by Pool; that of NoConnection is not used
}

// Usage is what is used of a Budget.
type Usage struct {
	Limits

	UsedBytes       int64
	UsedConnections [poolCount]int
	Evicted         int64 // accounts evicted so far
	Refused         int64 // reservations and connections refused so far
}

// Config configures a Budget.
type Config struct {
	Limits Limits
	Now    func() time.Time // nil: time.Now
}

// Budget is the memory and the connections for the clients of a process. All methods are safe for
// concurrent use.
type Budget struct {
	now func() time.Time

	mu          sync.Mutex
	limits      Limits
	accounts    map[*Account]struct{}
	used        int64 // bytes
	large       int64 // bytes of accounts that are not small
	connections [poolCount]int
	closing     [poolCount]int // connections that were evicted and are not closed yet
	peak        int64          // largest use since the last tick of a Governor
	evicted     int64
	refused     int64
	// searchAfter is the time of the next search for stalled accounts, to relieve the connections of
	// a pool, or the bytes in place of NoConnection.
	searchAfter [poolCount]time.Time
	released    chan struct{} // closed at the next release; nil: nobody waits
}

// New returns a Budget of which nothing is used.
func New(cfg Config) *Budget {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Budget{now: cfg.Now, limits: cfg.Limits, accounts: map[*Account]struct{}{}}
}

// Account is what one client holds of a Budget.
type Account struct {
	budget *Budget
	pool   Pool
	evict  func() // ends the client's reads; must not block

	// Guarded by the budget's mu.
	phase     Phase
	held      int64
	since     time.Time // latest progress
	moved     int       // bytes since then
	isEvicted bool
	isClosed  bool
}

// Open opens an account. evict is called at most once, if the account is to release what it holds.
// If another connection of the pool can be evicted soon, Open waits shortly for its place: clients
// that connect again at once would otherwise take the places before others try again. The error is
// ErrTooManyConnections or ErrExhausted.
func (b *Budget) Open(pool Pool, evict func()) (a *Account, err error) {
	deadline := time.Now().Add(openTimeout)
	for {
		released := b.awaitRelease()
		a, mayWait, err := b.tryOpen(pool, evict)
		if err == nil {
			return a, nil
		}
		if !mayWait || time.Now().After(deadline) {
			b.countRefusal()
			return nil, err
		}
		retry := time.NewTimer(searchInterval)
		select {
		case <-released:
		case <-retry.C:
		}
		retry.Stop()
	}
}

// tryOpen is Open without a wait. mayWait reports whether a place may become free soon.
func (b *Budget) tryOpen(pool Pool, evict func()) (a *Account, mayWait bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a = &Account{budget: b, pool: pool, evict: evict, since: b.now()}
	if pool != NoConnection {
		if b.connections[pool] >= share(b.limits.Connections[pool], highShare) {
			b.relieveConnectionsLocked(pool)
		}
		if !b.hasRoomLocked(pool) {
			return nil, b.hasEvictableLocked(pool), ErrTooManyConnections
		}
	}
	if !b.takeLocked(a, ConnectionBytes) {
		b.relieveBytesLocked()
		return nil, pool != NoConnection, ErrExhausted
	}
	b.connections[pool]++
	b.accounts[a] = struct{}{}
	return a, false, nil
}

// hasEvictableLocked reports whether a connection of a pool can be evicted, now or if it makes no
// progress.
func (b *Budget) hasEvictableLocked(pool Pool) bool {
	for a := range b.accounts {
		if a.pool == pool && a.phase != Running {
			return true
		}
	}
	return false
}

// hasRoomLocked reports whether a pool has room for a connection. Connections that were evicted are
// about to close, so that their places go to those for whom they were evicted.
func (b *Budget) hasRoomLocked(pool Pool) bool {
	limit := b.limits.Connections[pool]
	closing := min(b.closing[pool], share(limit, closingShare))
	return b.connections[pool]-closing < limit
}

func share(limit int, part float64) int { return int(float64(limit) * part) }

// takeLocked adds bytes to an account if the limits allow it.
func (b *Budget) takeLocked(a *Account, n int64) bool {
	held := a.held + n
	large := b.large + largePart(held) - largePart(a.held)
	if b.used+n > b.limits.Bytes || largePart(held) > 0 && large > int64(float64(b.limits.Bytes)*(1-smallShare)) {
		return false
	}
	a.held, b.large = held, large
	b.used += n
	b.peak = max(b.peak, b.used)
	return true
}

// largePart returns what an account that holds n bytes counts towards the bytes of large accounts.
func largePart(n int64) int64 {
	if n <= smallAccountBytes {
		return 0
	}
	return n
}

// Reserve adds bytes to the account. It waits shortly for memory that others release. The error is
// ErrExhausted, ErrEvicted, or that of ctx.
func (a *Account) Reserve(ctx context.Context, n int64) (err error) {
	if taken, err := a.tryReserve(n); taken || err != nil {
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, reserveTimeout, ErrExhausted)
	defer cancel()
	for {
		released := a.budget.awaitRelease()
		if taken, err := a.tryReserve(n); taken || err != nil {
			return err
		}
		retry := time.NewTimer(searchInterval)
		select {
		case <-released:
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			a.budget.countRefusal()
			return context.Cause(ctx)
		}
		retry.Stop()
	}
}

// tryReserve is Reserve without a wait. It evicts others if the memory runs short.
func (a *Account) tryReserve(n int64) (taken bool, err error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.isEvicted {
		return false, ErrEvicted
	}
	taken = b.takeLocked(a, n)
	if !taken || b.used >= int64(float64(b.limits.Bytes)*highShare) {
		b.relieveBytesLocked()
	}
	if a.isEvicted {
		return false, ErrEvicted
	}
	return taken, nil
}

func (b *Budget) countRefusal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

// awaitRelease returns a channel that is closed at the next release.
func (b *Budget) awaitRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// Release returns bytes of the account.
func (a *Account) Release(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.releaseLocked(min(n, a.held))
}

func (a *Account) releaseLocked(n int64) {
	b := a.budget
	b.large += largePart(a.held-n) - largePart(a.held)
	a.held -= n
	b.used -= n
	if b.released != nil && n > 0 {
		close(b.released)
		b.released = nil
	}
}

// Begin records the start of a phase, which counts as progress. It fails with ErrEvicted if the
// account was evicted meanwhile: its request must not be passed on.
func (a *Account) Begin(phase Phase) (err error) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isEvicted {
		return ErrEvicted
	}
	a.phase, a.since, a.moved = phase, a.budget.now(), 0
	return nil
}

// Finish records the end of a request: the account keeps what its connection needs.
func (a *Account) Finish() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.releaseLocked(max(a.held-ConnectionBytes, 0))
	a.phase, a.since, a.moved = Waiting, a.budget.now(), 0
}

// Share records that requests with accounts of their own run over the account's connection, which
// keeps what a connection needs. It fails with ErrEvicted if the account was evicted meanwhile.
func (a *Account) Share() (err error) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isEvicted {
		return ErrEvicted
	}
	a.releaseLocked(max(a.held-ConnectionBytes, 0))
	a.phase = Running
	return nil
}

// Moved records bytes of a body that have arrived.
func (a *Account) Moved(n int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.moved += n; a.moved >= progressBytes {
		a.since, a.moved = a.budget.now(), 0
	}
}

// IsEvicted reports whether the account was evicted.
func (a *Account) IsEvicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.isEvicted
}

// Close returns everything that the account holds. Later calls do nothing.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.isClosed {
		return
	}
	a.isClosed = true
	a.releaseLocked(a.held)
	delete(b.accounts, a)
	b.connections[a.pool]--
	if a.isEvicted {
		b.closing[a.pool]--
	}
}

// relieveBytesLocked evicts those of the accounts that hold most and move least.
func (b *Budget) relieveBytesLocked() {
	bytes := int64(float64(b.limits.Bytes) * evictedShare)
	for _, a := range b.stalledLocked(NoConnection) {
		if bytes <= 0 {
			return
		}
		bytes -= a.held
		b.evictLocked(a)
	}
}

// relieveConnectionsLocked evicts those connections of a pool that hold most and move least.
func (b *Budget) relieveConnectionsLocked(pool Pool) {
	connections := share(b.limits.Connections[pool], evictedShare) + 1
	for _, a := range b.stalledLocked(pool) {
		if a.pool != pool {
			continue
		}
		if connections <= 0 {
			return
		}
		connections--
		b.evictLocked(a)
	}
}

func (b *Budget) evictLocked(a *Account) {
	a.isEvicted = true
	b.closing[a.pool]++
	b.evicted++
	a.evict()
}

// stalledLocked returns the accounts that can be evicted, the one to evict first at the start. It
// returns none if the last search for the same was just now.
func (b *Budget) stalledLocked(search Pool) (stalled []*Account) {
	now := b.now()
	if now.Before(b.searchAfter[search]) {
		return nil
	}
	b.searchAfter[search] = now.Add(searchInterval)
	for a := range b.accounts {
		if a.phase != Running && !a.isEvicted && now.Sub(a.since) >= minStall {
			stalled = append(stalled, a)
		}
	}
	weight := func(a *Account) float64 { return float64(a.held) * now.Sub(a.since).Seconds() }
	slices.SortFunc(stalled, func(a, c *Account) int {
		switch wa, wc := weight(a), weight(c); {
		case wa > wc:
			return -1
		case wa < wc:
			return 1
		}
		return 0
	})
	return stalled
}

// SetBytes changes the limit of the memory. What is reserved stays reserved.
func (b *Budget) SetBytes(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Bytes = n
}

// Usage returns what is used.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limits: b.limits, UsedBytes: b.used, UsedConnections: b.connections, Evicted: b.evicted, Refused: b.refused}
}

// takePeak returns the largest number of bytes in use since the last call.
func (b *Budget) takePeak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	peak := b.peak
	b.peak = b.used
	return peak
}
