package tracker

import "time"

// An engine or a zone that is cut off neither answers nor refuses: what is sent
// there hangs until somebody's time limit. Hosts tell each other their loads many
// times a second, and engines are asked all the time what they keep of prompts,
// so that silence shows a cut long before.

// endpointSilence is after how long without a word an engine that is asked what
// it keeps counts as cut off by itself: three questions in a row, each of which
// it may keep waiting for a quarter of a second, and a pause between them.
const endpointSilence = 1200 * time.Millisecond

// HearZone notes that a host of a zone has spoken.
func (t *Table) HearZone(zone string, now time.Time) {
	if now.After(t.heard[zone]) {
		t.heard[zone] = now
	}
}

// Hear notes that an endpoint has answered something.
func (e *Endpoint) Hear(now time.Time) {
	if now.After(e.heardAt) {
		e.heardAt = now
	}
}

// Silence is a change of what is believed of a zone.
type Silence struct {
	Zone     string
	IsSilent bool
	Since    time.Time // that nothing was heard
}

// NoteSilence marks the endpoints of zones of which nothing was heard for some
// time, and engines that have fallen silent by themselves. It returns the zones
// that have fallen silent or speak again. A zone none of whose hosts was ever
// heard is not among them, nor is this host's own.
func (t *Table) NoteSilence(after time.Duration, now time.Time) (changes []Silence) {
	latest := map[string]time.Time{}
	for _, endpoint := range t.Endpoints {
		if endpoint.heardAt.After(latest[endpoint.Zone]) {
			latest[endpoint.Zone] = endpoint.heardAt
		}
	}
	for zone, heardAt := range t.heard {
		if latest[zone].After(heardAt) {
			heardAt = latest[zone]
		}
		isSilent := zone != t.Zone && now.Sub(heardAt) > after
		if isSilent != t.silent[zone] {
			changes = append(changes, Silence{Zone: zone, IsSilent: isSilent, Since: heardAt})
		}
		t.silent[zone] = isSilent
	}
	for _, endpoint := range t.Endpoints {
		isAlone := endpoint.Cache.IsKnown && now.Sub(endpoint.heardAt) > endpointSilence
		endpoint.IsSilent = t.silent[endpoint.Zone] || isAlone
	}
	return changes
}
