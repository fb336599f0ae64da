// Package configurer replicates the configuration (classes and applications) to
// every entry host: an accepted change is in force on all hosts within seconds
// and never reverts.
//
// All changes form one log with consecutive revisions, so that the state at a
// revision is the same on every host. A change is committed by one
// compare-and-swap of the head document in the key-value service, which holds
// the last changes; later commits compact older changes into shard documents.
// Hosts apply changes in order, from a watch of the head document (a few hosts
// per zone) or from their peers (all hosts), and ignore revisions that they
// already have.
//
// # Usage
//
//	c, err := configurer.New(configurer.Config{
//		HostID: "entry-1", Zone: "lozenets", Store: store, Pool: pool, Logger: logger,
//	})
//	c.Register(grpcServer)
//	c.Start()
//	defer c.Close()
//
//	class, ok := c.Class("brand-7", "urgent-calls") // on the request path; no lock
//	revision, err := c.Apply(ctx, configurer.Change{
//		ChangeID: id, IfRevision: entry.Revision, Subject: configurer.ClassSubject{Class: class},
//	})
//	switch {
//	case errors.Is(err, configurer.ErrRevisionMismatch): // a RevisionMismatchError lists the differences
//	case errors.Is(err, configurer.ErrOutcomeUnknown):   // call Outcome with the change id, or retry the change
//	}
package configurer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/configurer/configurerpb"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

// Defaults of a Config.
const (
	DefaultPrefix          = "endivemast/configuration/"
	DefaultWatchersPerZone = 2
	DefaultFanout          = 2
	DefaultCompareInterval = 2 * time.Second
	DefaultReadInterval    = 5 * time.Second
	DefaultStaleAfter      = 12 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultCompactAfter    = 4
)

// Config holds the dependencies and settings of a Configurer. A field with a
// default takes it when it is zero.
type Config struct {
	HostID string
	Zone   string
	Store  provider.Store
	Pool   exchanger.Pool
	Logger hclog.Logger
	// Prefix is the key prefix of all documents; default DefaultPrefix.
	Prefix string
	// WatchersPerZone is how many hosts of a zone watch the store: those with
	// the lowest ids among the hosts that this one reaches. The number is
	// limited because an open watch counts against the store's rate limit.
	WatchersPerZone int
	// Fanout is the number of children of a host in the zone's relay tree.
	Fanout int
	// CompareInterval is the mean time between two comparisons with a peer.
	// Every third one goes to another zone.
	CompareInterval time.Duration
	// ReadInterval is the time between two reads of the head document by a
	// watching host. It bounds the delay when a watch stalls without an error.
	ReadInterval time.Duration
	// StaleAfter is the age of the last known read of the store, by any host,
	// after which this host reads the store itself.
	StaleAfter time.Duration
	// CallTimeout bounds one call of the store or of a peer.
	CallTimeout time.Duration
	// CompactAfter is how many changes the head document holds before they are
	// compacted into the shard documents.
	CompactAfter int
}

// Stats are counts since the start of the process, for metrics.
type Stats struct {
	Revision           int64
	StoreAge           time.Duration // since the last known read of the store by any host; -1: none known
	Watching           bool          // this host has a watch open
	Commits            int64         // changes accepted through this host
	RevisionMismatches int64         // changes refused because the entry had changed
	SwapConflicts      int64         // compare-and-swaps that conflicted with another host's and were retried
	UnknownOutcomes    int64         // changes that ended with an unknown outcome
	PushesSent         int64
	PushesFailed       int64
	FullStates         int64 // full states loaded from peers or from the store
	StoreRepairs       int64 // times this host wrote its newer state back into the store
	Divergences        int64 // peers or documents with a different history at the same revision
}

// counters holds the counted fields of Stats.
type counters struct {
	commits, revisionMismatches, swapConflicts, unknownOutcomes atomic.Int64
	pushesSent, pushesFailed                                    atomic.Int64
	fullStates, storeRepairs, divergences, watching             atomic.Int64
}

// Configurer holds the configuration on one host and replicates it. It
// implements Operator and Reader. All methods are safe for concurrent use.
type Configurer struct {
	configurerpb.UnimplementedConfigurerServer
	cfg           Config
	logger        hclog.Logger
	counters      counters
	started       time.Time
	state         atomic.Pointer[state]
	ready         atomic.Bool
	lastStoreRead atomic.Int64 // last known read of the store by any host, as time since started; 0: none

	commitSemaphore chan struct{} // one token; held while writing to the store
	fetchSemaphore  chan struct{} // one token; held while reading shards

	mu          sync.Mutex
	history     history
	changed     chan struct{} // closed when the next state is published
	pendingPush pendingPush
	failedCalls map[string]time.Time // by host id: time of the last call, if it failed

	pushSignal chan struct{} // signals the push loop
	cancel     context.CancelFunc
	ctx        context.Context
	group      *errgroup.Group
}

// pendingPush describes the changes to push to peers.
type pendingPush struct {
	isSet  bool
	after  int64 // changes after this revision are pushed
	source source
}

var (
	_ Operator                      = (*Configurer)(nil)
	_ Reader                        = (*Configurer)(nil)
	_ configurerpb.ConfigurerServer = (*Configurer)(nil)
)

// New makes a Configurer and starts nothing. It fails when a setting is missing
// or out of range.
func New(cfg Config) (c *Configurer, err error) {
	defer func() { err = eris.Wrap(err, "configurer") }()
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	c = &Configurer{
		cfg:             cfg,
		logger:          cfg.Logger,
		started:         time.Now(),
		commitSemaphore: make(chan struct{}, 1),
		fetchSemaphore:  make(chan struct{}, 1),
		changed:         make(chan struct{}),
		failedCalls:     make(map[string]time.Time),
		pushSignal:      make(chan struct{}, 1),
		cancel:          cancel,
		ctx:             ctx,
		group:           group,
	}
	c.state.Store(newState())
	return c, nil
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Prefix, DefaultPrefix)
	setDefault(&cfg.WatchersPerZone, DefaultWatchersPerZone)
	setDefault(&cfg.Fanout, DefaultFanout)
	setDefault(&cfg.CompareInterval, DefaultCompareInterval)
	setDefault(&cfg.ReadInterval, DefaultReadInterval)
	setDefault(&cfg.StaleAfter, DefaultStaleAfter)
	setDefault(&cfg.CallTimeout, DefaultCallTimeout)
	setDefault(&cfg.CompactAfter, DefaultCompactAfter)
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return cfg
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

func (cfg Config) check() error {
	if cfg.HostID == "" || cfg.Zone == "" {
		return fmt.Errorf("host id %q and zone %q: both are required", cfg.HostID, cfg.Zone)
	}
	if cfg.Store == nil || cfg.Pool == nil {
		return errors.New("store and pool are required")
	}
	if cfg.WatchersPerZone < 1 || cfg.Fanout < 1 || cfg.CompactAfter < 1 {
		return fmt.Errorf("watchers per zone %d, fanout %d, compact after %d: accepted is 1 or more",
			cfg.WatchersPerZone, cfg.Fanout, cfg.CompactAfter)
	}
	for _, d := range []time.Duration{cfg.CompareInterval, cfg.ReadInterval, cfg.StaleAfter, cfg.CallTimeout} {
		if d <= 0 {
			return fmt.Errorf("interval %v: accepted is more than 0", d)
		}
	}
	return nil
}

// Register adds the peer protocol's service to a gRPC server.
func (c *Configurer) Register(registrar grpc.ServiceRegistrar) {
	configurerpb.RegisterConfigurerServer(registrar, c)
}

// Start starts replication in the background. Ready reports when a
// configuration is in force.
func (c *Configurer) Start() {
	c.group.Go(c.runStart)
	c.group.Go(c.runWatch)
	c.group.Go(c.runCompare)
	c.group.Go(c.runPush)
}

// Close stops replication and waits for it to end. The configuration stays
// readable.
func (c *Configurer) Close() error {
	c.cancel()
	return c.group.Wait()
}

// Class implements Reader.
func (c *Configurer) Class(tenant, name string) (class Class, ok bool) {
	entry, ok := c.state.Load().shards[shardOf(tenant)].classes[classKey{tenant, name}]
	if !ok {
		return Class{}, false
	}
	return entry.Class, true
}

// Application implements Reader.
func (c *Configurer) Application(name string) (application Application, ok bool) {
	entry, ok := c.state.Load().shards[applicationShard].applications[name]
	return entry.Application, ok
}

// Revision implements Reader. All changes up to it are in force, and none after.
func (c *Configurer) Revision() int64 { return c.state.Load().revision }

// Ready implements Reader. It becomes true once the configuration was read from
// the store or from a peer that had it.
func (c *Configurer) Ready() bool { return c.ready.Load() }

// WaitRevision waits until a revision is in force on this host.
func (c *Configurer) WaitRevision(ctx context.Context, revision int64) (err error) {
	defer func() { err = eris.Wrapf(err, "wait for configuration revision %d", revision) }()
	for {
		c.mu.Lock()
		reached, changed := c.Revision() >= revision, c.changed
		c.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Classes implements Operator. The classes are sorted by tenant and name.
func (c *Configurer) Classes(tenant string) []ClassEntry {
	st := c.state.Load()
	if tenant != "" {
		entries := st.shards[shardOf(tenant)].classEntries()
		return slices.DeleteFunc(entries, func(entry ClassEntry) bool { return entry.Class.Tenant != tenant })
	}
	var entries []ClassEntry
	for _, s := range st.shards {
		entries = append(entries, s.classEntries()...)
	}
	sortClasses(entries)
	return entries
}

// Applications implements Operator. They are sorted by name.
func (c *Configurer) Applications() []ApplicationEntry {
	return c.state.Load().shards[applicationShard].applicationEntries()
}

// Stats returns the counts so far.
func (c *Configurer) Stats() Stats {
	return Stats{
		Revision:           c.Revision(),
		StoreAge:           c.storeAge(),
		Watching:           c.counters.watching.Load() > 0,
		Commits:            c.counters.commits.Load(),
		RevisionMismatches: c.counters.revisionMismatches.Load(),
		SwapConflicts:      c.counters.swapConflicts.Load(),
		UnknownOutcomes:    c.counters.unknownOutcomes.Load(),
		PushesSent:         c.counters.pushesSent.Load(),
		PushesFailed:       c.counters.pushesFailed.Load(),
		FullStates:         c.counters.fullStates.Load(),
		StoreRepairs:       c.counters.storeRepairs.Load(),
		Divergences:        c.counters.divergences.Load(),
	}
}
