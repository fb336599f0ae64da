package server

import (
	"errors"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Reasons of failures of the operators' API.
const (
	reasonUnknownClass       = "unknown_class"
	reasonUnknownApplication = "unknown_application"
	reasonUnknownChange      = "unknown_change"
	reasonRevisionMismatch   = "raced"
	reasonStoreUnavailable   = "store_unavailable"
	reasonOutcomeUnknown     = "outcome_unknown"
)

// newOperatorFailure returns a failure of the operators' API.
func newOperatorFailure(status, reason, detail string) *operator.OperatorFailure {
	return &operator.OperatorFailure{Name: status, Reason: reason, Detail: detail}
}

// changeFailure converts the error of a change into a failure of the API.
func (s *operatorService) changeFailure(change configurer.Change, err error) *operator.OperatorFailure {
	var failure *operator.OperatorFailure
	var mismatch *configurer.RevisionMismatchError
	var invalid *configurer.InvalidError
	switch {
	case errors.As(err, &mismatch):
		failure = newOperatorFailure(statusConflict, reasonRevisionMismatch, "the entry changed meanwhile; nothing was written")
		addCurrentEntry(failure, mismatch)
	case errors.Is(err, configurer.ErrRevisionMismatch):
		failure = newOperatorFailure(statusConflict, reasonRevisionMismatch, "the entry changed meanwhile; nothing was written")
	case errors.As(err, &invalid):
		failure = newOperatorFailure(statusInvalid, reasonInvalid, invalid.Error())
		failure.Field, failure.Accepted = &invalid.Field, &invalid.Accepted
	case errors.Is(err, configurer.ErrInvalid):
		failure = newOperatorFailure(statusInvalid, reasonInvalid, err.Error())
	case errors.Is(err, configurer.ErrNotFound):
		failure = newOperatorFailure(statusNotFound, notFoundReason(change.Subject), "there is nothing to delete")
	case errors.Is(err, configurer.ErrUnavailable):
		failure = newOperatorFailure(statusRefused, reasonStoreUnavailable, "the configuration store can't be reached; nothing was written")
	default:
		// The change may have been made when the configurer has not classified the error.
		failure = newOperatorFailure(statusUnknown, reasonOutcomeUnknown, "the change may have been made; ask with its change id")
		s.log.Warn("outcome of a configuration change is unknown", "change_id", change.ChangeID, "error", err)
	}
	failure.ChangeID = &change.ChangeID
	return failure
}

// changeQueryFailure converts the error of querying a change into a failure of the API.
func changeQueryFailure(changeID string, err error) *operator.OperatorFailure {
	failure := newOperatorFailure(statusRefused, reasonStoreUnavailable, "it can't be told now whether the change was accepted")
	if errors.Is(err, configurer.ErrNotFound) {
		failure = newOperatorFailure(statusNotFound, reasonUnknownChange, "the change was not accepted, as far as the store tells")
	}
	failure.ChangeID = &changeID
	return failure
}

// notFoundReason returns the reason for an entry that does not exist.
func notFoundReason(subject configurer.Subject) string {
	if _, ok := subject.(configurer.ApplicationSubject); ok {
		return reasonUnknownApplication
	}
	return reasonUnknownClass
}

// addCurrentEntry adds the current entry and its differences from the requested one.
func addCurrentEntry(failure *operator.OperatorFailure, mismatch *configurer.RevisionMismatchError) {
	failure.CurrentRevision = &mismatch.CurrentRevision
	switch current := mismatch.Current.(type) {
	case configurer.ClassSubject:
		if !current.Delete {
			failure.CurrentClass = newClass(current.Class)
		}
	case configurer.ApplicationSubject:
		if !current.Delete {
			failure.CurrentApplication = newApplication(current.Application)
		}
	}
	for _, d := range mismatch.Differences {
		failure.Differences = append(failure.Differences, &operator.Difference{
			Field: d.Field, Current: d.Current, Requested: d.Requested,
		})
	}
}
