package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/streamkeeper"
)

// This file keeps each stream at the application and the software version that began it, within an
// answer and over the attempts of its caller.

// Reasons of a FailureError of a request that takes up a stream.
const (
	ReasonStreamUnknown = "stream_unknown" // at which software version it began is not known
	ReasonStreamMoved   = "stream_moved"   // the configuration does not allow its application any more
)

const (
	// unknownStreamRetryAfter is short: another host may know the stream.
	unknownStreamRetryAfter = 200 * time.Millisecond
	movedStreamRetryAfter   = time.Second
	// takeUpMargin is added to the time for which a caller may take up a stream.
	takeUpMargin = time.Second
)

var (
	errStreamUnknown = errors.New("software version of the stream is not known")
	errStreamMoved   = errors.New("application of the stream is not allowed any more")
)

// Streams keeps where streams began. Package streamkeeper implements it.
type Streams interface {
	// Begin records the origin of a stream that its caller may take up within lifetime; 0:
	// not known.
	Begin(stream *streamkeeper.Stream, origin streamkeeper.Origin, lifetime time.Duration)
	// Find returns the origin of a stream. A zero Origin means that any endpoint may go on.
	Find(ctx context.Context, stream *streamkeeper.Stream) (streamkeeper.Origin, error)
}

// noStreams implements Streams for endpoints whose streams fit together.
type noStreams struct{}

func (noStreams) Begin(*streamkeeper.Stream, streamkeeper.Origin, time.Duration) {}

func (noStreams) Find(context.Context, *streamkeeper.Stream) (origin streamkeeper.Origin, err error) {
	return origin, nil
}

func (fr *forwardedRequest) isTakenUp() bool {
	return fr.request.ResumeAfter != "" && fr.request.Class.Kind == configurer.KindGenerate
}

// findOrigin binds a request that takes up a stream to the stream's origin.
func (fr *forwardedRequest) findOrigin(ctx context.Context) error {
	if fr.request.Origin != nil || !fr.isTakenUp() {
		return nil
	}
	origin, err := fr.forwarder.cfg.Streams.Find(ctx, fr.stream(fr.request.Resumes))
	if err != nil {
		return errors.Join(errStreamUnknown, err)
	}
	if origin == (streamkeeper.Origin{}) {
		return nil
	}
	if !slices.ContainsFunc(fr.request.Class.Shares, func(s classifier.Share) bool { return s.Application == origin.Application }) {
		return errStreamMoved
	}
	fr.softwareVersion = origin.SoftwareVersion
	fr.setApplication(origin.Application)
	return nil
}

func (fr *forwardedRequest) stream(requestID string) *streamkeeper.Stream {
	return &streamkeeper.Stream{Class: fr.request.Class.Name, Tenant: fr.request.Tenant, RequestID: requestID}
}

// recordOrigin binds a stream whose first event has arrived to the software version of the endpoint
// that has written it, and records it for attempts at other hosts.
func (fr *forwardedRequest) recordOrigin() {
	if fr.softwareVersion == "" {
		fr.softwareVersion = fr.lastAttempt.softwareVersion
		fr.isVersionUnknown = fr.isAtPeer && fr.softwareVersion == ""
	}
	if fr.request.Origin != nil || !fr.request.Class.IsResumable || fr.softwareVersion == "" {
		return
	}
	id := fr.request.ID
	if fr.isTakenUp() {
		id = fr.request.Resumes // further attempts name the same one
	}
	lifetime := fr.request.CallerTimeout
	if lifetime > 0 {
		lifetime += takeUpMargin
	}
	origin := streamkeeper.Origin{Application: fr.application, SoftwareVersion: fr.softwareVersion}
	fr.forwarder.cfg.Streams.Begin(fr.stream(id), origin, lifetime)
}
