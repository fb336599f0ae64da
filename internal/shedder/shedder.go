// Package shedder decides whether a host accepts a new connection of a caller. A load balancer may
// hand most new connections to one host for some seconds. A connection that is closed before its
// request is read costs the caller a new one at another host, and no request.
//
// # Usage
//
//	s := shedder.New("palermo")
//	s.Update(active, peers)                        // several times a second
//	if !s.MayAccept(active) { conn.Close() }       // for each new connection
package shedder

import (
	"math"
	"sync/atomic"
)

const (
	// minLimit is the number of active requests up to which all connections are accepted.
	minLimit = 16
	// maxExcess is how many times the mean of all hosts a host may serve before it closes new
	// connections. Balancers that hash callers spread them unevenly.
	maxExcess = 2
	noLimit   = math.MaxInt64
)

// Peer is another host.
type Peer struct {
	Zone           string
	ActiveRequests int64 // that it serves
}

// Shedder is safe for concurrent use.
type Shedder struct {
	zone  string
	limit atomic.Int64
	count atomic.Int64 // connections closed since the last call of TakeCount
}

// New returns a Shedder for a host in a zone, which accepts all connections until Update.
func New(zone string) *Shedder {
	s := &Shedder{zone: zone}
	s.limit.Store(noLimit)
	return s
}

// Update sets the limit from the requests that this host serves, and the peers that callers can use
// instead: those that are reachable and not draining.
func (s *Shedder) Update(active int64, peers []Peer) { s.limit.Store(limitOf(active, s.zone, peers)) }

// limitOf returns from how many active requests on a host closes new connections. Callers whose
// connection is closed go to other hosts of their zone, so one of these must have room.
func limitOf(active int64, zone string, peers []Peer) int64 {
	total, hasRoom := active, false
	for _, p := range peers {
		total += p.ActiveRequests
	}
	mean := float64(total) / float64(1+len(peers))
	for _, p := range peers {
		hasRoom = hasRoom || p.Zone == zone && float64(p.ActiveRequests) <= mean
	}
	if !hasRoom {
		return noLimit
	}
	return max(minLimit, int64(maxExcess*mean))
}

// MayAccept reports whether a new connection is accepted while this host serves a number of
// requests.
func (s *Shedder) MayAccept(active int64) bool {
	if active < s.limit.Load() {
		return true
	}
	s.count.Add(1)
	return false
}

// Limit returns the limit; ok is false if there is none.
func (s *Shedder) Limit() (limit int64, ok bool) {
	limit = s.limit.Load()
	return limit, limit != noLimit
}

// TakeCount returns how many connections were not accepted since the last call.
func (s *Shedder) TakeCount() int64 { return s.count.Swap(0) }
