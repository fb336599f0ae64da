package claimer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

const (
	// ticketPrefix distinguishes tickets from callers' own keys. A key with this prefix is
	// always decided by the ticket's voters, even if its check fails. Otherwise, after a
	// change of the secret, the key-value service would decide about it as well, and one
	// key would have two registers.
	ticketPrefix  = "emt1_"
	ticketMACSize = 16
	nonceSize     = 16
)

// isTicket reports whether the voters of a ticket decide about a key. It depends only on
// the key.
func isTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// sealTicket encodes and authenticates a ticket for a tenant. The caller can't change it,
// and other tenants can't use it.
func sealTicket(secret []byte, tenant string, ticket *claimerpb.Ticket) (sealed string, err error) {
	payload, err := proto.Marshal(ticket)
	if err != nil {
		return "", err
	}
	payload = append(payload, ticketMAC(secret, tenant, payload)...)
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(payload), nil
}

// openTicket verifies and decodes a ticket. It fails with ErrKeyMalformed.
func openTicket(secret []byte, tenant, sealed string) (ticket *claimerpb.Ticket, err error) {
	payload, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(sealed, ticketPrefix))
	if err != nil || len(payload) <= ticketMACSize {
		return nil, ErrKeyMalformed
	}
	payload, mac := payload[:len(payload)-ticketMACSize], payload[len(payload)-ticketMACSize:]
	if !hmac.Equal(mac, ticketMAC(secret, tenant, payload)) {
		return nil, ErrKeyMalformed
	}
	ticket = &claimerpb.Ticket{}
	if err := proto.Unmarshal(payload, ticket); err != nil || len(ticket.GetVoters()) == 0 {
		return nil, ErrKeyMalformed
	}
	return ticket, nil
}

func ticketMAC(secret []byte, tenant string, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	// The tenant is included as a hash of fixed length, so that the boundary between
	// tenant and payload is unambiguous.
	sum := sha256.Sum256([]byte(tenant))
	mac.Write(sum[:])
	mac.Write(payload)
	return mac.Sum(nil)[:ticketMACSize]
}
