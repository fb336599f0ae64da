package claimer

import (
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

var errBadEntry = eris.New("entry of a claim is malformed")

var stateToWire = map[State]claimerpb.State{
	StateClaimed:  claimerpb.State_STATE_CLAIMED,
	StateAnswered: claimerpb.State_STATE_ANSWERED,
	StateFailed:   claimerpb.State_STATE_FAILED,
	StateNotRun:   claimerpb.State_STATE_NOT_RUN,
}

var stateFromWire = map[claimerpb.State]State{
	claimerpb.State_STATE_CLAIMED:  StateClaimed,
	claimerpb.State_STATE_ANSWERED: StateAnswered,
	claimerpb.State_STATE_FAILED:   StateFailed,
	claimerpb.State_STATE_NOT_RUN:  StateNotRun,
}

func encodeEntry(key hash, e entry) *claimerpb.Entry {
	return &claimerpb.Entry{
		KeyHash:  key[:],
		BodyHash: e.body[:],
		ClaimId:  e.claimID[:],
		Owner:    e.owner,
		State:    stateToWire[e.state],
		Answer:   e.answer,
	}
}

func decodeEntry(wire *claimerpb.Entry) (key hash, e entry, err error) {
	state, known := stateFromWire[wire.GetState()]
	if !known || len(wire.GetKeyHash()) != hashSize ||
		len(wire.GetBodyHash()) != hashSize || len(wire.GetClaimId()) != hashSize {
		return hash{}, entry{}, errBadEntry
	}
	return hash(wire.GetKeyHash()), entry{
		body:    hash(wire.GetBodyHash()),
		claimID: hash(wire.GetClaimId()),
		owner:   wire.GetOwner(),
		state:   state,
		answer:  wire.GetAnswer(),
	}, nil
}

func encodeDecision(d decision) *claimerpb.Decision {
	wire := &claimerpb.Decision{Verdict: d.verdict}
	if d.verdict == claimerpb.Verdict_VERDICT_RECORDED {
		wire.Entry = &claimerpb.Entry{State: stateToWire[d.record.State], Answer: d.record.Answer}
	}
	return wire
}

func decodeDecision(wire *claimerpb.Decision) decision {
	d := decision{verdict: wire.GetVerdict()}
	if d.verdict == claimerpb.Verdict_VERDICT_RECORDED {
		d.record = Record{State: stateFromWire[wire.GetEntry().GetState()], Answer: wire.GetEntry().GetAnswer()}
	}
	return d
}
