package claimer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// hashSize is the size of a key hash, a body hash and a claim id in bytes.
const hashSize = 16

// hash is a truncated SHA-256, or a random id of the same size.
type hash [hashSize]byte

// entry is one claim as a register holds it, or as a host wants it held. With
// the state StateClaimed it asks for the claim; any other state says how the
// claim of that id ended.
type entry struct {
	body    hash
	claimID hash // one per request, never used for a second dispatch
	owner   string
	state   State
	answer  []byte
}

// verdict is a register's answer to a wanted entry.
type verdict = claimerpb.Verdict

// decision is a verdict and, when it is VERDICT_RECORDED, how the call ended.
type decision struct {
	verdict verdict
	record  Record
}

// decide is the one rule of every register, the shards of the key-value
// service and the witness tables alike: what happens when wanted meets the
// entry held for its key (nil when there is none). A non-nil next replaces
// the entry held.
//
// It is idempotent by claim id, so that a write whose answer was lost is
// resolved by asking again: whichever copy of the request lands first, the
// other one finds its own id.
func decide(held *entry, wanted entry) (next *entry, result decision) {
	if wanted.state == StateClaimed {
		return decideClaim(held, wanted)
	}
	return decideFinish(held, wanted)
}

func decideClaim(held *entry, wanted entry) (next *entry, result decision) {
	switch {
	case held == nil:
		return &wanted, decision{verdict: claimerpb.Verdict_VERDICT_GRANTED}
	case held.claimID == wanted.claimID && held.state == StateClaimed:
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_GRANTED}
	case held.claimID == wanted.claimID:
		// The owner gave up waiting and renounced, and its first request
		// arrives only now. Granting it would hold the key for nobody.
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_SPENT}
	case held.state == StateNotRun:
		// Only the owner of the old id records this state, after it has given
		// up that id for good; so the old id never dispatches again. The body
		// doesn't matter: a request with another body, refused by two voters
		// and renounced at the third, would otherwise shut out the right one.
		return &wanted, decision{verdict: claimerpb.Verdict_VERDICT_GRANTED}
	case held.body != wanted.body:
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_CONFLICT}
	case held.state == StateClaimed:
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_TAKEN}
	default:
		return nil, decision{
			verdict: claimerpb.Verdict_VERDICT_RECORDED,
			record:  Record{State: held.state, Answer: held.answer},
		}
	}
}

func decideFinish(held *entry, wanted entry) (next *entry, result decision) {
	switch {
	case held == nil && wanted.state == StateNotRun:
		// The claim may still be under way. Its renunciation is recorded
		// first, so that the claim is refused when it lands.
		return &wanted, decision{verdict: claimerpb.Verdict_VERDICT_GRANTED}
	case held == nil || held.claimID != wanted.claimID:
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_SPENT}
	case held.state == wanted.state:
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_GRANTED}
	case held.state != StateClaimed:
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_SPENT}
	default:
		return &wanted, decision{verdict: claimerpb.Verdict_VERDICT_GRANTED}
	}
}

// tally counts the decisions of a ticket's voters. Each voter grants an id
// once, and two majorities share a voter, so no two ids are granted. Settled
// says that further votes can't change the result.
func tally(voters int, votes []decision) (result decision, settled bool) {
	majority := voters/2 + 1
	var granted, taken, lost, spent int
	for _, vote := range votes {
		switch vote.verdict {
		case claimerpb.Verdict_VERDICT_CONFLICT, claimerpb.Verdict_VERDICT_RECORDED:
			return vote, true
		case claimerpb.Verdict_VERDICT_GRANTED:
			granted++
		case claimerpb.Verdict_VERDICT_TAKEN:
			taken++
		case claimerpb.Verdict_VERDICT_GONE, claimerpb.Verdict_VERDICT_EXPIRED:
			lost++
		case claimerpb.Verdict_VERDICT_SPENT:
			spent++
		default: // no decision from this voter
		}
	}
	switch {
	case granted >= majority:
		return decision{verdict: claimerpb.Verdict_VERDICT_GRANTED}, true
	case lost > voters-majority:
		// The voters left can't form a majority again, now or later. An
		// earlier claim may have had the lost ones: nobody can tell.
		return decision{verdict: claimerpb.Verdict_VERDICT_GONE}, true
	case taken > 0:
		return decision{verdict: claimerpb.Verdict_VERDICT_TAKEN}, taken >= majority || len(votes) == voters
	case spent > 0:
		return decision{verdict: claimerpb.Verdict_VERDICT_SPENT}, len(votes) == voters
	default:
		return decision{verdict: claimerpb.Verdict_VERDICT_UNAVAILABLE}, len(votes) == voters
	}
}

// hashKey names a call of a tenant. The length goes before the tenant, because
// without it tenant "a" with key "bc" and tenant "ab" with key "c" are one.
func hashKey(key Key) hash {
	var sum bytes.Buffer
	sum.Write(binary.BigEndian.AppendUint32(nil, uint32(len(key.Tenant))))
	sum.WriteString(key.Tenant)
	sum.WriteString(key.Key)
	return hashBytes(sum.Bytes())
}

func hashBytes(value []byte) hash {
	sum := sha256.Sum256(value)
	return hash(sum[:hashSize])
}
