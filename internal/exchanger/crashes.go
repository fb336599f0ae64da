package exchanger

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	// maxCrashFingerprints bounds the request fingerprints in one message, at about 35 bytes
	// each: 9 KB. Some tens of requests run on an engine when it crashes.
	maxCrashFingerprints = 256
	// maxUpdateAge bounds the ages in messages. Older updates are not kept anywhere, and a
	// huge age would overflow.
	maxUpdateAge = time.Hour
	// maxSnapshotFingerprints bounds the request fingerprints in the reply to a host that has just
	// started: 300 KB.
	maxSnapshotFingerprints = 8192
	// maxAskedForCrashes bounds the peers that such a host asks.
	maxAskedForCrashes = 8
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

// Crashes implements exchangerpb.ExchangeServer: it returns what this host knows of requests that
// crash endpoints.
func (ex *Exchanger) Crashes(context.Context, *exchangerpb.CrashesRequest) (*exchangerpb.CrashesReply, error) {
	if ex.cfg.Crashes == nil {
		return &exchangerpb.CrashesReply{}, nil
	}
	updates, isComplete := ex.cfg.Crashes.Snapshot()
	fingerprints := 0
	for n := range updates {
		if fingerprints += countCrashFingerprints(&updates[n]); fingerprints > maxSnapshotFingerprints {
			updates = updates[:n]
			break
		}
	}
	return &exchangerpb.CrashesReply{Complete: isComplete, Crashes: crashesToMessage(updates, ex.cfg.Clock())}, nil
}

// FetchCrashes requests from peers what they know of requests that crash endpoints, and merges it. It
// returns once a peer has sent all, or none of those that answer knows more; it fails if ctx ends before.
// A peer is not waited for once the context that started returns for it has ended: it has just started.
func (ex *Exchanger) FetchCrashes(ctx context.Context, started func(hostID string) context.Context) error {
	peers := ex.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxAskedForCrashes)]
	asking, cancel := context.WithCancel(ctx)
	replies := make(chan *exchangerpb.CrashesReply, len(peers)) // nil: no answer
	var group errgroup.Group
	for _, peer := range peers {
		group.Go(func() error {
			asking, cancel := context.WithCancel(asking)
			defer cancel()
			defer context.AfterFunc(started(peer.HostID), cancel)()
			reply, err := ex.askForCrashes(asking, peer)
			if err != nil {
				ex.cfg.Logger.Debug("peer does not answer what it knows of crashes", "host_id", peer.HostID, "error", err)
			}
			replies <- reply
			return nil
		})
	}
	defer func() {
		cancel()
		_ = group.Wait() // the calls return no error
	}()
	for range peers {
		reply := <-replies
		ex.cfg.Crashes.Merge(ex.crashesFromMessage(&exchangerpb.PeerUpdate{Crashes: reply.GetCrashes()}, ex.cfg.Clock()), false)
		if reply.GetComplete() {
			return nil
		}
	}
	return ctx.Err()
}

// askForCrashes requests from one peer what it knows; the reply is nil if it fails.
func (ex *Exchanger) askForCrashes(ctx context.Context, peer Peer) (reply *exchangerpb.CrashesReply, err error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, updateTimeout)
	defer cancel()
	conn, err := ex.Conn(peer.HostID)
	if err != nil {
		return nil, err
	}
	if reply, err = exchangerpb.NewExchangeClient(conn).Crashes(ctx, &exchangerpb.CrashesRequest{}); err != nil {
		return nil, err
	}
	return reply, nil
}
