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

// Role says what the owner of an API key may do.
type Role string

// Roles of an API key.
const (
	RoleCaller   Role = "caller"   // sends requests as a tenant
	RoleOperator Role = "operator" // changes the configuration; reads the metrics
	RoleMonitor  Role = "monitor"  // reads the metrics
)

// tenantHeader names the tenant on a server that was started insecure.
const tenantHeader = "X-Tenant"

// minTokenBytes is the shortest token that a keys file may hold in the clear.
const minTokenBytes = 16

// errKeyInvalid says that an entry of the keys can't be used.
var errKeyInvalid = errors.New("invalid API key entry")

// Key is one entry of the keys. Either TokenSHA256 or Token is set.
type Key struct {
	TokenSHA256 string `json:"token_sha256"` // SHA-256 of the token, hexadecimal
	Token       string `json:"token"`        // the token in the clear, at least 16 bytes
	Role        Role   `json:"role"`
	Tenant      string `json:"tenant"` // of a caller
}

// identity is whom a request comes from.
type identity struct {
	role   Role
	tenant string
}

// Keys are the API keys that are accepted. The zero Keys accept none.
type Keys struct {
	table authenticator.Table[identity]
}

// Len is the number of keys.
func (k Keys) Len() int { return k.table.Len() }

// LoadKeys reads a keys file; ParseKeys tells its format.
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

// NewKeys makes Keys from their entries. No two may have the same token.
func NewKeys(entries []Key) (keys Keys, err error) {
	for i, entry := range entries {
		sum, err := entry.digest()
		if err != nil {
			return Keys{}, fmt.Errorf("entry %d: %w", i, err)
		}
		if !keys.table.Add(sum, identity{role: entry.Role, tenant: entry.Tenant}) {
			return Keys{}, fmt.Errorf("entry %d: %w: the same token twice", i, errKeyInvalid)
		}
	}
	return keys, nil
}

// digest checks an entry and returns the digest of its token.
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

// lookup finds whose token it is.
func (k Keys) lookup(token string) (owner identity, ok bool) {
	return k.table.Find(authenticator.DigestOf(token))
}

// identityKey is the context key of the identity.
type identityKey struct{}

// identityFrom returns whom the request comes from.
func identityFrom(ctx context.Context) (identity, bool) {
	id, ok := ctx.Value(identityKey{}).(identity)
	return id, ok
}

// requireRole lets only requests pass whose key has one of the roles. It
// stands before the body is read: a stranger can't make the server read one.
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

// identify finds whom a request comes from, and refuses those without one of
// the roles.
func (s *Server) identify(r *http.Request, roles []Role) (identity, *plainError) {
	if s.cfg.Insecure {
		return identifyInsecure(r, roles[0])
	}
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return identity{}, denied(statusUnauthorized, "send the API key as Authorization: Bearer KEY")
	}
	id, ok := s.keys.Load().lookup(token)
	if !ok {
		return identity{}, denied(statusUnauthorized, "unknown API key")
	}
	for _, role := range roles {
		if id.role == role {
			return id, nil
		}
	}
	return identity{}, denied(statusForbidden, "an API key of role "+string(id.role)+" may not do this")
}

// denied refuses access.
func denied(status, detail string) *plainError {
	return &plainError{status: status, reason: status, detail: detail}
}

// identifyInsecure takes the request's word for whom it comes from.
func identifyInsecure(r *http.Request, role Role) (identity, *plainError) {
	tenant := r.Header.Get(tenantHeader)
	if role == RoleCaller && tenant == "" {
		return identity{}, denied(statusUnauthorized, "name the tenant in the header "+tenantHeader)
	}
	return identity{role: role, tenant: tenant}, nil
}

// unmarshalStrict decodes JSON and refuses unknown fields.
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
