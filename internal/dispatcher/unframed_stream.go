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
	started := time.Now()
	confirmation, err := fr.forwarder.cfg.Driver.ConfirmRunning(ctx, fr.lastAttempt.target)
	outcome := endConfirmed
	if err != nil {
		outcome = endUnanswered
	}
	fr.forwarder.cfg.Meter.CountStreamEnd(string(outcome))
	fr.forwarder.requestLog.logStreamEnd(fr, streamEnd{outcome: outcome, confirmation: confirmation, took: time.Since(started), err: err})
	if err != nil {
		// The run state of the call that confirms must not count as that of the stream.
		return fmt.Errorf("%w: %s", errEndNotConfirmed, err.Error())
	}
	return nil
}
