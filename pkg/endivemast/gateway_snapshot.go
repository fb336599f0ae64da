package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// How a Gateway's host takes the configuration that the store tells.

// snapshotSink puts each configuration in force that the store tells.
type snapshotSink struct{ gateway *Gateway }

// Replace implements follower.Sink.
func (s *snapshotSink) Replace(entries []provider.Entry, _ time.Time) {
	for _, entry := range entries {
		s.install(entry)
	}
}

// Apply implements follower.Sink. A configuration that is removed stays in force.
func (s *snapshotSink) Apply(change provider.Change, _ time.Time) {
	if !change.Deleted {
		s.install(change.Entry)
	}
}

func (s *snapshotSink) install(entry provider.Entry) {
	g := s.gateway
	if entry.Key != g.cfg.ConfigurationKey {
		return
	}
	snapshot, err := g.cfg.DecodeSnapshot(entry.Value)
	if err != nil {
		g.cfg.Logger.Error("configuration not understood; the one before stays in force", "error", err,
			"revision", entry.Revision, "version", g.classifier.Revision())
		return
	}
	if g.classifier.Install(snapshot) {
		g.cfg.Logger.Info("configuration in force", "version", snapshot.Version, "revision", entry.Revision,
			"rules", len(snapshot.Rules), "applications", len(snapshot.Applications))
	}
}
