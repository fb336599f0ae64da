package claimer

import (
	"context"
	"crypto/rand"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// Issue gives a ticket that a tenant can use as a key for TicketRetention. It
// needs neither the key-value service nor a call to a peer.
//
// The ticket names this host and two others, those of its own availability
// zone first. A host that hears just one peer names that one alone, as a
// majority of two would need both; one that hears none names itself.
func (c *KeyClaimer) Issue(_ context.Context, tenant string) (ticket string, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "issue ticket")
		}
	}()
	voters := c.peers.voters(ticketVoters - 1)
	if len(voters) != 1 {
		voters = append(voters, &claimerpb.Voter{
			HostId: c.cfg.HostID, Incarnation: c.cfg.Incarnation, TickSeconds: c.tick(),
		})
	}
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return "", err
	}
	return sealTicket(c.cfg.Secret, tenant, &claimerpb.Ticket{Nonce: nonce, Voters: voters})
}

func rendezvousSeed(hostID string) int {
	return int(xxhash.Sum64String(hostID) >> 1)
}
