package exchanger

import (
	"time"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

const (
	// maxCrashFingerprints bounds the request fingerprints in one message, at about 35 bytes
	// each: 9 KB. Some tens of requests run on an engine when it crashes.
	maxCrashFingerprints = 256
	// maxUpdateAge bounds the ages in messages. Older updates are not kept anywhere, and a
	// huge age would overflow.
	maxUpdateAge = time.Hour
)

// countCrashFingerprints returns the number of fingerprints in an update, plus one for the
// update itself.
func countCrashFingerprints(update *CrashUpdate) int {
	return 1 + len(update.Runs) + len(update.Cleared) + len(update.Quarantines)
}

// crashesToMessage sends ages instead of times because hosts' clocks differ.
func crashesToMessage(updates []CrashUpdate, now time.Time) []*exchangerpb.CrashUpdate {
	messages := make([]*exchangerpb.CrashUpdate, 0, len(updates))
	for i := range updates {
		update := &updates[i]
		message := &exchangerpb.CrashUpdate{
			EndpointId: update.EndpointID, Incarnation: update.Incarnation, AgeMs: now.Sub(update.At).Milliseconds(),
		}
		for _, run := range update.Runs {
			message.Runs = append(message.Runs, &exchangerpb.CrashRun{Name: run.Fingerprint[:], Key: run.Key, TookMs: run.SinceSend.Milliseconds(), Part: int32(run.Part)})
		}
		for _, fingerprint := range update.Cleared {
			message.Cleared = append(message.Cleared, fingerprint[:])
		}
		for _, q := range update.Quarantines {
			message.Quarantines = append(message.Quarantines, &exchangerpb.Quarantine{
				Name: q.Fingerprint[:], Key: q.Key, Part: int32(q.Part), LeftMs: q.Until.Sub(now).Milliseconds(), PauseMs: q.Pause.Milliseconds(),
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// partFromMessage bounds the position of a part.
func partFromMessage(part int32) int { return int(max(part, 0)) }

// crashesFromMessage converts a message's updates. Fingerprints of a wrong length are skipped;
// the rest of the message is used.
func (ex *Exchanger) crashesFromMessage(message *exchangerpb.PeerUpdate, now time.Time) []CrashUpdate {
	updates := make([]CrashUpdate, 0, len(message.GetCrashes()))
	skipped := 0
	parse := func(value []byte) (fingerprint [16]byte, ok bool) {
		if len(value) != len(fingerprint) {
			skipped++
			return fingerprint, false
		}
		return [16]byte(value), true
	}
	for _, m := range message.GetCrashes() {
		update := CrashUpdate{EndpointID: m.GetEndpointId(), Incarnation: m.GetIncarnation(), At: now.Add(-ageFromMillis(m.GetAgeMs()))}
		for _, run := range m.GetRuns() {
			if fingerprint, ok := parse(run.GetName()); ok {
				update.Runs = append(update.Runs, CrashRun{RequestFingerprint{fingerprint, run.GetKey(), partFromMessage(run.GetPart())}, ageFromMillis(run.GetTookMs())})
			}
		}
		for _, value := range m.GetCleared() {
			if fingerprint, ok := parse(value); ok {
				update.Cleared = append(update.Cleared, fingerprint)
			}
		}
		for _, q := range m.GetQuarantines() {
			if fingerprint, ok := parse(q.GetName()); ok {
				update.Quarantines = append(update.Quarantines, Quarantine{
					RequestFingerprint: RequestFingerprint{fingerprint, q.GetKey(), partFromMessage(q.GetPart())}, Until: now.Add(durationFromMillis(q.GetLeftMs())), Pause: ageFromMillis(q.GetPauseMs()),
				})
			}
		}
		updates = append(updates, update)
	}
	if skipped > 0 {
		ex.cfg.Logger.Warn("ignored request fingerprints of wrong length", "host_id", message.GetHostId(), "fingerprints", skipped)
	}
	return updates
}

// ageFromMillis converts an elapsed time in milliseconds to [0, maxUpdateAge].
func ageFromMillis(ms int64) time.Duration { return max(durationFromMillis(ms), 0) }

// durationFromMillis converts a remaining time in milliseconds, negative if it has passed, to
// [-maxUpdateAge, maxUpdateAge].
func durationFromMillis(ms int64) time.Duration {
	maxMillis := maxUpdateAge.Milliseconds()
	return time.Duration(min(max(ms, -maxMillis), maxMillis)) * time.Millisecond
}
