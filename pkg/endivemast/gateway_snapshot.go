package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// How a Gateway installs the configuration from the store, or from a peer if the store has
// lost it.

const (
	// lostConfigurationInterval is how often a host checks whether a peer has a
	// configuration that the store has lost. If two checks in a row find one, it is
	// fetched: the host's own watch may be about to deliver it.
	lostConfigurationInterval = 500 * time.Millisecond
	// configurationFetchTimeout limits a fetch. A configuration of 430 KB takes 0.35 s on a
	// link of 10 Mbit/s.
	configurationFetchTimeout = time.Second
)

// snapshotSink installs each configuration that the store delivers.
type snapshotSink struct {
	gateway *Gateway
	// isLastReadInForce is false if the last read contained a configuration that could not be
	// installed. The follower calls the methods that use it one at a time.
	isLastReadInForce bool
}

// Replace implements follower.Sink.
func (s *snapshotSink) Replace(entries []provider.Entry, _ provider.Period, _ time.Time) {
	s.isLastReadInForce = true
	before := s.gateway.classifier.Revision()
	defer func() { s.gateway.recordMissedClasses(before) }()
	for _, entry := range entries {
		if !s.installOrLog(entry) {
			s.isLastReadInForce = false
		}
	}
}

// onRead uses the linearizable read that Replace was just called with as a proof that the
// configuration in force was the newest one when the read was requested. A host that starts needs
// no second read for its first proof.
func (s *snapshotSink) onRead(revision int64, requested time.Time) {
	if s.isLastReadInForce {
		s.gateway.addReadProof(revision, requested)
	}
}

// Apply implements follower.Sink. A deleted configuration stays in force.
func (s *snapshotSink) Apply(change provider.Change, _ time.Time) {
	if !change.Deleted {
		_ = s.installOrLog(change.Entry)
	}
}

// installOrLog returns whether this configuration or a later one is in force.
func (s *snapshotSink) installOrLog(entry provider.Entry) (isInForce bool) {
	if entry.Key != s.gateway.cfg.ConfigurationKey {
		return true
	}
	version, err := s.install(entry)
	if err != nil {
		s.gateway.cfg.Logger.Error("configuration not decodable; the previous one stays in force", "error", err,
			"revision", entry.Revision, "version", s.gateway.classifier.Revision())
		return false
	}
	return s.gateway.classifier.Revision() >= version
}

// install installs a configuration unless a later one is in force, and returns its
// version.
func (s *snapshotSink) install(entry provider.Entry) (version int64, err error) {
	g := s.gateway
	snapshot, err := g.cfg.DecodeSnapshot(entry.Value)
	if err != nil {
		return 0, err
	}
	g.installMu.Lock()
	defer g.installMu.Unlock()
	if !g.classifier.Install(snapshot) {
		if inForce := g.classifier.Revision(); snapshot.Version < inForce {
			g.cfg.Logger.Info("older configuration ignored", "version", snapshot.Version, "version_in_force", inForce, "revision", entry.Revision)
			g.setStreamClasses(g.classifier.Current(), snapshot)
		}
		return snapshot.Version, nil
	}
	g.installed.Store(&entry)
	g.setStreamClasses(snapshot, nil)
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

// recordMissedClasses takes account of a configuration that was read rather than received as a change.
// There may have been others between it and the version that was in force before.
func (g *Gateway) recordMissedClasses(before int64) {
	if before != 0 && g.classifier.Revision() != before {
		g.streams.ClassesMissed()
	}
}

// installedConfiguration returns the entry of the configuration in force.
func (g *Gateway) installedConfiguration() (entry provider.Entry, ok bool) {
	installed := g.installed.Load()
	if installed == nil {
		return provider.Entry{}, false
	}
	return *installed, true
}

// fetchLostConfigurations installs configurations that peers have in force and the store
// has lost, until the host is closed.
func (g *Gateway) fetchLostConfigurations() error {
	ticker := time.NewTicker(lostConfigurationInterval)
	defer ticker.Stop()
	for wasLost := false; ; {
		select {
		case <-g.ctx.Done():
			return nil
		case <-ticker.C:
		}
		isLost := g.follower.HasSynced() && g.relayer.IsConfigurationLost(g.classifier.Revision())
		if isLost && wasLost {
			g.fetchLostConfiguration()
		}
		wasLost = isLost
	}
}

func (g *Gateway) fetchLostConfiguration() {
	ctx, cancel := timekeeper.WithTimeout(g.ctx, configurationFetchTimeout)
	defer cancel()
	before := g.classifier.Revision()
	entry, err := g.relayer.FetchLostConfiguration(ctx, before)
	if err == nil && entry.Key == g.cfg.ConfigurationKey {
		_, err = (&snapshotSink{gateway: g}).install(entry)
	}
	if err != nil {
		g.cfg.Logger.Warn("configuration that the store has lost not fetched", "error", err, "version", before)
		return
	}
	g.recordMissedClasses(before)
	g.cfg.Logger.Info("fetched a configuration that the store has lost", "version", g.classifier.Revision(), "version_before", before)
}
