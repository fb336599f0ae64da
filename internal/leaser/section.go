package leaser

import (
	"encoding/json"
	"fmt"
)

// A payload may consist of named sections, one for each use of the authority.

// Section decodes a section of the payload into out. It returns false if there is
// no such section.
func (r *Record) Section(name string, out any) (ok bool, err error) {
	sections, err := sectionsOf(r.Payload)
	if err != nil || sections[name] == nil {
		return false, err
	}
	if err := json.Unmarshal(sections[name], out); err != nil {
		return false, fmt.Errorf("%w: section %q: %w", ErrInvalid, name, err)
	}
	return true, nil
}

// Section decodes a section of the draft's payload into out. It returns false if
// there is no such section.
func (d *Draft) Section(name string, out any) (ok bool, err error) {
	record := Record{Payload: d.Payload}
	return record.Section(name, out)
}

// SetSection sets a section of the payload.
func (d *Draft) SetSection(name string, value any) error {
	sections, err := sectionsOf(d.Payload)
	if err != nil {
		return err
	}
	if sections[name], err = json.Marshal(value); err != nil {
		return err
	}
	d.Payload, err = json.Marshal(sections)
	return err
}

func sectionsOf(payload json.RawMessage) (sections map[string]json.RawMessage, err error) {
	sections = map[string]json.RawMessage{}
	if len(payload) == 0 {
		return sections, nil
	}
	if err := json.Unmarshal(payload, &sections); err != nil {
		return nil, fmt.Errorf("%w: payload has no sections: %w", ErrInvalid, err)
	}
	return sections, nil
}
