package leaser

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Errors of a Leaser. Test for them with errors.Is.
var (
	// ErrNotHolder means that this process doesn't hold the zone's authority, or
	// can't determine whether it still does. Nothing was written, unless an earlier
	// write had no answer; then the successor finds what was written.
	ErrNotHolder = errors.New("zone authority not held")
	// ErrFenced means that this process has guaranteed a successor to start nothing
	// more at this epoch.
	ErrFenced = errors.New("epoch fenced off by a successor")
	// ErrInvalid means that the settings or the stored record are invalid.
	ErrInvalid = errors.New("invalid zone authority")
)

// Holder is a process that holds or held a zone's authority.
type Holder struct {
	HostID      string `json:"host_id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"` // IP and port of its peer protocol
	// ListedAt is a revision of the platform's host list that contained this
	// incarnation; 0: unknown. Only a later list without it proves that the process
	// has ended: an outdated list may lack a process that has just started.
	ListedAt int64 `json:"listed_at"`
}

// Record is a zone's authority as stored in the key-value service.
type Record struct {
	Zone string `json:"zone"`
	// Epoch never decreases. Each take-over raises it, and an Update may. It serves
	// as the fencing number.
	Epoch   int64  `json:"epoch"`
	Term    int64  `json:"term"` // epoch of the holder's take-over
	Holder  Holder `json:"holder"`
	WriteID string `json:"write_id"` // unique; identifies a write whose answer was lost
	// Era is the store's era in which the record was written; 0: the store states none.
	Era int64 `json:"era,omitempty"`
	// Restoration is set if the authority was taken over in this era from a record that
	// may be older than the last one written.
	Restoration *Restoration `json:"restoration,omitempty"`
	// Payload is application data that the holder keeps. A take-over carries it
	// over unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Restoration describes the first take-over after the store has come back from an older
// copy. Payload that was written below Epoch may have been replaced before by a write
// that the store has lost.
type Restoration struct {
	AtMS  int64 `json:"at_ms"` // Unix milliseconds, by the clock of the holder
	Epoch int64 `json:"epoch"` // of the take-over
}

// Draft is the part of a Record that an Update sees; changes to Epoch and Payload
// are written.
type Draft struct {
	Epoch   int64 // may be raised, not lowered
	Holder  Holder
	Payload json.RawMessage
}

// Authority is a zone's authority as held by this process.
type Authority struct {
	Zone   string
	Term   int64 // epoch of the take-over
	Epoch  int64 // latest epoch known to be written
	Holder Holder
}

// Phase is the state of a Leaser.
type Phase string

// Phases of a Leaser.
const (
	PhaseCandidate Phase = "candidate"
	PhaseHolder    Phase = "holder"
	PhaseExpired   Phase = "expired" // not renewed in time, but the loss isn't confirmed
	PhaseStopped   Phase = "stopped" // stepped down or closed; doesn't take over again
)

// Status is a Leaser's state, for display.
type Status struct {
	Zone       string    `json:"zone"`
	Phase      Phase     `json:"phase"`
	Epoch      int64     `json:"epoch"`       // latest epoch seen
	Holder     Holder    `json:"holder"`      // latest holder seen
	ValidUntil time.Time `json:"valid_until"` // zero if not held
	LastError  string    `json:"last_error"`
}

// TakeOver returns the record with a new holder and an increased epoch. The payload
// is carried over.
func TakeOver(current Record, zone string, holder Holder, writeID string) Record {
	next := current
	next.Zone = zone
	next.Epoch = current.Epoch + 1
	next.Term = next.Epoch
	next.Holder = holder
	next.WriteID = writeID
	return next
}

// epochsPerEra exceeds the number of epochs that can be written while a copy of the store
// is made and restored.
const epochsPerEra = 1_000_000

// CarryOver returns the record of an earlier era for a take-over in a later one. Its
// epoch is higher than all epochs that the store has lost.
func CarryOver(stored Record, era int64, now time.Time) Record {
	next := stored
	next.Epoch += (era - stored.Era) * epochsPerEra
	next.Era = era
	next.Restoration = &Restoration{AtMS: now.UnixMilli(), Epoch: next.Epoch + 1}
	return next
}

// Revise returns the record as changed by edit. The holder stays the same.
func Revise(current Record, writeID string, edit func(*Draft) error) (Record, error) {
	draft := Draft{Epoch: current.Epoch, Holder: current.Holder, Payload: current.Payload}
	if err := edit(&draft); err != nil {
		return Record{}, err
	}
	if draft.Epoch < current.Epoch {
		return Record{}, fmt.Errorf("%w: epoch lowered from %d to %d", ErrInvalid, current.Epoch, draft.Epoch)
	}
	next := current
	next.Epoch = draft.Epoch
	next.Payload = draft.Payload
	next.WriteID = writeID
	return next, nil
}

// ZonesPrefix is the prefix of all zones' keys.
const ZonesPrefix = "endivemast/zones/"

// RecordKey returns the key of a zone's Record in a store that states no era, and the
// prefix of the keys in one that does.
func RecordKey(zone string) string { return ZonesPrefix + zone + "/authority" }

// eraRecordKey returns the key of a zone's Record in an era. Each era has its own: with
// one key, a holder that hasn't noticed the restoration could overwrite its successor's
// record, since the revision that it expects may have been given out again.
func eraRecordKey(zone string, era int64) string {
	if era == 0 {
		return RecordKey(zone)
	}
	return RecordKey(zone) + "/" + strconv.FormatInt(era, 10)
}

// isRecordKey reports whether a key is that of a zone's Record in any era.
func isRecordKey(zone, key string) bool {
	number, isOfEra := strings.CutPrefix(key, RecordKey(zone)+"/")
	if !isOfEra {
		return key == RecordKey(zone)
	}
	era, err := strconv.ParseInt(number, 10, 64)
	return err == nil && era > 0 && key == eraRecordKey(zone, era)
}

// LivenessKey returns the key that exists while a zone's holder renews its lease.
func LivenessKey(zone string) string { return ZonesPrefix + zone + "/holder" }
