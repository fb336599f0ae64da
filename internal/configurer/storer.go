package configurer

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	foldParallel = 8 // shard documents folded at a time
	foldAttempts = 4 // of one shard document, against other hosts that fold it
	loadAttempts = 5 // to read shards and head that fit together
	// listGroups splits the shard keys by their first digit: 16 lists of about
	// 1 MB at 32,000 tenants instead of one of 16 MB.
	listGroups = 16
)

// errIncoherent says that shards and head were read that don't fit together.
var errIncoherent = errors.New("shard documents do not fit the head document")

func (c *Configurer) headKey() string { return c.cfg.Prefix + "head" }

// shardKey is the key of a shard document. The applications' shard has a
// letter for a first digit of its own, outside of the tenants' groups.
func (c *Configurer) shardKey(i int) string {
	if i == applicationShard {
		return c.cfg.Prefix + "shards/applications"
	}
	return fmt.Sprintf("%sshards/tenants/%02x", c.cfg.Prefix, i)
}

// readHead reads the head document; both are zero where there is none yet.
func (c *Configurer) readHead(ctx context.Context) (entry provider.Entry, h head, err error) {
	defer func() { err = eris.Wrap(err, "read head document") }()
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	entry, err = c.cfg.Store.Get(ctx, c.headKey())
	switch {
	case errors.Is(err, provider.ErrNotFound):
		err = nil
		entry = provider.Entry{Key: c.headKey()}
	case err == nil:
		h, err = decodeHead(entry.Value)
	}
	return entry, h, err
}

// load reads the whole state from the store.
func (c *Configurer) load(ctx context.Context) (st *state, err error) {
	defer func() { err = eris.Wrap(err, "load configuration from store") }()
	for range loadAttempts {
		shards, err := c.listShards(ctx)
		if err != nil {
			return nil, err
		}
		_, h, err := c.readHead(ctx)
		if err != nil {
			return nil, err
		}
		if st, ok := assemble(shards, h); ok {
			return st, nil
		}
	}
	return nil, errIncoherent
}

func (c *Configurer) listShards(ctx context.Context) (shards map[int]*shard, err error) {
	shards = make(map[int]*shard)
	prefixes := []string{c.shardKey(applicationShard)}
	for i := range listGroups {
		prefixes = append(prefixes, fmt.Sprintf("%sshards/tenants/%x", c.cfg.Prefix, i))
	}
	for _, prefix := range prefixes {
		if err := c.listGroup(ctx, prefix, shards); err != nil {
			return nil, err
		}
	}
	return shards, nil
}

func (c *Configurer) listGroup(ctx context.Context, prefix string, shards map[int]*shard) error {
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	entries, _, err := c.cfg.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		i, s, err := decodeShard(entry.Value)
		if err != nil {
			return err
		}
		shards[i] = s
	}
	return nil
}

// fold writes the given shards of a committed state into their documents. It
// may be done by any number of hosts at a time and may end halfway: a document
// only ever goes forward along the log, and a head still holds its changes
// until all are folded.
func (c *Configurer) fold(ctx context.Context, st *state, shards []int) (err error) {
	defer func() { err = eris.Wrap(err, "fold changes into shard documents") }()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(foldParallel)
	for _, i := range shards {
		group.Go(func() error { return c.foldShard(ctx, i, st.shards[i]) })
	}
	return group.Wait()
}

func (c *Configurer) foldShard(ctx context.Context, i int, s *shard) (err error) {
	value, err := encodeShard(i, s)
	if err != nil {
		return err
	}
	for range foldAttempts {
		done, err := c.tryFold(ctx, i, s, value)
		if done || err != nil {
			return err
		}
	}
	return eris.Errorf("shard %d: %d attempts", i, foldAttempts)
}

// tryFold writes a shard document unless it is there. Not done without an error
// means that somebody wrote meanwhile, or that the answer was lost: both are
// told apart by reading the document again.
func (c *Configurer) tryFold(ctx context.Context, i int, s *shard, value []byte) (done bool, err error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	entry, err := c.cfg.Store.Get(ctx, c.shardKey(i))
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		return false, err
	}
	if err == nil {
		_, kept, err := decodeShard(entry.Value)
		if err == nil && (kept.chain == s.chain || kept.revision > s.revision) {
			return true, nil
		}
	}
	_, err = c.cfg.Store.Swap(ctx, provider.Write{Key: c.shardKey(i), Value: value, IfRevision: entry.Revision})
	if errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrOutcomeUnknown) {
		return false, nil
	}
	return err == nil, err
}
