package admitter

import (
	"container/list"
	"math"
	"time"
)

const (
	// MaxCreditAccounts bounds the accounts of one application. Tenants come and go, and
	// there may be tens of thousands.
	MaxCreditAccounts = 1024
	// worthHalfLife is the half-life of the credit earned, from which one second's worth
	// is computed.
	worthHalfLife = time.Second
	// largestCostHalfLife is how fast the cost of the most expensive request is forgotten.
	// If the cap followed each cheap request, no balance would ever suffice for an
	// expensive one after it.
	largestCostHalfLife = 10 * time.Second
)

// CreditKey identifies the account of one tenant's work of one rank.
type CreditKey struct {
	Rank     int
	Tenant   string
	IsReturn bool // the callers return after a refusal
}

// Credits admits a share of the work of each account. Each request earns its share of its
// cost and is admitted if the balance covers the cost, so that cheap work is admitted more
// often than expensive work. It is not safe for concurrent use.
type Credits struct {
	accounts map[CreditKey]*list.Element // of *creditAccount
	recent   list.List                   // the most recently used first
}

type creditAccount struct {
	key         CreditKey
	balance     float64 // engine seconds
	earned      float64 // decaying
	largestCost float64 // decaying
	updatedAt   time.Time
}

// Len returns the number of accounts.
func (c *Credits) Len() int { return len(c.accounts) }

// Admit reports whether a request with a cost in engine seconds is admitted, and deducts it
// then. phase is a random number in [0, 1): a new account starts with this part of the cost.
// If new accounts started empty, hundreds of hosts with a request each would together admit
// nothing.
func (c *Credits) Admit(key CreditKey, share, cost, phase float64, now time.Time) bool {
	a := c.account(key, cost*phase, now)
	elapsed := max(now.Sub(a.updatedAt), 0)
	a.updatedAt = now
	a.earned = a.earned*decayOver(elapsed, worthHalfLife) + share*cost
	a.largestCost = max(a.largestCost*decayOver(elapsed, largestCostHalfLife), cost)
	worth := a.earned * math.Ln2 / worthHalfLife.Seconds()
	a.balance = min(a.balance+share*cost, max(a.largestCost, worth))
	// The tolerance covers the rounding of sums of shares.
	if a.balance < cost*(1-1e-9) {
		return false
	}
	a.balance -= cost
	return true
}

func decayOver(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// account returns the account of a key. A new one may evict the least recently used one.
func (c *Credits) account(key CreditKey, balance float64, now time.Time) *creditAccount {
	if element := c.accounts[key]; element != nil {
		c.recent.MoveToFront(element)
		return element.Value.(*creditAccount)
	}
	if c.accounts == nil {
		c.accounts = make(map[CreditKey]*list.Element)
	}
	if len(c.accounts) >= MaxCreditAccounts {
		last := c.recent.Back()
		delete(c.accounts, last.Value.(*creditAccount).key)
		c.recent.Remove(last)
	}
	a := &creditAccount{key: key, balance: balance, updatedAt: now}
	c.accounts[key] = c.recent.PushFront(a)
	return a
}
