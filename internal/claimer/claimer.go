package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Defaults of a Config.
const (
	DefaultRetention       = time.Hour
	DefaultTicketRetention = 15 * time.Minute
	DefaultMaxAnswerBytes  = 1 << 10
	DefaultMaxTickets      = 20_000
	DefaultStoreTimeout    = time.Second
	DefaultPeerTimeout     = 250 * time.Millisecond
	DefaultCommitInterval  = 250 * time.Millisecond
	DefaultTick            = time.Second
)

const (
	minSecretBytes = 16
	maxKeyBytes    = 1 << 10
)

// Config is what a KeyClaimer is made from. All hosts need the same Secret and
// the same retentions. Zero values of the lower part mean the defaults.
type Config struct {
	HostID      string
	Incarnation string // differs after each restart
	Zone        string
	Store       provider.Store
	Pool        exchanger.Pool
	Secret      []byte // authenticates tickets; at least 16 bytes
	Logger      hclog.Logger

	// Retention is how long claims of callers' own keys are kept. A repeat
	// after it counts as a fresh call. It must exceed the longest time for
	// which callers repeat and the longest pause of a process.
	Retention time.Duration
	// TicketRetention is how long a ticket can be used, and its outcome asked.
	TicketRetention time.Duration
	MaxAnswerBytes  int // longer answers are not kept
	MaxTickets      int // kept in this host's memory for the others
	StoreTimeout    time.Duration
	PeerTimeout     time.Duration
	CommitInterval  time.Duration // between two commits of a shard
	Tick            time.Duration // of the background work
	Clock           func() time.Time
}

// KeyClaimer is the Claimer of an entry host. All methods are safe for
// concurrent use.
type KeyClaimer struct {
	cfg      Config
	witness  *witness
	shards   []*shard
	health   *health
	peers    *peerTable
	began    time.Time
	renounce renouncer

	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	mu     sync.Mutex
	closed bool
}

var _ Claimer = (*KeyClaimer)(nil)

// New makes a KeyClaimer. It reaches out to nothing before Start.
func New(cfg Config) (c *KeyClaimer, err error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	c = &KeyClaimer{
		cfg:     cfg,
		witness: newWitness(cfg.HostID, cfg.Incarnation, cfg.TicketRetention, cfg.MaxTickets),
		health:  &health{retryAfter: 2 * cfg.Tick},
		peers:   newPeerTable(cfg),
		began:   cfg.Clock(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	shared := shardConfig{
		store: cfg.Store, health: c.health, clock: cfg.Clock, retention: cfg.Retention,
		gap: cfg.CommitInterval, timeout: cfg.StoreTimeout, logger: cfg.Logger,
		leases: &segmentLeases{store: cfg.Store, clock: cfg.Clock, retention: cfg.Retention},
	}
	for number := range shardCount {
		c.shards = append(c.shards, newShard(shared, number, func(work func(context.Context)) bool {
			return c.spawn(func() { work(c.ctx) })
		}))
	}
	return c, nil
}

func (cfg *Config) complete() (err error) {
	switch {
	case cfg.HostID == "" || cfg.Incarnation == "":
		return eris.New("host_id and incarnation: want a name, got none")
	case len(cfg.Secret) < minSecretBytes:
		return eris.Errorf("claim secret: want at least %d bytes, got %d", minSecretBytes, len(cfg.Secret))
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	setDefault(&cfg.Retention, DefaultRetention)
	setDefault(&cfg.TicketRetention, DefaultTicketRetention)
	setDefault(&cfg.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&cfg.MaxTickets, DefaultMaxTickets)
	setDefault(&cfg.StoreTimeout, DefaultStoreTimeout)
	setDefault(&cfg.PeerTimeout, DefaultPeerTimeout)
	setDefault(&cfg.CommitInterval, DefaultCommitInterval)
	setDefault(&cfg.Tick, DefaultTick)
	return nil
}

func setDefault[T int | time.Duration](value *T, otherwise T) {
	if *value == 0 {
		*value = otherwise
	}
}

// Start begins the background work: greetings of peers, renunciations and,
// while the key-value service is down, the probe. A shard's writer begins with
// the first claim that this host commits to it.
func (c *KeyClaimer) Start() {
	c.spawn(c.runTicks)
}

// Close ends the background work and waits for it. Claims that still wait are
// refused as not run.
func (c *KeyClaimer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	return c.group.Wait()
}

// spawn runs work that Close waits for. It returns false, and runs nothing,
// once the claimer is closed.
func (c *KeyClaimer) spawn(work func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.group.Go(func() error {
		work()
		return nil
	})
	return true
}

func (c *KeyClaimer) runTicks() {
	ticker := time.NewTicker(c.cfg.Tick)
	defer ticker.Stop()
	for {
		c.peers.greetAll(c.ctx)
		c.probe()
		c.flushRenounced()
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe asks whether a key-value service that was down answers again.
func (c *KeyClaimer) probe() {
	if c.health.check() == nil {
		return
	}
	ctx, cancel := timekeeper.WithTimeout(c.ctx, c.cfg.StoreTimeout)
	defer cancel()
	_, err := c.cfg.Store.Get(ctx, c.shards[0].headKey())
	if errors.Is(err, provider.ErrNotFound) {
		err = nil
	}
	c.health.report(err)
}

// tick is this host's clock as its tickets know it, in seconds since its start.
func (c *KeyClaimer) tick() int64 {
	return int64(c.cfg.Clock().Sub(c.began) / time.Second)
}

// Claim claims a key for a body, as the Claimer interface says. It fails with
// an UnavailableError (which is an ErrUnavailable), ErrTaken, ErrBodyConflict
// or ErrKeyMalformed. It never returns ErrOutcomeUnknown: a request that can't
// tell whether it holds the claim never dispatches, and so has not run.
func (c *KeyClaimer) Claim(ctx context.Context, key Key, body []byte) (claim Claim, record *Record, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "claim")
		}
	}()
	target, err := c.newTarget(key)
	if err != nil {
		return nil, nil, err
	}
	granted := &grantedClaim{
		claimer: c,
		target:  target,
		entry: entry{
			body: hashBytes(body), claimID: hash(uuid.New()), owner: c.cfg.Incarnation, state: StateClaimed,
		},
		// By the time of day, since a host that was suspended is overdue as well.
		deadline: c.cfg.Clock().Round(0).Add(c.cfg.Retention / 2),
	}
	result, err := c.record(ctx, target, granted.entry)
	if c.mustRenounce(target, result, err) {
		c.renounceLater(target, granted.entry)
	}
	if err != nil {
		return nil, nil, err
	}
	return granted.after(result)
}

// mustRenounce says whether an id that this request won't use may be held, or
// may yet come to be held, by a register.
func (c *KeyClaimer) mustRenounce(where target, result decision, err error) bool {
	if err != nil {
		return errors.Is(err, errGivenUp)
	}
	_, isTicket := where.(ticketTarget)
	return isTicket && result.verdict != claimerpb.Verdict_VERDICT_GRANTED
}

// grantedClaim is the Claim of one request.
type grantedClaim struct {
	claimer  *KeyClaimer
	target   target
	entry    entry
	deadline time.Time
}

// Deadline is the moment after which the call must not be dispatched any
// more. A holder that was paused beyond the retention of a caller's own key
// finds its claim forgotten, and somebody else may hold the key. A ticket is
// refused for ever once its grant is forgotten, so it needs no such check.
func (g *grantedClaim) Deadline() (deadline time.Time, ok bool) {
	_, isTicket := g.target.(ticketTarget)
	return g.deadline, !isTicket
}

// Finish records how the call ended.
func (g *grantedClaim) Finish(ctx context.Context, record Record) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "finish claim")
		}
	}()
	ended := g.entry
	ended.state = record.State
	if record.State == StateAnswered && len(record.Answer) <= g.claimer.cfg.MaxAnswerBytes {
		ended.answer = record.Answer
	}
	result, err := g.claimer.record(ctx, g.target, ended)
	if err != nil {
		if record.State == StateNotRun {
			g.claimer.renounceLater(g.target, g.entry)
		}
		return err
	}
	if result.verdict != claimerpb.Verdict_VERDICT_GRANTED {
		return eris.Errorf("register refused the record: %s", result.verdict)
	}
	return nil
}

// after turns a register's decision into what Claim returns.
func (g *grantedClaim) after(result decision) (claim Claim, record *Record, err error) {
	switch result.verdict {
	case claimerpb.Verdict_VERDICT_GRANTED:
		return g, nil, nil
	case claimerpb.Verdict_VERDICT_RECORDED:
		return nil, &result.record, nil
	case claimerpb.Verdict_VERDICT_CONFLICT:
		return nil, nil, ErrBodyConflict
	case claimerpb.Verdict_VERDICT_TAKEN:
		return nil, nil, ErrTaken
	case claimerpb.Verdict_VERDICT_GONE, claimerpb.Verdict_VERDICT_EXPIRED:
		return nil, nil, eris.Wrap(ErrTaken, "the hosts that this ticket names no longer know whether it was used")
	default:
		return nil, nil, &UnavailableError{RetryAfter: g.claimer.health.retryAfter, Cause: errNoVoters}
	}
}
