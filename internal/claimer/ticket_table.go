package claimer

import (
	"container/list"
	"sync"
	"time"
	"unique"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// maxHeldAnswerBytes bounds the total size of the answers in a host's memory.
const maxHeldAnswerBytes = 4 << 20

// ticketTable holds the claims of the tickets that name this host, in memory. It exists as
// long as the process: a restarted host has another incarnation and grants nothing for
// tickets that name the old one.
//
// All its times are in seconds of the host's own clock since its start. A ticket carries a
// reading of this clock from shortly before it was issued, so clocks of different hosts
// are never compared. A grant is dropped only when its ticket is already refused as
// expired.
type ticketTable struct {
	hostID      string
	incarnation string
	retention   int64 // in seconds
	limit       int   // number of entries

	mu          sync.Mutex
	latest      int64                  // latest clock reading of any vote
	entries     map[hash]*list.Element // of *ticketEntry
	byExpiry    *list.List             // approximately in order of expiry
	answerBytes int                    // total size of the answers held
}

type ticketEntry struct {
	key     hash
	expires int64
	entry   entry
}

func newTicketTable(hostID, incarnation string, retention time.Duration, limit int) *ticketTable {
	return &ticketTable{
		hostID: hostID, incarnation: incarnation,
		retention: int64(retention / time.Second), limit: limit,
		entries: make(map[hash]*list.Element), byExpiry: list.New(),
	}
}

// vote decides about a ticket's entry. Now is a reading of this host's clock.
func (t *ticketTable) vote(now int64, ticket *claimerpb.Ticket, key hash, wanted entry) decision {
	named, found := findVoter(ticket, t.hostID)
	if !found || named.GetIncarnation() != t.incarnation {
		return decision{verdict: claimerpb.Verdict_VERDICT_GONE}
	}
	expires := named.GetTickSeconds() + t.retention
	t.mu.Lock()
	defer t.mu.Unlock()
	// A vote may read the clock before its ticket expires, and then be paused until later
	// votes have dropped the ticket's entry. By its own reading it would find the ticket
	// valid and unused, and grant it a second time.
	t.latest = max(t.latest, now)
	if t.latest >= expires {
		return decision{verdict: claimerpb.Verdict_VERDICT_EXPIRED}
	}
	t.expire()
	return t.record(key, wanted, expires)
}

func (t *ticketTable) record(key hash, wanted entry, expires int64) decision {
	var held *entry
	element, found := t.entries[key]
	if found {
		held = &element.Value.(*ticketEntry).entry
	}
	next, result := decide(held, wanted)
	if next != nil {
		t.compact(next)
	}
	switch {
	case next == nil:
	case found:
		*held = *next
	case len(t.entries) >= t.limit:
		// Dropping the oldest grant to make room would allow a second run with its ticket,
		// so the new one is refused.
		return decision{verdict: claimerpb.Verdict_VERDICT_UNAVAILABLE}
	default:
		t.entries[key] = t.byExpiry.PushBack(&ticketEntry{key: key, expires: expires, entry: *next})
	}
	return result
}

// compact bounds the memory of an entry. If there is no room for its answer, a repeat only
// learns that the call was answered.
func (t *ticketTable) compact(next *entry) {
	next.owner = unique.Make(next.owner).Value() // one copy per owner, not per ticket
	if t.answerBytes+len(next.answer) > maxHeldAnswerBytes {
		next.answer = nil
	}
	t.answerBytes += len(next.answer)
}

// expire drops the entries of tickets that are now expired. An entry behind one that
// expires later is kept until then, so an entry may be kept too long but never dropped too
// early.
func (t *ticketTable) expire() {
	for element := t.byExpiry.Front(); element != nil; element = t.byExpiry.Front() {
		oldest := element.Value.(*ticketEntry)
		if oldest.expires > t.latest {
			return
		}
		t.answerBytes -= len(oldest.entry.answer)
		t.byExpiry.Remove(element)
		delete(t.entries, oldest.key)
	}
}

func findVoter(ticket *claimerpb.Ticket, hostID string) (voter *claimerpb.Voter, found bool) {
	for _, voter := range ticket.GetVoters() {
		if voter.GetHostId() == hostID {
			return voter, true
		}
	}
	return nil, false
}
