// Package configurer replicates a configuration of classes and applications to
// many processes. Changes are committed by compare-and-swap in the key-value
// service, relayed from process to process, and never reverted.
//
// # Usage
//
//	c, err := configurer.New(configurer.Config{HostID: "host-1", Zone: "zone-1", Store: store, Pool: pool})
//	c.Register(grpcServer)
//	c.Start()
//	defer c.Close()
//	revision, err := c.Apply(ctx, configurer.Change{
//		ChangeID: id, IfRevision: configurer.AnyRevision,
//		Subject: configurer.ClassSubject{Class: class},
//	})
//	class, ok := c.Class(tenant, name) // in force on this process
//
// Only a few processes of a zone watch the key-value service; they relay changes
// to the others.
//
// The names are aliases of those in endivemast's internal package.
package configurer

import "github.com/endivemast/endivemast/internal/configurer"

// Errors of a Configurer, for errors.Is.
var (
	ErrRevisionMismatch = configurer.ErrRevisionMismatch // the entry is not at Change.IfRevision; nothing was written
	ErrUnavailable      = configurer.ErrUnavailable      // the key-value service is unavailable; nothing was written
	ErrOutcomeUnknown   = configurer.ErrOutcomeUnknown   // the change may have been made; call Outcome with its id
	ErrInvalid          = configurer.ErrInvalid          // not a valid class or application
	ErrNotFound         = configurer.ErrNotFound         // no such class, application or change
)

// AnyRevision as a Change's IfRevision makes the change unconditional: the
// last writer wins.
const AnyRevision = configurer.AnyRevision

// Kinds of class.
const (
	KindGenerate = configurer.KindGenerate // a generation by a model engine
	KindCall     = configurer.KindCall     // a call of a plain service
)

// Types of a Configurer's settings, changes and results.
type (
	// Config holds the dependencies and settings of a Configurer.
	Config = configurer.Config
	// Configurer holds the configuration on one process and replicates it.
	Configurer = configurer.Configurer
	// Change is one change that an operator requests.
	Change = configurer.Change
	// Subject is what a change sets or deletes: a ClassSubject or an
	// ApplicationSubject.
	Subject = configurer.Subject
	// ClassSubject sets or deletes a class.
	ClassSubject = configurer.ClassSubject
	// ApplicationSubject sets or deletes an application.
	ApplicationSubject = configurer.ApplicationSubject
	// Class is a tenant's class of requests and their latency targets.
	Class = configurer.Class
	// ClassKind is the kind of request in a class.
	ClassKind = configurer.ClassKind
	// ClassEntry is a class with its revision.
	ClassEntry = configurer.ClassEntry
	// Application is a model application or plain service.
	Application = configurer.Application
	// ApplicationEntry is an application with its revision.
	ApplicationEntry = configurer.ApplicationEntry
	// RevisionMismatchError reports the current value of an entry and how it
	// differs from the requested one.
	RevisionMismatchError = configurer.RevisionMismatchError
)

// New makes a Configurer and starts nothing. It fails when a setting is missing
// or out of range.
func New(cfg Config) (c *Configurer, err error) { return configurer.New(cfg) }
