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
	maxParallelCompactions = 8 // shard documents
	maxCompactAttempts     = 4 // for one shard document, which other hosts may write too
	maxLoadAttempts        = 5 // to read consistent shards and head
	// shardListGroups splits the shard keys by their first hexadecimal digit: 16
	// lists of about 1 MB at 32,000 tenants instead of one of 16 MB.
	shardListGroups = 16
)

// errInconsistentRead reports that the shards and the head that were read do not
// belong to one state.
var errInconsistentRead = errors.New("shard documents are inconsistent with the head document")

func (c *Configurer) headKey() string { return c.cfg.Prefix + "head" }

// shardKey returns the key of a shard document. The applications' shard lies
// outside the prefixes of the tenants' shards.
func (c *Configurer) shardKey(i int) string {
	if i == applicationShard {
		return c.cfg.Prefix + "shards/applications"
	}
	return fmt.Sprintf("%sshards/tenants/%02x", c.cfg.Prefix, i)
}

// readHead reads the head document. When there is none yet, h is zero and entry
// has only its key.
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

// load reads the full state from the store.
func (c *Configurer) load(ctx context.Context) (st *state, err error) {
	defer func() { err = eris.Wrap(err, "load configuration from store") }()
	for range maxLoadAttempts {
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
	return nil, errInconsistentRead
}

func (c *Configurer) listShards(ctx context.Context) (shards map[int]*shard, err error) {
	shards = make(map[int]*shard)
	prefixes := []string{c.shardKey(applicationShard)}
	for i := range shardListGroups {
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

// compactShards writes the given shards of a committed state into their
// documents. Several hosts may do this at a time, and it may stop halfway: a
// document only moves forward in the log, and the head keeps its changes until
// all of them are compacted.
func (c *Configurer) compactShards(ctx context.Context, st *state, shards []int) (err error) {
	defer func() { err = eris.Wrap(err, "compact changes into shard documents") }()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCompactions)
	for _, i := range shards {
		group.Go(func() error { return c.compactShard(ctx, i, st.shards[i]) })
	}
	return group.Wait()
}

func (c *Configurer) compactShard(ctx context.Context, i int, s *shard) (err error) {
	value, err := encodeShard(i, s)
	if err != nil {
		return err
	}
	for range maxCompactAttempts {
		done, err := c.tryCompactShard(ctx, i, s, value)
		if done || err != nil {
			return err
		}
	}
	return eris.Errorf("shard %d: not written after %d attempts", i, maxCompactAttempts)
}

// tryCompactShard writes a shard document unless the store has it already.
// Without an error, not done means that another host wrote the document or that
// the response was lost; the next attempt reads the document again to find out.
func (c *Configurer) tryCompactShard(ctx context.Context, i int, s *shard, value []byte) (done bool, err error) {
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	entry, err := c.cfg.Store.Get(ctx, c.shardKey(i))
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		return false, err
	}
	if err == nil {
		_, stored, err := decodeShard(entry.Value)
		if err == nil && (stored.chain == s.chain || stored.revision > s.revision) {
			return true, nil
		}
	}
	_, err = c.cfg.Store.Swap(ctx, provider.Write{Key: c.shardKey(i), Value: value, IfRevision: entry.Revision})
	if errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrOutcomeUnknown) {
		return false, nil
	}
	return err == nil, err
}
