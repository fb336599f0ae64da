package server

import (
	"errors"
	"fmt"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Reasons of operators' failures.
const (
	reasonUnknownClass       = "unknown_class"
	reasonUnknownApplication = "unknown_application"
	reasonUnknownChange      = "unknown_change"
	reasonRaced              = "raced"
	reasonStoreUnavailable   = "store_unavailable"
	reasonOutcomeUnknown     = "outcome_unknown"
)

// newOperatorFailure makes a failure of the operators' API.
func newOperatorFailure(status, reason, detail string) *operator.OperatorFailure {
	return &operator.OperatorFailure{Name: status, Reason: reason, Detail: detail}
}

// changeFailure turns the error of a change into the API's failure.
func (s *operatorService) changeFailure(change configurer.Change, err error) *operator.OperatorFailure {
	var failure *operator.OperatorFailure
	switch {
	case errors.Is(err, configurer.ErrRaced):
		failure = newOperatorFailure(statusConflict, reasonRaced, "the entry changed meanwhile; nothing was written")
		s.addCurrent(failure, change.Subject)
	case errors.Is(err, configurer.ErrInvalid):
		failure = newOperatorFailure(statusInvalid, reasonInvalid, err.Error())
	case errors.Is(err, configurer.ErrNotFound):
		failure = newOperatorFailure(statusNotFound, subjectReason(change.Subject), "there is nothing to delete")
	case errors.Is(err, configurer.ErrUnavailable):
		failure = newOperatorFailure(statusRefused, reasonStoreUnavailable, "the configuration store can't be reached; nothing was written")
	default:
		// Of an error that the configurer has not classified, nothing else can
		// be said either.
		failure = newOperatorFailure(statusUnknown, reasonOutcomeUnknown, "the change may have been made; ask with its change id")
		s.log.Warn("outcome of a change unknown", "change_id", change.ChangeID, "error", err)
	}
	failure.ChangeID = &change.ChangeID
	return failure
}

// outcomeFailure turns the error of a question about a change into the API's
// failure.
func outcomeFailure(changeID string, err error) *operator.OperatorFailure {
	failure := newOperatorFailure(statusRefused, reasonStoreUnavailable, "it can't be told now whether the change was accepted")
	if errors.Is(err, configurer.ErrNotFound) {
		failure = newOperatorFailure(statusNotFound, reasonUnknownChange, "the change was not accepted, as far as the store tells")
	}
	failure.ChangeID = &changeID
	return failure
}

// subjectReason says what was not found.
func subjectReason(subject configurer.Subject) string {
	if _, ok := subject.(configurer.ApplicationSubject); ok {
		return reasonUnknownApplication
	}
	return reasonUnknownClass
}

// addCurrent adds the entry as it is now and what differs. Where the race was
// lost against a change that has not reached this host yet, the entry shown is
// the one from before it.
func (s *operatorService) addCurrent(failure *operator.OperatorFailure, subject configurer.Subject) {
	switch subject := subject.(type) {
	case configurer.ClassSubject:
		entry, ok := s.findClass(subject.Class.Tenant, subject.Class.Name)
		failure.CurrentRevision = &entry.Revision
		if ok {
			failure.CurrentClass = newClass(entry.Class)
			if !subject.Delete {
				failure.Differences = classDifferences(entry.Class, subject.Class)
			}
		}
	case configurer.ApplicationSubject:
		entry, ok := s.findApplication(subject.Application.Name)
		failure.CurrentRevision = &entry.Revision
		if ok {
			failure.CurrentApplication = newApplication(entry.Application)
			if !subject.Delete {
				failure.Differences = applicationDifferences(entry.Application, subject.Application)
			}
		}
	}
}

// differences collects the fields in which two entries differ.
type differences []*operator.Difference

// add compares one field.
func (d *differences) add(field string, current, requested any) {
	if current == requested {
		return
	}
	*d = append(*d, &operator.Difference{
		Field:     field,
		Current:   fmt.Sprint(current),
		Requested: fmt.Sprint(requested),
	})
}

// classDifferences compares two classes.
func classDifferences(current, requested configurer.Class) []*operator.Difference {
	var d differences
	d.add("kind", current.Kind, requested.Kind)
	d.add("application", current.Application, requested.Application)
	d.add("repeatable", current.Repeatable, requested.Repeatable)
	d.add("first_token_target_ms", current.FirstTokenTargetMS, requested.FirstTokenTargetMS)
	d.add("between_tokens_target_ms", current.BetweenTokensTargetMS, requested.BetweenTokensTargetMS)
	d.add("completion_target_ms", current.CompletionTargetMS, requested.CompletionTargetMS)
	return d
}

// applicationDifferences compares two applications.
func applicationDifferences(current, requested configurer.Application) []*operator.Difference {
	var d differences
	d.add("model", current.Model, requested.Model)
	d.add("version", current.Version, requested.Version)
	d.add("adapter", current.Adapter, requested.Adapter)
	d.add("role_changes_per_hour", current.RoleChangesPerHour, requested.RoleChangesPerHour)
	return d
}
