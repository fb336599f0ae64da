package claimer

import (
	"context"
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// register decides about the claims of a key. It is a storeRegister or a ticketRegister.
type register interface {
	isRegister()
}

// storeRegister is a shard of the key-value service.
type storeRegister struct {
	key   hash
	shard int
}

// ticketRegister is the majority of a ticket's voters.
type ticketRegister struct {
	key    hash
	tenant string
	sealed string
	ticket *claimerpb.Ticket
}

func (storeRegister) isRegister()  {}
func (ticketRegister) isRegister() {}

// registerOf determines the register of a key from the key alone.
func (c *KeyClaimer) registerOf(key Key) (target register, err error) {
	if key.Key == "" || len(key.Key) > maxKeyBytes {
		return nil, ErrKeyMalformed
	}
	sum := hashKey(key)
	if !isTicket(key.Key) {
		return newStoreRegister(sum), nil
	}
	ticket, err := openTicket(c.cfg.Secret, key.Tenant, key.Key)
	if err != nil {
		return nil, err
	}
	return ticketRegister{key: sum, tenant: key.Tenant, sealed: key.Key, ticket: ticket}, nil
}

func newStoreRegister(key hash) storeRegister {
	return storeRegister{key: key, shard: int(key[0]) % shardCount}
}

// record submits an entry to its register. Its errors are UnavailableErrors; if the cause
// is errGivenUp, the entry may still be recorded.
func (c *KeyClaimer) record(ctx context.Context, target register, wanted entry) (result decision, err error) {
	switch target := target.(type) {
	case storeRegister:
		return c.recordStored(ctx, target, wanted)
	case ticketRegister:
		return c.recordTicket(ctx, target, wanted)
	default:
		return decision{}, ErrKeyMalformed
	}
}

// recordStored commits an entry through the shard's preferred writer, or on this host if
// the writer doesn't answer. If both write the entry, the second write has no effect,
// because the claim id is the same.
func (c *KeyClaimer) recordStored(ctx context.Context, target storeRegister, wanted entry) (result decision, err error) {
	writer := c.peers.preferredWriter(target.shard)
	isMaybeSent := false
	if writer != c.cfg.HostID {
		result, err = c.forward(ctx, writer, target, wanted)
		if err == nil && result.verdict != claimerpb.Verdict_VERDICT_UNAVAILABLE {
			return result, nil
		}
		isMaybeSent = err != nil
	}
	result, err = c.commitHere(ctx, target, wanted)
	switch {
	case err == nil:
		return result, nil
	case isMaybeSent || errors.Is(err, ErrOutcomeUnknown):
		return decision{}, &UnavailableError{RetryAfter: c.health.retryAfter, Cause: errGivenUp}
	case errors.Is(err, ErrUnavailable):
		return decision{}, err
	default:
		return decision{}, &UnavailableError{RetryAfter: c.health.retryAfter, Cause: err}
	}
}

func (c *KeyClaimer) commitHere(ctx context.Context, target storeRegister, wanted entry) (result decision, err error) {
	if err := c.health.checkAvailable(); err != nil {
		return decision{}, err
	}
	return c.shards[target.shard].submit(ctx, target.key, wanted)
}

func (c *KeyClaimer) forward(ctx context.Context, writer string, target storeRegister, wanted entry) (result decision, err error) {
	client, err := c.peers.client(writer)
	if err != nil {
		return decision{}, err
	}
	ctx, cancel := timekeeper.WithTimeout(ctx, c.cfg.PeerTimeout+c.cfg.CommitInterval)
	defer cancel()
	reply, err := client.Commit(ctx, &claimerpb.CommitRequest{Entry: encodeEntry(target.key, wanted)})
	if !errors.Is(ctx.Err(), context.Canceled) { // the caller's cancellation doesn't show that the writer failed
		c.peers.reportWriter(writer, err)
	}
	if err != nil {
		return decision{}, err
	}
	return decodeDecision(reply), nil
}

// recordTicket requests votes from all voters in parallel and returns as soon as the
// result is final. The remaining calls continue, so that slower voters record the entry
// too.
func (c *KeyClaimer) recordTicket(ctx context.Context, target ticketRegister, wanted entry) (result decision, err error) {
	voters := target.ticket.GetVoters()
	votes := make(chan decision, len(voters))
	for _, voter := range voters {
		if !c.spawn(func() { votes <- c.vote(voter, target, wanted) }) {
			return decision{}, &UnavailableError{Cause: errClosed}
		}
	}
	var received []decision
	for range voters {
		select {
		case vote := <-votes:
			received = append(received, vote)
		case <-ctx.Done():
			return decision{}, &UnavailableError{RetryAfter: c.health.retryAfter, Cause: errGivenUp}
		}
		if result, isFinal := countVotes(len(voters), received); isFinal {
			return result, nil
		}
	}
	result, _ = countVotes(len(voters), received)
	return result, nil
}

// vote requests the vote of one voter. It isn't canceled with the caller's context, but
// has a timeout of its own.
func (c *KeyClaimer) vote(voter *claimerpb.Voter, target ticketRegister, wanted entry) decision {
	if voter.GetHostId() == c.cfg.HostID {
		return c.tickets.vote(c.tick(), target.ticket, target.key, wanted)
	}
	unavailable := decision{verdict: claimerpb.Verdict_VERDICT_UNAVAILABLE}
	client, err := c.peers.client(voter.GetHostId())
	if err != nil {
		return unavailable
	}
	ctx, cancel := timekeeper.WithTimeout(c.ctx, c.cfg.PeerTimeout)
	defer cancel()
	reply, err := client.Vote(ctx, &claimerpb.VoteRequest{
		Tenant: target.tenant, Ticket: target.sealed, Entry: encodeEntry(target.key, wanted),
	})
	if err != nil {
		c.peers.dropGreeting(voter.GetHostId())
		return unavailable
	}
	return decodeDecision(reply)
}

// rendezvousWeight is the weight of a host for a name in rendezvous hashing: the host with
// the highest weight is chosen, and removing another host doesn't change the choice.
func rendezvousWeight(hostID string, name int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(name) + "/" + hostID)
}
