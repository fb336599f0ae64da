package follower

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// synchronizeTimeout limits one poll of the store, on which several callers may wait.
	synchronizeTimeout = 600 * time.Millisecond
	// minPollInterval is the shortest time between the starts of two polls. The store limits the calls
	// of all hosts together.
	minPollInterval = 25 * time.Millisecond
)

var (
	errNoPoller    = errors.New("store does not support polling for changes")
	errNotSynced   = errors.New("topics have not been read")
	errNotCaughtUp = errors.New("changes of the store are not applied")
)

// Synchronize returns once the sinks know all changes that the store had accepted when it was called.
// It fails if the store does not answer in time. Calls that arrive during a poll share the next one.
func (f *Follower) Synchronize(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "synchronize with the store") }()
	done := make(chan error, 1)
	f.mu.Lock()
	f.waiting = append(f.waiting, done)
	f.mu.Unlock()
	select {
	case f.synchronizationDue <- struct{}{}:
	default: // the next poll has not begun
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Follower) runSynchronizations(ctx context.Context) error {
	var polledAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.synchronizationDue:
		}
		if !wait(ctx, time.Until(polledAt.Add(minPollInterval))) {
			return nil
		}
		polledAt = time.Now()
		f.mu.Lock()
		waiting := f.waiting
		f.waiting = nil
		f.mu.Unlock()
		err := f.pollStore(ctx)
		for _, done := range waiting {
			done <- err
		}
	}
}

// pollStore reads the changes after the known revision, and applies them.
func (f *Follower) pollStore(ctx context.Context) error {
	poller, ok := f.cfg.Store.(provider.Poller)
	if !ok {
		return errNoPoller
	}
	if !f.HasSynced() {
		return errNotSynced
	}
	ctx, cancel := timekeeper.WithTimeout(ctx, synchronizeTimeout)
	defer cancel()
	changes, revision, err := poller.Poll(ctx, f.commonPrefix(), f.knownRevision())
	if err != nil {
		return err
	}
	f.applyUpdate(provider.Update{Changes: changes, Revision: revision})
	if !f.HasSynced() || f.knownRevision() < revision {
		return errNotCaughtUp
	}
	return nil
}
