package kvserver

import (
	"slices"
	"time"
)

// firstLease is far above any revision, so that tests detect a lease id used as
// a revision.
const firstLease int64 = 7_587_000_000_000_000_001

// expiryInterval is the time between two checks for expired leases.
const expiryInterval = 20 * time.Millisecond

type lease struct {
	id       int64
	ttl      time.Duration
	deadline time.Time
	keys     map[string]struct{}
}

func (s *store) attach(version *keyVersion) {
	if lease := s.leases[version.lease]; lease != nil {
		lease.keys[version.key] = struct{}{}
	}
}

func (s *store) detach(version *keyVersion) {
	if lease := s.leases[version.lease]; lease != nil {
		delete(lease.keys, version.key)
	}
}

func (s *store) grant(request *leaseRequest, now time.Time) (*leaseResponse, *gatewayError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(request.ID)
	if id == 0 {
		id = s.nextLease
		s.nextLease++
	}
	if s.leases[id] != nil {
		return nil, errLeaseExists
	}
	ttl := time.Duration(max(request.TTL, 1)) * time.Second
	s.leases[id] = &lease{id: id, ttl: ttl, deadline: now.Add(ttl), keys: map[string]struct{}{}}
	return s.leaseResponse(id, ttl), nil
}

func (s *store) leaseResponse(id int64, ttl time.Duration) *leaseResponse {
	return &leaseResponse{Header: s.header(), ID: int64Text(id), TTL: int64Text(ttl / time.Second)}
}

// keepAlive renews a lease. The answer for a lease that does not exist has no
// TTL, as in etcd.
func (s *store) keepAlive(id int64, now time.Time) *leaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now) // an expired lease must not be renewed before the next check
	lease := s.leases[id]
	if lease == nil {
		return s.leaseResponse(id, 0)
	}
	lease.deadline = now.Add(lease.ttl)
	return s.leaseResponse(id, lease.ttl)
}

func (s *store) revoke(id int64) (*headerResponse, *gatewayError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return nil, errLeaseNotFound
	}
	s.endLease(lease)
	return &headerResponse{Header: s.header()}, nil
}

// endLease removes a lease and deletes all its keys at one revision.
func (s *store) endLease(lease *lease) {
	delete(s.leases, lease.id)
	keys := make([]string, 0, len(lease.keys))
	for key := range lease.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	next := s.revision + 1
	for _, key := range keys {
		if last := s.at(key, next); last != nil {
			s.remove(last, next)
		}
	}
	s.seal(next)
}

// expire ends the leases past their deadline, unless expiry is frozen.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now)
}

func (s *store) expireLocked(now time.Time) {
	if s.frozen {
		return
	}
	for _, lease := range s.leases {
		if now.After(lease.deadline) {
			s.endLease(lease)
		}
	}
}

func (s *store) setFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}
