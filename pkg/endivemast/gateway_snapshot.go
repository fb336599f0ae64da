package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// How a Gateway installs the configuration from the store.

// snapshotSink installs each configuration that the store delivers.
type snapshotSink struct{ gateway *Gateway }

// Replace implements follower.Sink.
func (s *snapshotSink) Replace(entries []provider.Entry, _ time.Time) {
	for _, entry := range entries {
		s.installOrLog(entry)
	}
}

// Apply implements follower.Sink. A deleted configuration stays in force.
func (s *snapshotSink) Apply(change provider.Change, _ time.Time) {
	if !change.Deleted {
		s.installOrLog(change.Entry)
	}
}

func (s *snapshotSink) installOrLog(entry provider.Entry) {
	if entry.Key != s.gateway.cfg.ConfigurationKey {
		return
	}
	if _, err := s.install(entry); err != nil {
		s.gateway.cfg.Logger.Error("configuration not decodable; the previous one stays in force", "error", err,
			"revision", entry.Revision, "version", s.gateway.classifier.Revision())
	}
}

// install installs a configuration unless a later one is in force, and returns its
// version.
func (s *snapshotSink) install(entry provider.Entry) (version int64, err error) {
	g := s.gateway
	snapshot, err := g.cfg.DecodeSnapshot(entry.Value)
	if err != nil {
		return 0, err
	}
	if !g.classifier.Install(snapshot) {
		if inForce := g.classifier.Revision(); snapshot.Version < inForce {
			g.cfg.Logger.Info("older configuration ignored", "version", snapshot.Version, "version_in_force", inForce, "revision", entry.Revision)
		}
		return snapshot.Version, nil
	}
	fields := []any{
		"version", snapshot.Version, "revision", entry.Revision,
		"rules", len(snapshot.Rules), "applications", len(snapshot.Applications),
	}
	if snapshot.Tenants != nil {
		fields = append(fields, "tenants", snapshot.Tenants.Tenants(), "keys", snapshot.Tenants.Keys())
	}
	g.cfg.Logger.Info("configuration in force", fields...)
	for _, problem := range snapshot.Problems {
		g.cfg.Logger.Warn("part of the configuration ignored", "version", snapshot.Version, "problem", problem)
	}
	return snapshot.Version, nil
}
