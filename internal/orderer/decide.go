package orderer

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/leaser"
)

// TimedReport is an endpoint's report and the time at which it was requested.
type TimedReport struct {
	Report      driver.Report
	RequestedAt time.Time
}

// observedAt returns the earliest time whose state the report may describe. It
// subtracts the report's age because the order fields may lag as much as the load
// figures.
func (r TimedReport) observedAt() time.Time { return r.RequestedAt.Add(-r.Report.Age) }

// Attempt is the state of a send that this process made.
type Attempt struct {
	State   AttemptState
	EndedAt time.Time
}

// AttemptState is the progress or result of a send of this process.
type AttemptState int

// States of an Attempt. The zero value stands for a send that this process never
// made.
const (
	AttemptNone     AttemptState = iota
	AttemptRunning               // from before the intent is written until the send ends
	AttemptAccepted              // the endpoint accepted it
	AttemptNotRun                // it didn't reach the endpoint, or was refused
	AttemptUnknown               // no answer; it may have reached the endpoint
)

// View is the input to Decide: what the holder knows about an open order.
type View struct {
	Now             time.Time
	Self            string // incarnation of this process
	FirstSeenAt     time.Time
	ChecksFencing   bool         // the endpoint checks fencing numbers; false if unknown
	EndpointRemoved bool         // the host list no longer contains the order's endpoint incarnation
	LastReport      *TimedReport // nil if there is none
	Attempts        map[string]Attempt
	// Proofs holds, by incarnation of a former holder, when it was proved that it
	// makes no more sends.
	Proofs      map[string]time.Time
	UserTimeout time.Duration // for how long the kernel may still transmit what a process has written
}

// Decision is what to do about an open order: Wait, RequestProof, Reissue or
// Finish.
type Decision interface{ isDecision() }

// Wait leaves the order open.
type Wait struct{ Reason WaitReason }

// RequestProof requests proof that a former holder makes no more sends.
type RequestProof struct{ Sender leaser.Holder }

// Reissue sends the same order again with a higher fencing number, so that the
// endpoint rejects the earlier sends.
type Reissue struct{}

// Finish closes the order.
type Finish struct{ Outcome Outcome }

func (Wait) isDecision()         {}
func (RequestProof) isDecision() {}
func (Reissue) isDecision()      {}
func (Finish) isDecision()       {}

// WaitReason is what an open order waits for.
type WaitReason string

// Reasons to wait.
const (
	WaitSend   WaitReason = "send"   // a send of this process may still reach the endpoint
	WaitReport WaitReason = "report" // a sufficiently recent report of the endpoint
	WaitEngine WaitReason = "engine" // the engine is applying the order
)

// Outcome is the result of a closed order.
type Outcome string

// Outcomes of an order.
const (
	OutcomeApplied       Outcome = "applied"
	OutcomeFailed        Outcome = "failed"
	OutcomeNotRun        Outcome = "not_run" // the endpoint never accepted it
	OutcomeProcessExited Outcome = "lost"    // the endpoint's process exited; its next report shows its state
)

// Decide returns what the holder does about an open order.
//
// An order is closed only when its outcome is known and all of its sends are over.
// Checking only the outcome would fail as follows: holder A is frozen before its
// send; B gives the same order, sees it applied, closes it and gives another one; A
// resumes, and its send undoes B's second order on an endpoint that doesn't check
// fencing numbers.
func Decide(order OpenOrder, view View) Decision {
	summary, pending := summarizeSends(order, view)
	outcome, wait := outcomeOf(order, view, summary)
	if pending == nil {
		if outcome != "" {
			return Finish{Outcome: outcome}
		}
		return Wait{Reason: wait}
	}
	if pending.Sender.Incarnation == view.Self {
		return Wait{Reason: WaitSend}
	}
	if view.ChecksFencing && !view.EndpointRemoved && canReissue(order, view) {
		return Reissue{}
	}
	return RequestProof{Sender: pending.Sender}
}

// sendSummary describes the sends of an order that are over.
type sendSummary struct {
	lastOverAt time.Time // when the last of them ended
	noneRun    bool      // all sends of the order are known not to have run
}

// summarizeSends returns a summary of the sends that are over, and a send that
// isn't: one of another process if there is one, nil if all are over.
func summarizeSends(order OpenOrder, view View) (summary sendSummary, pending *Send) {
	summary = sendSummary{lastOverAt: view.FirstSeenAt, noneRun: true}
	for _, send := range order.Sends {
		at, notRun, ok := overSince(order, send, view)
		switch {
		case !ok && (pending == nil || send.Sender.Incarnation != view.Self):
			pending = &send
		case ok && at.After(summary.lastOverAt):
			summary.lastOverAt = at
		}
		summary.noneRun = summary.noneRun && ok && notRun
	}
	return summary, pending
}

// overSince reports whether a send is over, which means that it can't reach the
// endpoint any more, and since when.
func overSince(order OpenOrder, send Send, view View) (at time.Time, notRun, ok bool) {
	if send.Settled {
		return view.FirstSeenAt, false, true
	}
	if at, ok := reportedOverSince(order, send, view); ok {
		return at, false, true
	}
	if send.Sender.Incarnation == view.Self {
		return ownSendOverSince(view.Attempts[send.SendID], view)
	}
	proved, ok := view.Proofs[send.Sender.Incarnation]
	at = proved.Add(view.UserTimeout)
	return at, false, ok && !at.After(view.Now)
}

func ownSendOverSince(attempt Attempt, view View) (at time.Time, notRun, ok bool) {
	switch attempt.State {
	case AttemptNone:
		return view.FirstSeenAt, true, true
	case AttemptAccepted:
		return attempt.EndedAt, false, true
	case AttemptNotRun:
		return attempt.EndedAt, true, true
	case AttemptUnknown:
		at = attempt.EndedAt.Add(view.UserTimeout)
		return at, false, !at.After(view.Now)
	}
	return time.Time{}, false, false
}

// reportedOverSince reports whether the endpoint's report proves that a send is
// over.
func reportedOverSince(order OpenOrder, send Send, view View) (at time.Time, ok bool) {
	if view.LastReport == nil {
		return time.Time{}, false
	}
	report, at := view.LastReport.Report, view.LastReport.observedAt()
	switch {
	case report.Incarnation != order.EndpointIncarnation:
		// A send reaches only the process that it was addressed to.
		return at, at.After(view.FirstSeenAt)
	case view.ChecksFencing && report.Epoch > send.Epoch:
		return at, true
	case report.LastOrderID == order.OrderID && !order.Reissued:
		return at, true // the order's only send has arrived
	}
	return time.Time{}, false
}

// outcomeOf returns the order's outcome, or "" and what it waits for if the outcome
// isn't known yet.
func outcomeOf(order OpenOrder, view View, summary sendSummary) (Outcome, WaitReason) {
	// If the order was reissued, sends that have run may have been dropped from the
	// list, so only a report determines the outcome.
	if summary.noneRun && !order.Reissued {
		return OutcomeNotRun, ""
	}
	if view.EndpointRemoved {
		return OutcomeProcessExited, ""
	}
	if view.LastReport == nil {
		return "", WaitReport
	}
	report := view.LastReport.Report
	observed := view.LastReport.observedAt()
	switch {
	case report.Incarnation != order.EndpointIncarnation:
		if observed.After(view.FirstSeenAt) {
			return OutcomeProcessExited, ""
		}
	case report.LastOrderID == order.OrderID:
		return outcomeOfState(report.LastOrderState)
	case observed.After(summary.lastOverAt):
		return OutcomeNotRun, ""
	}
	return "", WaitReport
}

func outcomeOfState(state driver.OrderState) (Outcome, WaitReason) {
	switch state {
	case driver.OrderApplied:
		return OutcomeApplied, ""
	case driver.OrderFailed:
		return OutcomeFailed, ""
	}
	return "", WaitEngine
}

// canReissue reports whether the order may be sent again: a report received since
// this holder took over doesn't contain the order, and no send of this process is
// running or was accepted. Without such a report, an order that the endpoint has
// already accepted would be sent again. An endpoint that treats the second send as
// a repeat may keep its fencing number, and then the first send can't be
// distinguished from it.
func canReissue(order OpenOrder, view View) bool {
	if view.LastReport == nil || !view.LastReport.observedAt().After(view.FirstSeenAt) {
		return false
	}
	for _, send := range order.Sends {
		if send.Sender.Incarnation != view.Self {
			continue
		}
		_, _, over := ownSendOverSince(view.Attempts[send.SendID], view)
		if !over || view.Attempts[send.SendID].State == AttemptAccepted {
			return false
		}
	}
	return true
}

// isRemoved reports whether a host list proves that a process has ended. A list
// that is not newer than the one that contained the process proves nothing.
func isRemoved(list hostList, hostID, incarnation string, listedAt int64) bool {
	if listedAt == 0 || list.revision <= listedAt {
		return false
	}
	for _, host := range list.hosts {
		if host.ID == hostID && host.Incarnation == incarnation {
			return false
		}
	}
	return true
}
