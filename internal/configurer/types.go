package configurer

import (
	"context"
	"errors"
)

// Errors of an Operator, for errors.Is.
var (
	// ErrRevisionMismatch reports that the entry changed since the revision
	// that the change names. Nothing was written. It is wrapped in a
	// RevisionMismatchError, which lists the differences.
	ErrRevisionMismatch = errors.New("entry is not at the expected revision")
	// ErrUnavailable reports that the store was unavailable. The change was
	// certainly not made.
	ErrUnavailable = errors.New("configuration store unavailable")
	// ErrOutcomeUnknown reports that the change may have been made. Outcome
	// answers that for its change id.
	ErrOutcomeUnknown = errors.New("outcome of the change unknown")
	// ErrInvalid reports a class or application that is not valid.
	ErrInvalid = errors.New("invalid configuration")
	// ErrNotFound reports that there is no such class, application or change.
	ErrNotFound = errors.New("not found")
)

// AnyRevision as a Change's IfRevision makes the change unconditional: the
// last writer wins.
const AnyRevision int64 = -1

// Subject is what a change sets or deletes: a ClassSubject or an
// ApplicationSubject.
type Subject interface{ isSubject() }

// ClassSubject sets or deletes a class.
type ClassSubject struct {
	Class  Class // only Tenant and Name are used when Delete is set
	Delete bool
}

// ApplicationSubject sets or deletes an application.
type ApplicationSubject struct {
	Application Application // only Name is used when Delete is set
	Delete      bool
}

func (ClassSubject) isSubject()       {}
func (ApplicationSubject) isSubject() {}

// Change is one change that an operator requests.
type Change struct {
	ChangeID   string // unique; a request with the same id is a retry of the same change
	IfRevision int64  // expected revision of the entry; 0: must not exist; AnyRevision: no check
	Subject    Subject
}

// ClassEntry is a class with the revision of its last change.
type ClassEntry struct {
	Class    Class `json:"class"`
	Revision int64 `json:"revision"` // configuration revision, counted across all classes and applications
}

// ApplicationEntry is an application with the revision of its last change.
type ApplicationEntry struct {
	Application Application `json:"application"`
	Revision    int64       `json:"revision"`
}

// Operator is the part of the configuration that the operators' API uses.
type Operator interface {
	// Apply makes a change and returns the revision at which it is accepted.
	// A retry of an accepted change returns the same revision.
	Apply(ctx context.Context, change Change) (revision int64, err error)
	// Outcome returns the revision at which a change was accepted. It fails
	// with ErrNotFound when the store has no record of the change, and with
	// ErrUnavailable when the store can't be read.
	Outcome(ctx context.Context, changeID string) (revision int64, err error)
	// Classes returns the classes in force on this host: those of a tenant, or
	// of all tenants when tenant is empty.
	Classes(tenant string) []ClassEntry
	// Applications returns the applications in force on this host.
	Applications() []ApplicationEntry
}

// Reader gives the request path the configuration in force on this host.
type Reader interface {
	// Class looks up a class; ok is false when there is none.
	Class(tenant, name string) (class Class, ok bool)
	// Application looks up an application; ok is false when there is none.
	Application(name string) (application Application, ok bool)
	// Revision returns the configuration revision in force; 0 before the first
	// change. It never decreases.
	Revision() int64
	// Ready reports whether a configuration is in force.
	Ready() bool
}
