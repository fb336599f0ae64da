package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/authenticator"
)

// Role determines what the holder of an API key may do.
type Role string

// Roles of an API key.
const (
	RoleCaller   Role = "caller"   // sends requests as a tenant
	RoleOperator Role = "operator" // changes the configuration; reads the metrics
	RoleMonitor  Role = "monitor"  // reads the metrics
)

// tenantHeader is the header that names the tenant on a server with insecure access.
const tenantHeader = "X-Tenant"

// minTokenBytes is the minimum length of a plain-text token in a keys file.
const minTokenBytes = 16

// errKeyInvalid reports an invalid entry of the API keys.
var errKeyInvalid = errors.New("invalid API key entry")

// Key is one entry of the API keys. Either TokenSHA256 or Token is set.
type Key struct {
	TokenSHA256 string `json:"token_sha256"` // SHA-256 of the token, hexadecimal
	Token       string `json:"token"`        // token in plain text, at least 16 bytes
	Role        Role   `json:"role"`
	Tenant      string `json:"tenant"` // for a caller only
}

// identity is the sender of a request.
type identity struct {
	role   Role
	tenant string
}

// Keys is the set of accepted API keys. The zero value accepts none.
type Keys struct {
	table authenticator.Table[identity]
}

// Len returns the number of keys.
func (k Keys) Len() int { return k.table.Len() }

// LoadKeys reads a keys file in the format that ParseKeys describes.
func LoadKeys(path string) (keys Keys, err error) {
	defer func() { err = eris.Wrap(err, "load API keys") }()
	data, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, err
	}
	return ParseKeys(data)
}

// ParseKeys reads API keys from JSON:
//
//	{"keys": [
//		{"role": "caller", "tenant": "vitosha", "token_sha256": "9f86…"},
//		{"role": "operator", "token": "at-least-16-bytes"}
//	]}
func ParseKeys(data []byte) (keys Keys, err error) {
	defer func() { err = eris.Wrap(err, "parse API keys") }()
	var file struct {
		Keys []Key `json:"keys"`
	}
	if err := unmarshalStrict(data, &file); err != nil {
		return Keys{}, err
	}
	return NewKeys(file.Keys)
}

// NewKeys creates Keys from their entries. Each token must be unique.
func NewKeys(entries []Key) (keys Keys, err error) {
	for i, entry := range entries {
		sum, err := entry.digest()
		if err != nil {
			return Keys{}, fmt.Errorf("entry %d: %w", i, err)
		}
		if !keys.table.Add(sum, identity{role: entry.Role, tenant: entry.Tenant}) {
			return Keys{}, fmt.Errorf("entry %d: %w: same token twice", i, errKeyInvalid)
		}
	}
	return keys, nil
}

// digest validates an entry and returns the digest of its token.
func (k Key) digest() (sum authenticator.Digest, err error) {
	switch k.Role {
	case RoleCaller:
		if k.Tenant == "" {
			return sum, fmt.Errorf("%w: a caller needs a tenant", errKeyInvalid)
		}
	case RoleOperator, RoleMonitor:
		if k.Tenant != "" {
			return sum, fmt.Errorf("%w: only a caller has a tenant", errKeyInvalid)
		}
	default:
		return sum, fmt.Errorf("%w: role must be caller, operator or monitor", errKeyInvalid)
	}
	if (k.Token == "") == (k.TokenSHA256 == "") {
		return sum, fmt.Errorf("%w: give token or token_sha256", errKeyInvalid)
	}
	if k.Token != "" {
		if len(k.Token) < minTokenBytes {
			return sum, fmt.Errorf("%w: token is shorter than %d bytes", errKeyInvalid, minTokenBytes)
		}
		return authenticator.DigestOf(k.Token), nil
	}
	sum, err = authenticator.ParseDigest(k.TokenSHA256)
	if err != nil {
		return sum, fmt.Errorf("%w: token_sha256 must be 64 hexadecimal digits", errKeyInvalid)
	}
	return sum, nil
}

// lookup returns the identity to which a token belongs.
func (k Keys) lookup(token string) (owner identity, ok bool) {
	return k.table.Find(authenticator.DigestOf(token))
}

type identityKey struct{}

// identityFrom returns the sender of the request.
func identityFrom(ctx context.Context) (identity, bool) {
	id, ok := ctx.Value(identityKey{}).(identity)
	return id, ok
}

// requireRole rejects requests whose key has none of the roles. It runs before the body is
// read, so that clients without a key can't make the server read one.
func (s *Server) requireRole(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, failure := s.identify(r, roles)
		if failure != nil {
			if failure.status == statusUnauthorized {
				w.Header().Set("WWW-Authenticate", "Bearer")
			}
			writeFailure(r.Context(), w, failure)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

// identify determines the sender of a request, and rejects senders without one of the roles.
func (s *Server) identify(r *http.Request, roles []Role) (identity, *requestError) {
	if s.cfg.Insecure {
		return identifyInsecure(r, roles[0])
	}
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return identity{}, accessFailure(statusUnauthorized, "send the API key as Authorization: Bearer KEY")
	}
	id, ok := s.keys.Load().lookup(token)
	if !ok {
		return identity{}, accessFailure(statusUnauthorized, "unknown API key")
	}
	for _, role := range roles {
		if id.role == role {
			return id, nil
		}
	}
	return identity{}, accessFailure(statusForbidden, "an API key of role "+string(id.role)+" may not do this")
}

// accessFailure returns the failure of a request without access.
func accessFailure(status, detail string) *requestError {
	return &requestError{status: status, reason: status, detail: detail}
}

// identifyInsecure takes the sender from the request without checking it.
func identifyInsecure(r *http.Request, role Role) (identity, *requestError) {
	tenant := r.Header.Get(tenantHeader)
	if role == RoleCaller && tenant == "" {
		return identity{}, accessFailure(statusUnauthorized, "name the tenant in the header "+tenantHeader)
	}
	return identity{role: role, tenant: tenant}, nil
}

// unmarshalStrict decodes JSON and rejects unknown fields.
func unmarshalStrict(data []byte, v any) error {
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if decoder.More() {
		return errTrailingData
	}
	return nil
}
