package claimer

import (
	"container/list"
	"sync"
	"time"
	"unique"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// maxAnswerBytesHeld bounds the answers in a host's memory, in bytes.
const maxAnswerBytesHeld = 4 << 20

// witness is one host's memory of the tickets that name it. It lives as long
// as the process: a restarted host has another incarnation, and grants nothing
// for tickets that name the old one.
//
// All its times are seconds on its own clock since its start. A ticket carries
// this clock's reading from shortly before its issue, so no two clocks are
// ever compared: a grant is forgotten only after the moment from which the
// ticket is refused as too old.
type witness struct {
	hostID      string
	incarnation string
	retention   int64 // seconds
	limit       int   // entries

	mu      sync.Mutex
	latest  int64                  // the latest moment that any vote has seen
	entries map[hash]*list.Element // of witnessed
	byAge   *list.List             // about the order of expiry
	answers int                    // bytes held
}

type witnessed struct {
	key     hash
	expires int64
	entry   entry
}

func newWitness(hostID, incarnation string, retention time.Duration, limit int) *witness {
	return &witness{
		hostID: hostID, incarnation: incarnation,
		retention: int64(retention / time.Second), limit: limit,
		entries: make(map[hash]*list.Element), byAge: list.New(),
	}
}

// vote decides about an entry of a ticket at a moment of this host's clock.
func (w *witness) vote(now int64, ticket *claimerpb.Ticket, key hash, wanted entry) decision {
	named, found := findVoter(ticket, w.hostID)
	if !found || named.GetIncarnation() != w.incarnation {
		return decision{verdict: claimerpb.Verdict_VERDICT_GONE}
	}
	expires := named.GetTickSeconds() + w.retention
	w.mu.Lock()
	defer w.mu.Unlock()
	// A vote can read the clock before its ticket's expiry and be paused until
	// other votes, after it, have dropped the ticket's entry. Judged by its own
	// reading it would find the ticket valid and free, and grant it twice.
	w.latest = max(w.latest, now)
	if w.latest >= expires {
		return decision{verdict: claimerpb.Verdict_VERDICT_EXPIRED}
	}
	w.expire()
	return w.record(key, wanted, expires)
}

func (w *witness) record(key hash, wanted entry, expires int64) decision {
	var held *entry
	element, found := w.entries[key]
	if found {
		held = &element.Value.(*witnessed).entry
	}
	next, result := decide(held, wanted)
	if next != nil {
		w.makeCompact(next)
	}
	switch {
	case next == nil:
	case found:
		*held = *next
	case len(w.entries) >= w.limit:
		// Dropping the oldest grant to make room would free its ticket for a
		// second run, so the new one is refused instead.
		return decision{verdict: claimerpb.Verdict_VERDICT_UNAVAILABLE}
	default:
		w.entries[key] = w.byAge.PushBack(&witnessed{key: key, expires: expires, entry: *next})
	}
	return result
}

// makeCompact bounds what an entry takes. Without room for its answer, a repeat
// still hears that the call was answered.
func (w *witness) makeCompact(next *entry) {
	next.owner = unique.Make(next.owner).Value() // one copy of each, not one a ticket
	if w.answers+len(next.answer) > maxAnswerBytesHeld {
		next.answer = nil
	}
	w.answers += len(next.answer)
}

// expire forgets the entries of tickets that are refused from now on. An entry
// behind a younger one waits for it, which keeps it longer than needed and
// never shorter.
func (w *witness) expire() {
	for element := w.byAge.Front(); element != nil; element = w.byAge.Front() {
		oldest := element.Value.(*witnessed)
		if oldest.expires > w.latest {
			return
		}
		w.answers -= len(oldest.entry.answer)
		w.byAge.Remove(element)
		delete(w.entries, oldest.key)
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
