package claimer

import (
	"context"
	"crypto/rand"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// Issue returns a ticket that a tenant can use as a key for TicketRetention. It needs
// neither the key-value service nor a call to a peer.
//
// The ticket names this host and two others, preferably of its own availability zone. A
// host that has recently received a greeting from only one peer names that peer alone,
// because a majority of two would need both. A host without such peers names itself.
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

func rendezvousKey(hostID string) int {
	return int(xxhash.Sum64String(hostID) >> 1)
}
