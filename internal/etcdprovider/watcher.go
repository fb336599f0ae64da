package etcdprovider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

var (
	errNotCreated        = errors.New("watch was not created")
	errCanceled          = errors.New("watch was canceled by the service")
	errIdleTimeout       = errors.New("nothing received within the idle timeout")
	errRevisionDecreased = errors.New("watch delivered a revision older than one before")
	errOpenTimeout       = errors.New("watch was not opened within the call timeout")
)

// watcher is an open watch.
type watcher struct {
	changes chan []provider.Change
	cancel  context.CancelCauseFunc
	group   errgroup.Group
	err     error // written before changes is closed
}

// Watch delivers the changes of all keys with a prefix, starting with store revision
// fromRevision; 0 starts with the next change. It returns once the service has confirmed
// the watch. ErrCompacted is returned by Watch or by Err, depending on when the service
// detects it. A lost connection ends the watch with ErrUnavailable.
func (p *Provider) Watch(
	ctx context.Context, prefix string, fromRevision int64,
) (opened provider.Watcher, err error) {
	defer wrapError(&err, "watch keys")
	request := watchRequest{Create: watchCreateRequest{StartRevision: fromRevision, ProgressNotify: true}}
	request.Create.Key, request.Create.RangeEnd = prefixRange(prefix)
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	first := p.kv.preferredIndex()
	for i := range p.kv.urls {
		index := (first + i) % len(p.kv.urls)
		opened, err = p.openWatch(ctx, p.kv.urls[index], prefix, body, fromRevision)
		if err == nil || errors.Is(err, provider.ErrCompacted) || isServiceError(err) || ctx.Err() != nil {
			return opened, err
		}
		p.kv.markFailed(index)
	}
	return nil, err
}

// openWatch opens a watch at one endpoint.
func (p *Provider) openWatch(
	ctx context.Context, endpoint, prefix string, body []byte, fromRevision int64,
) (opened provider.Watcher, err error) {
	callCtx, done, err := p.begin(ctx)
	if err != nil {
		return nil, &CallError{Class: provider.ErrUnavailable, Endpoint: endpoint, Cause: err}
	}
	watchCtx, cancel := context.WithCancelCause(callCtx)
	end := func() {
		cancel(nil)
		done()
	}
	stream, err := p.openStream(watchCtx, cancel, endpoint, body)
	if err != nil {
		end()
		return nil, classifyWatchError(err, endpoint)
	}
	stream.prefix = []byte(prefix)
	w := &watcher{changes: make(chan []provider.Change), cancel: cancel}
	w.group.Go(func() error {
		defer end()
		defer close(w.changes)
		defer stream.body.Close()
		w.err = classifyWatchError(p.deliverChanges(watchCtx, cancel, stream, w.changes, fromRevision), endpoint)
		return nil
	})
	return w, nil
}

// openStream sends the request and waits until the service confirms the watch.
func (p *Provider) openStream(
	ctx context.Context, cancel context.CancelCauseFunc, endpoint string, body []byte,
) (stream *frameReader, err error) {
	timer := timekeeper.AfterFunc(p.cfg.CallTimeout, func() { cancel(errOpenTimeout) })
	defer timer.Stop()
	answer, err := p.open(ctx, endpoint+"/v3/watch", bytes.NewReader(body))
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	stream = newFrameReader(answer, p.cfg.ExceededLimits)
	result, err := stream.next()
	if err == nil && !result.Created {
		err = errNotCreated
	}
	if err == nil && !timer.Stop() {
		err = errOpenTimeout
	}
	if err != nil {
		answer.Body.Close()
		return nil, causeOf(ctx, err)
	}
	return stream, nil
}

// deliverChanges delivers a stream's changes until it ends, and returns the reason.
func (p *Provider) deliverChanges(
	ctx context.Context, cancel context.CancelCauseFunc,
	stream *frameReader, changes chan<- []provider.Change, fromRevision int64,
) error {
	idle := p.startIdleTimer(cancel)
	defer idle.stop()
	checker := &eventChecker{prefix: stream.prefix, newestRevision: fromRevision}
	for {
		result, err := stream.next()
		if err != nil {
			return causeOf(ctx, err)
		}
		batch, err := checker.changes(result)
		if err != nil {
			return err
		}
		if len(batch) == 0 {
			idle.reset()
			continue
		}
		p.noteRevision(checker.newestRevision)
		// The idle timeout applies to the service, not to a slow receiver.
		idle.stop()
		select {
		case changes <- batch:
			idle.reset()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// causeOf returns the cancellation cause of ctx if it has ended, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// classifyWatchError returns the error for a watch that has ended: ErrCompacted and
// context.Canceled, which its owner caused, as they are, anything else as ErrUnavailable.
func classifyWatchError(err error, endpoint string) error {
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, provider.ErrCompacted):
		return err
	default:
		return &CallError{Class: provider.ErrUnavailable, Endpoint: endpoint, Cause: err}
	}
}

// Changes delivers the changes of one frame at a time, ordered by revision.
func (w *watcher) Changes() <-chan []provider.Change { return w.changes }

// Err returns the reason for which the watch has ended: ErrCompacted, ErrUnavailable, or
// context.Canceled if its context ended or it was closed.
func (w *watcher) Err() error { return w.err }

// Close ends the watch and waits until no more changes are delivered.
func (w *watcher) Close() error {
	w.cancel(nil)
	return w.group.Wait()
}

// idleTimer ends a watch that receives nothing. With a nil timer it does nothing.
type idleTimer struct {
	timer   *timekeeper.Timer
	timeout time.Duration
}

func (p *Provider) startIdleTimer(cancel context.CancelCauseFunc) idleTimer {
	if p.cfg.WatchIdleTimeout < 0 {
		return idleTimer{}
	}
	timer := timekeeper.AfterFunc(p.cfg.WatchIdleTimeout, func() { cancel(errIdleTimeout) })
	return idleTimer{timer: timer, timeout: p.cfg.WatchIdleTimeout}
}

func (t idleTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t idleTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(t.timeout)
	}
}

// frameReader reads the frames of a watch.
type frameReader struct {
	prefix  []byte // of all keys that the watch delivers
	body    io.Closer
	limited *io.LimitedReader
	decoder *json.Decoder
	limits  *responselimiter.Counter
}

func newFrameReader(answer *http.Response, limits *responselimiter.Counter) *frameReader {
	limited := &io.LimitedReader{R: answer.Body}
	return &frameReader{body: answer.Body, limited: limited, decoder: json.NewDecoder(limited), limits: limits}
}

// next reads a frame. It fails if the stream has ended or if the frame reports that the
// watch has ended.
func (f *frameReader) next() (*watchResult, error) {
	f.limited.N = maxResponseBytes
	frame := &watchFrame{}
	if err := f.decoder.Decode(frame); err != nil {
		if f.limited.N <= 0 {
			err = &responselimiter.ExceededError{Limit: responselimiter.EventBytes}
			f.limits.CountError(responselimiter.ClientStore, err)
		}
		return nil, err
	}
	switch result := frame.Result; {
	case frame.Error != nil:
		return nil, &StatusError{Status: frame.Error.HTTPCode, Message: frame.Error.Message}
	case result == nil:
		return nil, errIncompleteResponse
	case result.CompactRevision != 0:
		return nil, provider.ErrCompacted
	case result.Canceled:
		return nil, fmt.Errorf("%w: %s", errCanceled, result.CancelReason)
	default:
		return result, nil
	}
}

// eventChecker verifies that the changes of a watch are of its keys, and are ordered by revision.
type eventChecker struct {
	prefix         []byte
	newestRevision int64
}

// changes returns a frame's changes. It fails if one is older than the start of the watch
// or than an earlier change, or can't be one of its keys.
func (o *eventChecker) changes(result *watchResult) ([]provider.Change, error) {
	batch := make([]provider.Change, 0, len(result.Events))
	for _, event := range result.Events {
		if event.KV.ModRevision < o.newestRevision {
			return nil, errRevisionDecreased
		}
		if err := checkRevision(event.KV.ModRevision); err != nil {
			return nil, err
		}
		if !bytes.HasPrefix(event.KV.Key, o.prefix) {
			return nil, fmt.Errorf("%w: %.200q", errUnexpectedKey, event.KV.Key)
		}
		o.newestRevision = event.KV.ModRevision
		batch = append(batch, provider.Change{Entry: event.KV.entry(), Deleted: event.Type == eventDelete})
	}
	return batch, nil
}
