package configurer

import (
	"fmt"
	"regexp"
	"time"
)

// Limits of values that operators set.
const (
	maxNameBytes          = 64
	maxTarget             = 24 * time.Hour
	maxRoleChangesPerHour = 3600
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// InvalidError reports a field of a change, class or application that is not
// valid. It wraps ErrInvalid.
type InvalidError struct {
	Field    string // JSON name
	Value    string
	Accepted string // description of the valid values
}

// Error names the field, its value and the valid values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is %q: accepted is %s", e.Field, e.Value, e.Accepted)
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

func newInvalidError(field string, value any, accepted string) error {
	return &InvalidError{Field: field, Value: fmt.Sprint(value), Accepted: accepted}
}

// validate checks a change from an operator and returns it with derived fields
// set: a class of generations is always repeatable.
func validate(change Change) (Change, error) {
	if !isIdentifier(change.ChangeID) {
		return change, newInvalidError("change_id", change.ChangeID, fmt.Sprintf("1 to %d bytes", maxIdentifierBytes))
	}
	if change.IfRevision < AnyRevision {
		return change, newInvalidError("if_revision", change.IfRevision, "-1 (any), 0 (absent) or the entry's revision")
	}
	switch s := change.Subject.(type) {
	case ClassSubject:
		if s.Delete {
			return change, validateNames(field{"tenant", s.Class.Tenant}, field{"name", s.Class.Name})
		}
		s.Class.Repeatable = s.Class.Repeatable || s.Class.Kind == KindGenerate
		change.Subject = s
		return change, ValidateClass(s.Class)
	case ApplicationSubject:
		if s.Delete {
			return change, validateNames(field{"name", s.Application.Name})
		}
		return change, ValidateApplication(s.Application)
	default:
		return change, newInvalidError("subject", "", "a class or an application")
	}
}

// ValidateClass checks a class from an operator. It returns an InvalidError for
// the first field that is not valid.
func ValidateClass(c Class) error {
	err := validateNames(field{"tenant", c.Tenant}, field{"name", c.Name}, field{"application", c.Application})
	if err != nil {
		return err
	}
	if c.Kind != KindGenerate && c.Kind != KindCall {
		return newInvalidError("kind", c.Kind, fmt.Sprintf("%q or %q", KindGenerate, KindCall))
	}
	if c.CompletionTargetMS < 1 || c.CompletionTargetMS > maxTarget.Milliseconds() {
		return newInvalidError("completion_target_ms", c.CompletionTargetMS, fmt.Sprintf("1 to %d", maxTarget.Milliseconds()))
	}
	if err := validateTokenTarget(c, "first_token_target_ms", c.FirstTokenTargetMS); err != nil {
		return err
	}
	return validateTokenTarget(c, "between_tokens_target_ms", c.BetweenTokensTargetMS)
}

func validateTokenTarget(c Class, name string, ms int64) error {
	if c.Kind == KindCall && ms != 0 {
		return newInvalidError(name, ms, "0 for a class of kind \"call\", which has no tokens")
	}
	if ms < 0 || ms > c.CompletionTargetMS {
		return newInvalidError(name, ms, fmt.Sprintf("0 (no target) to completion_target_ms, %d", c.CompletionTargetMS))
	}
	return nil
}

// ValidateApplication checks an application from an operator. It returns an
// InvalidError for the first field that is not valid.
func ValidateApplication(a Application) error {
	if err := validateNames(field{"name", a.Name}); err != nil {
		return err
	}
	for _, f := range []field{{"model", a.Model}, {"version", a.Version}, {"adapter", a.Adapter}} {
		if len(f.value) > maxIdentifierBytes {
			return newInvalidError(f.name, f.value, fmt.Sprintf("at most %d bytes", maxIdentifierBytes))
		}
	}
	if a.Model == "" && (a.Version != "" || a.Adapter != "") {
		return newInvalidError("model", a.Model, "a model's name where version or adapter is stated")
	}
	if a.RoleChangesPerHour < 0 || a.RoleChangesPerHour > maxRoleChangesPerHour {
		return newInvalidError("role_changes_per_hour", a.RoleChangesPerHour, fmt.Sprintf("0 to %d", maxRoleChangesPerHour))
	}
	return nil
}

// field is a field of a class or application under its JSON name.
type field struct{ name, value string }

func validateNames(fields ...field) error {
	for _, f := range fields {
		if len(f.value) > maxNameBytes || !namePattern.MatchString(f.value) {
			return newInvalidError(f.name, f.value, fmt.Sprintf("1 to %d letters, digits, '.', '_' or '-', a letter or digit first", maxNameBytes))
		}
	}
	return nil
}
