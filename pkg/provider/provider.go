// Package provider is the interface to the platform that the coordination
// packages work with: a key-value service with compare-and-swap, leases and
// watches, and the list of hosts. A program with a key-value service of its own
// implements Store; etcdprovider has the adapter for etcd's v3 JSON gateway.
//
// # Usage
//
//	var store provider.Store = ...
//	entry, err := store.Get(ctx, key)
//	entry, err = store.Swap(ctx, provider.Write{Key: key, Value: next, IfRevision: entry.Revision})
//	switch {
//	case errors.Is(err, provider.ErrConflict):       // somebody else wrote first
//	case errors.Is(err, provider.ErrOutcomeUnknown): // read back and compare
//	}
//
// The names are aliases of those that endivemast itself is built from.
package provider

import "github.com/endivemast/endivemast/internal/provider"

// Errors of a Store. Each is found with errors.Is.
var (
	ErrNotFound       = provider.ErrNotFound       // the key holds no value
	ErrConflict       = provider.ErrConflict       // the key's revision was another; nothing was written
	ErrUnavailable    = provider.ErrUnavailable    // not reached; a write has certainly not taken effect
	ErrOutcomeUnknown = provider.ErrOutcomeUnknown // a write may have taken effect, or may still do so
	ErrLeaseLost      = provider.ErrLeaseLost      // the lease has expired or was revoked
	ErrCompacted      = provider.ErrCompacted      // the watch's start revision is no longer held
)

// MaxValueBytes is the largest value that a Store has to hold.
const MaxValueBytes = provider.MaxValueBytes

// NoLease attaches a key to no lease.
const NoLease = provider.NoLease

// The interface to the key-value service.
type (
	// Store is the key-value service.
	Store = provider.Store
	// Entry is one key as the service holds it.
	Entry = provider.Entry
	// Write is a compare-and-swap of one key.
	Write = provider.Write
	// Change is one change of a watched key.
	Change = provider.Change
	// Watcher is one open watch.
	Watcher = provider.Watcher
	// LeaseID names a lease.
	LeaseID = provider.LeaseID
)
