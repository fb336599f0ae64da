package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// This file decides whether a stream that ends with its connection is complete. See
// docs/design/unframed-streams.md.

var (
	errEndNotConfirmed = errors.New("stream ended with its connection, and its engine is not known to be running")
	errNoEvents        = errors.New("stream ended with its connection before its first event")
)

// endOutcome is what is known of the end of a stream that ends with its connection.
type endOutcome string

const (
	endConfirmed  endOutcome = "confirmed"  // its engine runs on
	endUnanswered endOutcome = "unanswered" // no process has answered under the engine's id
	endReplaced   endOutcome = "replaced"   // another process has
)

// streamEnd describes how the end of a stream was checked.
type streamEnd struct {
	outcome      endOutcome
	confirmation driver.Confirmation
	took         time.Duration
	err          error
}

// confirmEnd returns an error unless a stream that has ended is complete. A stream that ends with its
// connection is complete only if its engine still runs: the kernel closes the connections of a killed
// process in the same way.
func (fr *forwardedRequest) confirmEnd(ctx context.Context, answer *driver.ForwardAnswer) error {
	switch {
	case !answer.EndsWithConnection:
		return nil
	case !fr.isHeaderSent && fr.ids.last == "":
		return errNoEvents // one that goes on may have nothing to add
	}
	end := fr.checkEnd(ctx, fr.lastAttempt.target)
	fr.forwarder.cfg.Meter.CountStreamEnd(string(end.outcome))
	fr.forwarder.requestLog.logStreamEnd(fr, end)
	if end.err != nil {
		// The run state of the call that confirms must not count as that of the stream.
		return fmt.Errorf("%w: %s", errEndNotConfirmed, end.err.Error())
	}
	return nil
}

// checkEnd asks the engine of a stream that has ended whether it still runs.
func (fr *forwardedRequest) checkEnd(ctx context.Context, target driver.Target) (end streamEnd) {
	started := time.Now()
	end.outcome = endConfirmed
	end.confirmation, end.err = fr.forwarder.cfg.Driver.ConfirmRunning(ctx, target)
	switch {
	case end.err != nil:
		end.outcome = endUnanswered
	case !isSameProcess(target, end.confirmation):
		end.outcome, end.err = endReplaced, fmt.Errorf("sent to %s, and %s has answered", target.Incarnation, end.confirmation.Incarnation)
	}
	end.took = time.Since(started)
	return end
}

// isSameProcess reports whether nothing in an answer contradicts that it is from the process that a
// request was sent to, as this host knew it at the send: the endpoint's entry may be that of another one
// by now. Start times distinguish processes and do not order them, since clocks may be set back.
func isSameProcess(target driver.Target, confirmation driver.Confirmation) bool {
	return confirmation.Incarnation == "" || confirmation.Incarnation == target.Incarnation
}
