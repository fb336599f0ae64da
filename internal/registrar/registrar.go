// Package registrar maintains this host's entry in the platform's store under a
// lease, and the list of all hosts that have one. Hosts whose settings name no
// peers discover one another through it.
//
// The list survives an outage of the store: entries whose expiry the follower
// can't observe are kept, and package exchanger keeps a peer that still sends
// messages, whatever the store contains.
//
// # Usage
//
//	r := registrar.New(registrar.Config{Store: store, Own: registrar.Host{...}, ...})
//	group.Go(func() error { return r.Run(ctx) })
//	err = r.Close()
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
)

const (
	// Prefix is the key prefix of all hosts' entries; the host id follows.
	Prefix = "endivemast/hosts/"
	// DefaultTTL is the TTL of a host's lease. Peers detect an unreachable host much sooner
	// themselves; the lease only removes its entry.
	DefaultTTL = 9 * time.Second
	// renewFraction is the fraction of its TTL after which a lease is renewed. The rest is
	// left for retries, about seven at the default TTL.
	renewFraction = 0.6
	// retryInterval is the mean time until a failed write is retried, with jitter. Half of it is the shortest time
	// between two checks of this host's entry.
	retryInterval = 500 * time.Millisecond
	// maxStartUptime is the uptime up to which an entry is the first one of its process. A
	// process writes it again much later if the store has lost it.
	maxStartUptime = 2 * time.Second
	// observeStarts is how long after its own start a host records which others have started.
	// Its first requests wait for their answers at most some tenths of a second.
	observeStarts = 10 * time.Second
	// closeTimeout bounds the removal of the entry on a planned shutdown.
	closeTimeout = time.Second
)

// Host is the content of an entry host's entry.
type Host struct {
	HostID      string `json:"host_id"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"` // IP and port of the peer protocol
	// ProcessorShare is the number of cores of the host; 0: unknown.
	ProcessorShare float64 `json:"processor_share,omitempty"`
	// UptimeMS is how long the host had been running when it wrote the entry; 0: not known,
	// since the host runs an older build.
	UptimeMS int64 `json:"uptime_ms,omitempty"`
}

// Config configures a Registrar.
type Config struct {
	Store provider.Store
	Own   Host
	TTL   time.Duration // 0: DefaultTTL
	// OnChange is called with the other hosts after each change.
	OnChange func(peers []Host)
	Logger   hclog.Logger
}

// Registrar maintains this host's entry and the list of hosts. It implements follower.Sink.
type Registrar struct {
	cfg Config

	createdAt time.Time

	renewNow chan struct{}
	listed   chan struct{} // closed once the other hosts are known
	listOnce sync.Once

	mu    sync.Mutex
	hosts map[string]Host // the other hosts, by id
	lease provider.LeaseID
	// isReplaced is true while the store holds an invalid entry under this host's key.
	isReplaced bool
	// starts holds a context for each host whose start is observed. It ends when the host has
	// started again after it was first listed.
	starts map[string]start
}

type start struct {
	ctx context.Context
	end context.CancelFunc
}

// New creates a Registrar.
func New(cfg Config) *Registrar {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	return &Registrar{cfg: cfg, createdAt: time.Now(), starts: map[string]start{}, renewNow: make(chan struct{}, 1), listed: make(chan struct{}), hosts: map[string]Host{}}
}

// Run maintains the entry until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := time.Duration(float64(r.cfg.TTL) * renewFraction)
		if err := r.renewOrWrite(ctx); err != nil {
			if ctx.Err() == nil {
				r.cfg.Logger.Debug("can't write or renew own host entry", "error", err)
			}
			pause = retryInterval/2 + rand.N(retryInterval)
		}
		r.wait(ctx, pause)
	}
	return nil
}

// wait waits until the entry has to be checked, after pause at the latest. Another writer may replace it all the
// time, and calls of the store are limited.
func (r *Registrar) wait(ctx context.Context, pause time.Duration) {
	atLeast, atMost := time.NewTimer(retryInterval/2), time.NewTimer(pause)
	defer atLeast.Stop()
	defer atMost.Stop()
	select {
	case <-ctx.Done():
		return
	case <-atLeast.C:
	}
	select {
	case <-ctx.Done():
	case <-atMost.C:
	case <-r.renewNow:
	}
}

// StoreRegained makes Run check the entry immediately, because its lease may have expired
// while the store was unreachable.
func (r *Registrar) StoreRegained() {
	select {
	case r.renewNow <- struct{}{}:
	default:
	}
}

// renewOrWrite renews the lease, or writes the entry again if there is no lease.
func (r *Registrar) renewOrWrite(ctx context.Context) error {
	lease := r.currentLease()
	if lease != provider.NoLease && r.takeReplaced() {
		r.setLease(provider.NoLease)
		r.cfg.Logger.Warn("own entry was replaced by an invalid one; writing it again", "lease", lease)
	} else if lease != provider.NoLease {
		err := r.cfg.Store.Renew(ctx, lease)
		if !errors.Is(err, provider.ErrLeaseLost) {
			return err
		}
		r.setLease(provider.NoLease)
		r.cfg.Logger.Info("own entry lapsed; writing it again", "lease", lease)
	}
	return r.write(ctx)
}

// takeReplaced returns and resets isReplaced.
func (r *Registrar) takeReplaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isReplaced := r.isReplaced
	r.isReplaced = false
	return isReplaced
}

func (r *Registrar) write(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "write own host entry") }()
	own := r.cfg.Own
	own.UptimeMS = max(time.Since(r.createdAt).Milliseconds(), 1)
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	lease, err := r.cfg.Store.Grant(ctx, r.cfg.TTL)
	if err != nil {
		return err
	}
	write := provider.Write{Key: Prefix + r.cfg.Own.HostID, Value: value, Lease: lease}
	_, err = r.cfg.Store.Swap(ctx, write)
	if errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrOutcomeUnknown) {
		// The entry of this host's previous process, or the write whose outcome is unknown.
		entry, getErr := r.cfg.Store.Get(ctx, write.Key)
		if getErr != nil && !errors.Is(getErr, provider.ErrNotFound) {
			return getErr
		}
		write.IfRevision = entry.Revision
		_, err = r.cfg.Store.Swap(ctx, write)
	}
	if err != nil {
		return err
	}
	r.setLease(lease)
	r.cfg.Logger.Info("own host entry written", "lease", lease)
	return nil
}

func (r *Registrar) currentLease() provider.LeaseID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

func (r *Registrar) setLease(lease provider.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
}

// Close tries to remove this host's entry. Call it after Run has returned.
func (r *Registrar) Close() error {
	lease := r.currentLease()
	if lease == provider.NoLease {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := r.cfg.Store.Revoke(ctx, lease); err != nil {
		r.cfg.Logger.Debug("can't remove own host entry; it is removed when its lease expires", "error", err)
	}
	return nil
}

// Replace implements follower.Sink.
func (r *Registrar) Replace(entries []provider.Entry, _ provider.Period, _ time.Time) {
	r.mu.Lock()
	r.hosts = map[string]Host{}
	hasOwn := false
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Key, Prefix) {
			r.cfg.Logger.Error("entry of another key ignored", "key", entry.Key, "revision", entry.Revision)
			continue
		}
		hasOwn = hasOwn || r.isOwn(entry)
		r.putLocked(entry)
	}
	r.mu.Unlock()
	if !hasOwn {
		r.StoreRegained() // not written yet, removed meanwhile, or that of an earlier process
	}
	r.publish()
	r.listOnce.Do(func() { close(r.listed) })
}

// Apply implements follower.Sink.
func (r *Registrar) Apply(change provider.Change, _ time.Time) {
	r.mu.Lock()
	if change.Deleted {
		hostID := change.Entry.Key[len(Prefix):]
		delete(r.hosts, hostID)
		if hostID == r.cfg.Own.HostID {
			r.StoreRegained() // the store has removed it because its lease expired
		}
	} else {
		r.putLocked(change.Entry)
		r.markStartLocked(change.Entry)
	}
	r.mu.Unlock()
	r.publish()
}

// isOwn reports whether an entry is that of this process.
func (r *Registrar) isOwn(entry provider.Entry) bool {
	if entry.Key != Prefix+r.cfg.Own.HostID {
		return false
	}
	host, err := decodeHost(r.cfg.Own.HostID, entry.Value)
	return err == nil && host.Incarnation == r.cfg.Own.Incarnation
}

func (r *Registrar) putLocked(entry provider.Entry) {
	hostID := entry.Key[len(Prefix):]
	host, err := decodeHost(hostID, entry.Value)
	if hostID == r.cfg.Own.HostID {
		// A valid one is of this process, or of another one of this host.
		if r.isReplaced = err != nil; r.isReplaced {
			r.StoreRegained()
		}
		return
	}
	if err != nil {
		r.cfg.Logger.Error("invalid entry of another host ignored", "key", entry.Key, "revision", entry.Revision, "error", err)
		delete(r.hosts, hostID)
		return
	}
	r.hosts[hostID] = host
}

// markStartLocked handles an entry that was written after the hosts were first listed.
func (r *Registrar) markStartLocked(entry provider.Entry) {
	hostID := entry.Key[len(Prefix):]
	if time.Since(r.createdAt) > observeStarts {
		return
	}
	if host, ok := r.hosts[hostID]; ok && host.UptimeMS > 0 && host.UptimeMS <= maxStartUptime.Milliseconds() {
		r.startLocked(hostID).end()
	}
}

// Started returns a context that ends once a host is known to have started after the hosts were
// first listed. Entries of older builds don't show that.
func (r *Registrar) Started(hostID string) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startLocked(hostID).ctx
}

func (r *Registrar) startLocked(hostID string) start {
	s, ok := r.starts[hostID]
	if !ok {
		s.ctx, s.end = context.WithCancel(context.Background())
		r.starts[hostID] = s
	}
	return s
}

// errInvalidEntry reports an entry that no host has written.
var errInvalidEntry = errors.New("not a valid host entry")

func decodeHost(hostID string, value []byte) (host Host, err error) {
	if err := json.Unmarshal(value, &host); err != nil {
		return Host{}, err
	}
	if _, err := netip.ParseAddrPort(host.Address); err != nil || host.HostID != hostID || host.Zone == "" || host.Incarnation == "" {
		return Host{}, errors.Join(errInvalidEntry, err)
	}
	return host, nil
}

// Listed is closed once the other hosts are known.
func (r *Registrar) Listed() <-chan struct{} { return r.listed }

// Peers returns the other hosts.
func (r *Registrar) Peers() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]Host, 0, len(r.hosts))
	for _, host := range r.hosts {
		hosts = append(hosts, host)
	}
	return hosts
}

func (r *Registrar) publish() { r.cfg.OnChange(r.Peers()) }
