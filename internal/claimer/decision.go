package claimer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// hashSize is the size in bytes of a key hash, a body hash and a claim id.
const hashSize = 16

// hash is a truncated SHA-256 hash, or a random id of the same size.
type hash [hashSize]byte

// entry is a claim that a register holds, or that a request wants it to hold. A wanted
// entry with StateClaimed requests the claim; any other state reports the outcome of the
// claim with that id.
type entry struct {
	body    hash
	claimID hash // unique per request; dispatched at most once
	owner   string
	state   State
	answer  []byte
}

// verdict is a register's answer to a wanted entry.
type verdict = claimerpb.Verdict

// decision is a verdict, with the outcome of the call if it is VERDICT_RECORDED.
type decision struct {
	verdict verdict
	record  Record
}

// decide implements the rule that all registers follow, the shards of the key-value
// service and the ticket tables. It decides on a wanted entry given the entry held for its
// key, or nil if there is none. If next is not nil, it replaces the entry held.
//
// It is idempotent by claim id, so a write whose answer was lost can be repeated:
// whichever copy is recorded first, the other copy finds its own id.
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
		// The owner stopped waiting and released the id before its first request arrived
		// here. A grant would hold the key without a user.
		return nil, decision{verdict: claimerpb.Verdict_VERDICT_SPENT}
	case held.state == StateNotRun:
		// Only the owner of the old id records this state, and only after it has given up
		// that id, so the old id never dispatches again. The body isn't compared: a
		// request with a wrong body that two voters refused and the third released would
		// otherwise block the request with the right body.
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
		// The claim may still be in transit. Recording its release first makes sure that
		// the claim is refused when it arrives.
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

// countVotes combines the decisions of a ticket's voters. Each voter grants a ticket to
// one id, and two majorities share a voter, so at most one id is granted. isFinal reports
// that further votes can't change the result.
func countVotes(voters int, votes []decision) (result decision, isFinal bool) {
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
		// The remaining voters can't form a majority, now or later. An earlier claim may
		// have had the votes that were lost, which can't be determined any more.
		return decision{verdict: claimerpb.Verdict_VERDICT_GONE}, true
	case taken > 0:
		return decision{verdict: claimerpb.Verdict_VERDICT_TAKEN}, taken >= majority || len(votes) == voters
	case spent > 0:
		return decision{verdict: claimerpb.Verdict_VERDICT_SPENT}, len(votes) == voters
	default:
		return decision{verdict: claimerpb.Verdict_VERDICT_UNAVAILABLE}, len(votes) == voters
	}
}

// hashKey identifies a call of a tenant. The hash includes the length of the tenant,
// because otherwise tenant "a" with key "bc" and tenant "ab" with key "c" would be the
// same.
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
