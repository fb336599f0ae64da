// Package leaser elects one process of a group, called a zone, and fences off
// earlier holders: it provides a lease with an epoch that never decreases, and
// records intents before the actions are taken.
//
// # Usage
//
//	l, err := leaser.New(leaser.Config{Zone: "billing", HostID: "host-1", Incarnation: id, Address: address, Store: store})
//	group.Go(func() error { return l.Run(ctx) })
//	record, err := l.Update(ctx, func(draft *leaser.Draft) error {
//		draft.Epoch++          // the fencing number of this action
//		draft.Payload = intent // a successor finds it
//		return nil
//	})
//	action, err := l.Begin(ctx, record.Epoch)
//	act(action.Context(), record.Epoch)
//	action.Done()
//	err = l.Close()
//
// Update fails with ErrNotHolder once another process has taken over, whatever
// this process's clock says, because each write of the record is a
// compare-and-swap. The target of an action has to reject epochs below the
// highest one it has seen. If it doesn't, a successor has to wait until Fence on
// the former holder reports that no action is running.
//
// The types are aliases of those that endivemast itself uses.
package leaser

import "github.com/endivemast/endivemast/internal/leaser"

// DefaultTTL is the default TTL of a lease.
const DefaultTTL = leaser.DefaultTTL

// Errors of a Leaser. Test for them with errors.Is.
var (
	ErrNotHolder = leaser.ErrNotHolder // this process doesn't hold the authority
	ErrFenced    = leaser.ErrFenced    // a successor has fenced off this epoch
	ErrInvalid   = leaser.ErrInvalid   // invalid settings or record
)

// Types that a Leaser works with.
type (
	// Config holds the settings of a Leaser.
	Config = leaser.Config
	// Leaser acquires, keeps and releases the authority.
	Leaser = leaser.Leaser
	// Holder is a process that holds or held the authority.
	Holder = leaser.Holder
	// Record is the authority as stored in the key-value service.
	Record = leaser.Record
	// Draft is the part of a Record that an Update sees and may change.
	Draft = leaser.Draft
	// Authority is the authority as held by this process.
	Authority = leaser.Authority
	// Action is an operation under the authority, between Begin and Done.
	Action = leaser.Action
	// Status is a Leaser's state, for display.
	Status = leaser.Status
)

// New validates the settings and returns a Leaser. It starts nothing; call Run.
func New(cfg Config) (l *Leaser, err error) { return leaser.New(cfg) }
