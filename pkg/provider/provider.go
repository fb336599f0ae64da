// Package provider is the interface to the platform that the coordination packages use: a
// key-value service with compare-and-swap, leases and watches, and the list of hosts. A
// program with its own key-value service implements Store; package etcdprovider has the
// adapter for etcd's v3 JSON gateway.
//
// # Usage
//
//	var store provider.Store = ...
//	entry, err := store.Get(ctx, key)
//	entry, err = store.Swap(ctx, provider.Write{Key: key, Value: next, IfRevision: entry.Revision})
//	switch {
//	case errors.Is(err, provider.ErrConflict):       // another writer was first
//	case errors.Is(err, provider.ErrOutcomeUnknown): // read back and compare
//	}
//
// The names are aliases of the types and values that endivemast itself uses.
package provider

import "github.com/endivemast/endivemast/internal/provider"

// Errors of a Store, to be tested with errors.Is.
var (
	ErrNotFound       = provider.ErrNotFound       // the key holds no value
	ErrConflict       = provider.ErrConflict       // the key was at another revision; nothing was written
	ErrUnavailable    = provider.ErrUnavailable    // service not reached; a write has certainly not taken effect
	ErrOutcomeUnknown = provider.ErrOutcomeUnknown // a write may have taken effect, or may still do so
	ErrLeaseLost      = provider.ErrLeaseLost      // the lease has expired or was revoked
	ErrCompacted      = provider.ErrCompacted      // the start revision of the watch is no longer held
)

// MaxValueBytes is the largest value that a Store must be able to hold.
const MaxValueBytes = provider.MaxValueBytes

// NoLease attaches a key to no lease.
const NoLease = provider.NoLease

// The interface to the key-value service.
type (
	// Store is the key-value service.
	Store = provider.Store
	// Entry is one key and its value in the service.
	Entry = provider.Entry
	// Write is a compare-and-swap of one key.
	Write = provider.Write
	// Change is one change of a watched key.
	Change = provider.Change
	// Watcher is one open watch.
	Watcher = provider.Watcher
	// LeaseID identifies a lease.
	LeaseID = provider.LeaseID
)
