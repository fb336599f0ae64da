package configurer

import (
	"fmt"
	"strconv"
	"strings"
)

// RevisionMismatchError reports that an entry is not at the revision that a
// change expects, and how it differs from the requested value. It wraps
// ErrRevisionMismatch.
type RevisionMismatchError struct {
	IfRevision      int64   // revision that the change expects
	CurrentRevision int64   // revision of the entry; 0: it does not exist
	Current         Subject // current value; Delete is set when there is none
	Requested       Subject // value that the change would set
	Differences     []Difference
}

// Difference is one field that differs between Current and Wanted.
type Difference struct {
	Field     string `json:"field"` // JSON name
	Current   string `json:"current"`
	Requested string `json:"wanted"`
}

// Error names both revisions and the fields that differ.
func (e *RevisionMismatchError) Error() string {
	parts := make([]string, 0, len(e.Differences))
	for _, d := range e.Differences {
		parts = append(parts, fmt.Sprintf("%s is %q, requested %q", d.Field, d.Current, d.Requested))
	}
	return fmt.Sprintf("change expects revision %d, entry is at %d: %s", e.IfRevision, e.CurrentRevision, strings.Join(parts, "; "))
}

// Unwrap returns ErrRevisionMismatch.
func (e *RevisionMismatchError) Unwrap() error { return ErrRevisionMismatch }

// checkRevision returns a RevisionMismatchError when the entry is not at the
// revision that a change expects.
func checkRevision(st *state, change Change) error {
	current, revision := st.entry(change.Subject)
	if change.IfRevision == AnyRevision || change.IfRevision == revision {
		return nil
	}
	return &RevisionMismatchError{
		IfRevision:      change.IfRevision,
		CurrentRevision: revision,
		Current:         current,
		Requested:       change.Subject,
		Differences:     diffFields(subjectFields(current), subjectFields(change.Subject)),
	}
}

// diffFields compares two lists of the same fields; either may be empty.
func diffFields(current, wanted []field) []Difference {
	var found []Difference
	for i := range max(len(current), len(wanted)) {
		d := Difference{}
		if i < len(current) {
			d.Field, d.Current = current[i].name, current[i].value
		}
		if i < len(wanted) {
			d.Field, d.Requested = wanted[i].name, wanted[i].value
		}
		if d.Current != d.Requested {
			found = append(found, d)
		}
	}
	return found
}

// subjectFields lists the fields that an operator sets; none for a deletion.
func subjectFields(subject Subject) []field {
	switch s := subject.(type) {
	case ClassSubject:
		if s.Delete {
			return nil
		}
		return []field{
			{"kind", string(s.Class.Kind)},
			{"application", s.Class.Application},
			{"repeatable", strconv.FormatBool(s.Class.Repeatable)},
			{"first_token_target_ms", strconv.FormatInt(s.Class.FirstTokenTargetMS, 10)},
			{"between_tokens_target_ms", strconv.FormatInt(s.Class.BetweenTokensTargetMS, 10)},
			{"completion_target_ms", strconv.FormatInt(s.Class.CompletionTargetMS, 10)},
		}
	case ApplicationSubject:
		if s.Delete {
			return nil
		}
		return []field{
			{"model", s.Application.Model},
			{"version", s.Application.Version},
			{"adapter", s.Application.Adapter},
			{"role_changes_per_hour", strconv.Itoa(s.Application.RoleChangesPerHour)},
		}
	}
	return nil
}
