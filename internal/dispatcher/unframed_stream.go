package dispatcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/endivemast/endivemast/internal/driver"
)

// This file decides whether a stream that ends with its connection is complete. See
// docs/design/unframed-streams.md.

var (
	errEndNotConfirmed = errors.New("stream ended with its connection, and its engine is not known to be running")
	errNoEvents        = errors.New("stream ended with its connection before its first event")
)

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
	if err := fr.forwarder.cfg.Driver.ConfirmRunning(ctx, fr.lastAttempt.target); err != nil {
		// The run state of the call that confirms must not count as that of the stream.
		return fmt.Errorf("%w: %s", errEndNotConfirmed, err.Error())
	}
	return nil
}
