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
	// ticketPrefix tells tickets from callers' own keys. A key with it is
	// always decided by the ticket's voters, also when it fails the check: if
	// a changed secret sent it to the key-value service instead, two registers
	// would decide about one key.
	ticketPrefix = "emt1_"
	ticketMACLen = 16
	nonceSize    = 16
)

// isTicket says which register decides for a key. It looks at nothing but the key.
func isTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// sealTicket writes a ticket for a tenant. The caller can't change it, and
// another tenant can't use it.
func sealTicket(secret []byte, tenant string, ticket *claimerpb.Ticket) (sealed string, err error) {
	payload, err := proto.Marshal(ticket)
	if err != nil {
		return "", err
	}
	payload = append(payload, ticketMAC(secret, tenant, payload)...)
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(payload), nil
}

// openTicket checks a ticket and reads it. It fails with ErrKeyMalformed.
func openTicket(secret []byte, tenant, sealed string) (ticket *claimerpb.Ticket, err error) {
	payload, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(sealed, ticketPrefix))
	if err != nil || len(payload) <= ticketMACLen {
		return nil, ErrKeyMalformed
	}
	payload, mac := payload[:len(payload)-ticketMACLen], payload[len(payload)-ticketMACLen:]
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
	// The tenant goes in as a hash of fixed length, so that it can't run over
	// into the payload.
	sum := sha256.Sum256([]byte(tenant))
	mac.Write(sum[:])
	mac.Write(payload)
	return mac.Sum(nil)[:ticketMACLen]
}
