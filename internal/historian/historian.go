// Package historian keeps in the platform's store what hosts have to know of earlier ones if all hosts end
// at the same time: at which applications and software versions streams may have begun.
//
// Each host reads the entry once, as it starts. One host writes it, when what it knows has changed; two
// that both take themselves for that host only merge what they know.
//
// # Usage
//
//	h := historian.New(historian.Config{Store: store, Keeper: streams, IsWriter: isFirstHost, ...})
//	group.Go(func() error { return h.Run(ctx) })
package historian

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/streamkeeper"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Key is the key of the entry.
const Key = "endivemast/stream_history"

const (
	// checkInterval is how often the writer compares the entry with what it knows, and how often a host
	// tries to read it.
	checkInterval = 200 * time.Millisecond
	// retryInterval is the time between calls after one that has failed.
	retryInterval = time.Second
	// reloadInterval is how often the writer reads the entry again: a store may have come back from an
	// older copy.
	reloadInterval = 30 * time.Second
	callTimeout    = time.Second
	// writeDelay is how long after the first read a host begins to write. It knows its peers by then,
	// so that few hosts take themselves for the writer.
	writeDelay = 3 * time.Second
)

// exceedsStore is the entry in place of a history that the store can't hold. It does not decode, so that hosts
// that start do not take an earlier history for the whole.
const exceedsStore = `"exceeds the store's limit"`

// errEmptyHistory reports an entry of some other writer.
var errEmptyHistory = errors.New("history without classes or versions")

// Keeper knows at what streams may have begun. Package streamkeeper implements it.
type Keeper interface {
	History() streamkeeper.History
	SetHistory(history *streamkeeper.History)
}

var _ Keeper = (*streamkeeper.Keeper)(nil)

// Config configures a Historian.
type Config struct {
	Store  provider.Store
	Keeper Keeper
	// IsWriter reports whether this host writes the entry.
	IsWriter func() bool
	Logger   hclog.Logger
}

// Historian keeps the entry.
type Historian struct {
	cfg      Config
	isLoaded bool
	loadedAt time.Time
	writesAt time.Time            // when this host may begin to write
	revision int64                // of the entry; 0: there is none
	stored   streamkeeper.History // in the entry
}

// New returns a Historian.
func New(cfg Config) *Historian { return &Historian{cfg: cfg} }

// Run reads the entry, and writes it when it has to change, until ctx ends.
func (h *Historian) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := checkInterval
		if err := h.step(ctx); err != nil && ctx.Err() == nil {
			h.cfg.Logger.Info("history of streams not read or written", "is_loaded", h.isLoaded, "error", err)
			pause = retryInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// step reads the entry if it is not known, and writes it if it differs from what this host knows.
func (h *Historian) step(ctx context.Context) error {
	isWriter := h.cfg.IsWriter()
	if !h.isLoaded || isWriter && time.Since(h.loadedAt) >= reloadInterval {
		if err := h.load(ctx); err != nil {
			return err
		}
	}
	if !isWriter || time.Now().Before(h.writesAt) {
		return nil
	}
	if known := h.cfg.Keeper.History(); !isEmpty(&known) && !reflect.DeepEqual(known, h.stored) {
		return h.write(ctx, known)
	}
	return nil
}

// isEmpty reports whether a host does not know the configuration or the endpoints yet.
func isEmpty(history *streamkeeper.History) bool {
	return len(history.Classes) == 0 || len(history.Versions) == 0
}

// load reads the entry and adds it to what this host knows.
func (h *Historian) load(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "read history of streams") }()
	ctx, cancel := timekeeper.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := h.cfg.Store.Get(ctx, Key)
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		return err
	}
	isFirst := !h.isLoaded
	h.isLoaded, h.loadedAt, h.revision, h.stored = true, time.Now(), entry.Revision, streamkeeper.History{}
	if isFirst {
		h.writesAt = h.loadedAt.Add(writeDelay)
	}
	if entry.Revision == 0 {
		h.cfg.Keeper.SetHistory(nil)
		return nil
	}
	var stored streamkeeper.History
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return err // the entry is replaced; what it said stays unknown
	}
	if isEmpty(&stored) {
		return errEmptyHistory // no host writes it
	}
	h.stored = stored
	h.cfg.Keeper.SetHistory(&h.stored)
	if isFirst {
		h.cfg.Logger.Info("history of streams read", "revision", entry.Revision, "versions", h.stored.Versions)
	}
	return nil
}

// write replaces the entry. After a conflict it is read again: another host has written it.
func (h *Historian) write(ctx context.Context, known streamkeeper.History) (err error) {
	defer func() { err = eris.Wrap(err, "write history of streams") }()
	value, err := json.Marshal(known)
	if err != nil {
		return err
	}
	if len(value) > provider.MaxValueBytes {
		value = []byte(exceedsStore)
	}
	ctx, cancel := timekeeper.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := h.cfg.Store.Swap(ctx, provider.Write{Key: Key, Value: value, IfRevision: h.revision})
	if err != nil {
		h.loadedAt = time.Time{}
		return err
	}
	h.revision, h.stored = entry.Revision, known
	h.cfg.Logger.Info("history of streams written", "revision", entry.Revision, "versions", known.Versions)
	return nil
}
