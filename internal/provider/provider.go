// Package provider defines what the platform provides to endivemast: a small
// key-value service, a list of hosts and a weight store.
//
// All decisions depend on these interfaces only. A new wire format of the platform needs
// one adapter package and no change here; package etcdprovider is the adapter for the
// key-value service.
//
// # Usage
//
//	entry, err := store.Get(ctx, "endivemast/zones/lozenets/authority")
//	entry, err = store.Swap(ctx, provider.Write{
//		Key: entry.Key, Value: next, IfRevision: entry.Revision,
//	})
//	switch {
//	case errors.Is(err, provider.ErrConflict):       // another writer was first
//	case errors.Is(err, provider.ErrOutcomeUnknown): // read back and compare
//	}
//
// A Store never retries a write by itself. A caller that gets ErrOutcomeUnknown resolves
// it by reading back an identifier of its own that is part of the value.
package provider

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store, to be tested with errors.Is.
var (
	// ErrNotFound: the key holds no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict: the key was not at the expected revision, and nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable: the service was not reached or refused the call; a write has
	// certainly not taken effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown: a write was sent and not answered; it may have taken effect, or
	// may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
	// ErrLeaseLost: the lease has expired, was revoked, or was granted in an earlier era.
	ErrLeaseLost = errors.New("lease lost")
	// ErrCompacted: the start revision of a watch is no longer held, or belongs to an
	// earlier era; the watcher has to read the state again.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrWatchSourceChanged: the watch must be opened again at once, since a better source
	// of the changes is available. No change is lost.
	ErrWatchSourceChanged = errors.New("watch must be opened again at another source")
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// The revisions of a store that comes back from an older copy go back, and are given out
// again. Such a store states its era, which rises each time. A revision holds the era in
// its decimal digits above the fifteenth, so that every later state has a higher revision,
// and revisions of different eras are never equal. The era is 0 for a store that states
// none.
const revisionsPerEra = 1_000_000_000_000_000

// MaxRevisionNumber is the highest number that a store gives out in an era.
const MaxRevisionNumber = revisionsPerEra - 1

// MaxEra is the highest era that a revision can hold.
const MaxEra = 9_000

// Revision returns the revision for the number that a store gave out in an era.
func Revision(era, number int64) int64 { return era*revisionsPerEra + number }

// SplitRevision returns the era of a revision, and the number that the store gave out.
func SplitRevision(revision int64) (era, number int64) {
	return revision / revisionsPerEra, revision % revisionsPerEra
}

// maxRevisionStep is more than a store's revision rises by while a host runs.
const maxRevisionStep = 1_000_000_000

// IsPlausible reports whether a store can have given out a revision by now that was at another one before; 0: not
// known. Hosts that take a revision that is far too high for the latest one drop all changes below it.
func IsPlausible(revision, before int64) bool {
	return before == 0 || EraOf(revision) != EraOf(before) || revision-before <= maxRevisionStep
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision / revisionsPerEra }

// LeaseID identifies a lease of the key-value service. NoLease stands for none.
type LeaseID int64

// NoLease attaches a key to no lease.
const NoLease LeaseID = 0

// Entry is one key and its value in the service.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change of this key, with its era; 0 when absent
	Lease    LeaseID
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key        string
	Value      []byte
	IfRevision int64 // revision that the key must have; 0: must be absent
	Lease      LeaseID
	Delete     bool // remove the key; Value and Lease are not used
}

// Change is one change of a watched key.
type Change struct {
	Entry   Entry
	Deleted bool
	// Age is the time since the first host received the change; 0 if it comes from the
	// store itself.
	Age time.Duration
	// MaxAge is the longest time for which the change may have been made, where that is longer
	// than Age because this host has missed changes. It is not passed on.
	MaxAge time.Duration
}

// Period is the time within which a change was made.
type Period struct{ Earliest, Latest time.Time }

// Update holds the store changes after a revision that another host has received.
type Update struct {
	Changes  []Change // in the order of the store's revisions
	Revision int64    // revision up to which Changes is complete
	// IsSnapshot is true if Changes holds every existing entry rather than only changes.
	IsSnapshot bool
}

// Store is the platform's key-value service. Every call, and every open watch, counts
// against the rate limit of the service. All methods are safe for concurrent use, and
// return when ctx ends.
type Store interface {
	// Get reads a key linearizably. It fails with ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix in one call, and returns the store revision at
	// which they were read.
	List(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Swap writes one key if it is at the given revision, and returns the entry with its
	// new revision. It fails with ErrConflict, ErrUnavailable, ErrLeaseLost or
	// ErrOutcomeUnknown.
	Swap(ctx context.Context, write Write) (Entry, error)
	// Watch delivers the changes of all keys with a prefix from a store revision on, until
	// ctx ends or the returned channel closes. The Watcher's Err then returns the reason.
	Watch(ctx context.Context, prefix string, fromRevision int64) (Watcher, error)
	// Grant creates a lease. The platform removes the keys attached to it if it is not
	// renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease. It fails with ErrLeaseLost if the lease no longer exists.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// EraReporter is a Store that states its era.
type EraReporter interface {
	// Era returns the latest era that the store has stated to this client; 0: none.
	Era() int64
}

// StaleLister is a Store with cheaper reads that may return an old state.
type StaleLister interface {
	// ListStale is List at a revision that may be some seconds old. A watch from that
	// revision on misses nothing.
	ListStale(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
}

// IdleDropper is a Store that can close its idle connections, some of which may have stopped
// transferring data.
type IdleDropper interface {
	DropIdle()
}

// Poller is a Store that returns changes without waiting for them.
type Poller interface {
	// Poll returns the changes of keys with a prefix after a revision, and the revision up
	// to which they are complete, as of some time after the call was made. It fails with
	// ErrCompacted if some changes are no longer held, or with ErrUnavailable.
	Poll(ctx context.Context, prefix string, after int64) (changes []Change, revision int64, err error)
}

// Watcher is one open watch.
type Watcher interface {
	// Changes closes when the watch has ended.
	Changes() <-chan []Change
	// Err returns why the watch ended; it is valid once Changes is closed.
	Err() error
	// Close ends the watch and waits until nothing more is delivered.
	Close() error
}

// PacedWatcher is a Watcher whose calls can be delayed after changes, so that several changes
// cost one call.
type PacedWatcher interface {
	Watcher
	// SetDelay sets the function that returns the delay between the delivery of changes and
	// the next call.
	SetDelay(delay func() time.Duration)
}

// HostKind is what runs on a host of the platform.
type HostKind string

// Kinds of host.
const (
	HostEntry   HostKind = "entry"   // an entry process of endivemast
	HostEngine  HostKind = "engine"  // a model engine
	HostService HostKind = "service" // a plain service
)

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host. A host that no longer exists is not listed.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list, which lags behind the actual state.
type Host struct {
	ID          string    `json:"id"`
	Incarnation string    `json:"incarnation"` // differs after each restart of the host's process
	Kind        HostKind  `json:"kind"`
	Zone        string    `json:"zone"`
	Address     string    `json:"address"`     // IP and port
	Application string    `json:"application"` // of an engine or service; empty for an entry
	State       HostState `json:"state"`
	// Role is an engine's current role, as driver.Role; empty: not reported.
	Role string `json:"role,omitempty"`
	// IsSpot is true for a cheaper engine that may be withdrawn at short notice.
	IsSpot bool `json:"is_spot,omitempty"`
	// SoftwareVersion is that of the program that the endpoint runs, not of its weights;
	// empty: not reported. Versions have no order.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Slots is how many requests an endpoint runs at once; 0: not reported.
	Slots int `json:"slots,omitempty"`
	// Revision is the store revision of the endpoint's entry; 0: not known.
	Revision int64 `json:"revision,omitempty"`
	// StartedAt is when the process started, in Unix milliseconds; 0: not reported. It
	// orders the processes of an endpoint.
	StartedAt int64 `json:"born,omitempty"`
	// Sequence counts the process's reports on itself; 0: not reported. It orders the
	// reports, since a delayed one may arrive after later ones.
	Sequence int64 `json:"sequence,omitempty"`
	// ChecksFencing is true if the endpoint refuses an order with an old fencing number.
	// False, or absent, means that it does not.
	ChecksFencing bool `json:"checks_fencing"`
}

// HostLister reads the platform's list of live and leaving hosts.
type HostLister interface {
	// Hosts returns the platform's current list. Its revision grows with each change of
	// the list and never decreases.
	Hosts(ctx context.Context) (hosts []Host, revision int64, err error)
}

// WeightLister is the platform's rate-limited weight store.
type WeightLister interface {
	// Weights returns the versions of a model that the store can serve.
	Weights(ctx context.Context, model string) (versions []string, err error)
}
