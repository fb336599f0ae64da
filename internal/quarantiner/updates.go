package quarantiner

import (
	"time"

	"github.com/endivemast/endivemast/internal/exchanger"
)

// Updates take the same routes as loads (package exchanger): a host sends its own to all
// hosts or, in large zones, to its hubs, which relay them. An update may arrive twice or
// by two routes; only what is new is relayed.

func crashUpdate(process Process, at time.Time, runs []run) exchanger.CrashUpdate {
	update := exchanger.CrashUpdate{EndpointID: process.EndpointID, Incarnation: process.Incarnation, At: at}
	for _, run := range runs {
		update.Runs = append(update.Runs, exchanger.CrashRun{
			RequestFingerprint: exchanger.RequestFingerprint{Fingerprint: run.fingerprint, Key: uint64(run.key), Part: partOf(run.depth)}, SinceSend: at.Sub(run.sentAt),
		})
	}
	return update
}

func quarantineOf(fingerprint Fingerprint, r *record) exchanger.Quarantine {
	return exchanger.Quarantine{RequestFingerprint: exchanger.RequestFingerprint{Fingerprint: fingerprint, Key: uint64(r.key), Part: partOf(r.depth)}, Until: r.until, Pause: r.pause}
}

func fingerprintStrings(runs []run) (values []string) {
	for _, run := range runs {
		values = append(values, run.fingerprint.String())
	}
	return values
}

// Updates implements exchanger.Crashes.
func (q *Quarantiner) Updates(after uint64, scope exchanger.Scope) (updates []exchanger.CrashUpdate, position uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if updates, ok := q.log.Since(after, scope); ok {
		return updates, q.log.Head()
	}
	return q.snapshotLocked(), q.log.Head()
}

// snapshotLocked returns all quarantines, crashes and successful runs, from whichever host, for a
// peer that has just started or missed updates. The hosts that first sent them may no longer run.
func (q *Quarantiner) snapshotLocked() (updates []exchanger.CrashUpdate) {
	var quarantines []exchanger.Quarantine
	for fingerprint, r := range q.table.quarantined {
		quarantines = append(quarantines, quarantineOf(fingerprint, r))
	}
	if len(quarantines) > 0 {
		updates = append(updates, exchanger.CrashUpdate{At: q.cfg.Now(), Quarantines: quarantines})
	}
	for fingerprint, r := range q.table.records {
		if !r.succeededAt.IsZero() {
			updates = append(updates, exchanger.CrashUpdate{At: r.succeededAt, Cleared: [][16]byte{fingerprint}})
		}
	}
	for _, c := range q.table.byArrival {
		var runs []run
		for fingerprint, sentAt := range c.runs {
			if r := q.table.records[fingerprint]; r != nil && c.at.After(r.succeededAt) {
				runs = append(runs, run{suspect: suspect{fingerprint, r.key, r.depth}, sentAt: sentAt})
			}
		}
		updates = append(updates, crashUpdate(c.process, c.at, runs))
	}
	return updates
}

// Merge implements exchanger.Crashes.
func (q *Quarantiner) Merge(updates []exchanger.CrashUpdate, isOwnZone bool) {
	origin := exchanger.ScopeAll
	if isOwnZone {
		origin = exchanger.ScopeZone
	}
	q.mu.Lock()
	for i := range updates {
		q.mergeLocked(&updates[i], origin)
	}
	q.mu.Unlock()
}

func (q *Quarantiner) mergeLocked(update *exchanger.CrashUpdate, origin exchanger.Scope) {
	if update.EndpointID != "" {
		process := Process{EndpointID: update.EndpointID, Incarnation: update.Incarnation}
		runs := make([]run, 0, len(update.Runs))
		for _, r := range update.Runs {
			runs = append(runs, run{suspect: suspectOf(&r.RequestFingerprint), sentAt: update.At.Add(-r.SinceSend)})
		}
		q.addCrashLocked(process, update.At, runs, origin)
		q.processExitedLocked(process) // this host's runs there were interrupted for the same reason
	}
	for _, fingerprint := range update.Cleared {
		q.clearLocked(Fingerprint(fingerprint), update.At, origin)
	}
	for i := range update.Quarantines {
		q.adoptLocked(&update.Quarantines[i], origin)
	}
}

func suspectOf(remote *exchanger.RequestFingerprint) suspect {
	depth := wholeRequest
	if remote.Part > 0 {
		depth = remote.Part - 1
	}
	return suspect{fingerprint: Fingerprint(remote.Fingerprint), key: key(remote.Key), depth: depth}
}

// partOf returns the position of a part as peers send it.
func partOf(depth int) int {
	if depth == wholeRequest {
		return 0
	}
	return depth + 1
}

// adoptLocked applies a peer's quarantine: a new one, a trial, or a longer pause.
func (q *Quarantiner) adoptLocked(remote *exchanger.Quarantine, origin exchanger.Scope) {
	fingerprint := Fingerprint(remote.Fingerprint)
	lastCrash := remote.Until.Add(-remote.Pause)
	if at, ok := q.table.releasedAt[fingerprint]; ok && !lastCrash.After(at) {
		return // it has succeeded since
	}
	s := suspectOf(&remote.RequestFingerprint)
	r := q.table.record(&s)
	if !remote.Until.After(r.until) {
		return
	}
	if !r.isQuarantined() {
		q.isNotifyDue = true
		q.cfg.Logger.Warn("request quarantined by a peer: endpoints crash that run it", "request_name", fingerprint.String(), "is_part", r.isPart(),
			"retry_in_ms", remote.Until.Sub(q.cfg.Now()).Milliseconds())
	}
	r.until, r.pause = remote.Until, max(remote.Pause, r.pause)
	q.table.quarantined[fingerprint] = r
	q.log.Add(exchanger.CrashUpdate{At: q.cfg.Now(), Quarantines: []exchanger.Quarantine{quarantineOf(fingerprint, r)}}, origin)
	q.recordCount.Store(int64(len(q.table.records)))
}
