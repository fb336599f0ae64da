// Package authenticator identifies the tenant of a request by its API key.
//
// Keys are stored as SHA-256 digests. A key is digested as soon as it is read
// from a request or a configuration, and is not kept in plain text.
//
// # Usage
//
//	directory, problems := authenticator.NewDirectory(tenants)
//	digest, err := authenticator.Parse(header)
//	tenant, ok := directory.Find(digest)
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
)

// maxKeyBytes is the maximum length of an API key.
const maxKeyBytes = 256

// Errors about an API key. Their texts never contain the key.
var (
	ErrKeyEmpty     = errors.New("API key is empty")
	ErrKeyTooLong   = fmt.Errorf("API key is longer than %d bytes", maxKeyBytes)
	ErrKeyCharacter = errors.New("API key contains a character that is not visible ASCII")
	ErrDigest       = fmt.Errorf("digest must have %d hexadecimal digits", 2*sha256.Size)
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key without validating the key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Parse validates a key from a request or a configuration and returns its digest.
func Parse(key string) (digest Digest, err error) {
	switch {
	case key == "":
		return digest, ErrKeyEmpty
	case len(key) > maxKeyBytes:
		return digest, ErrKeyTooLong
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return digest, ErrKeyCharacter
		}
	}
	return DigestOf(key), nil
}

// ParseDigest decodes a hexadecimal digest.
func ParseDigest(text string) (digest Digest, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, ErrDigest
	}
	return Digest(raw), nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Table maps key digests to owners. The zero Table is empty. It is safe for
// concurrent use as long as it isn't modified.
type Table[T any] struct {
	owners map[Digest]tableEntry[T]
}

type tableEntry[T any] struct {
	digest Digest
	owner  T
}

// Len returns the number of keys.
func (t *Table[T]) Len() int { return len(t.owners) }

// Add adds a key. It returns false if the key already has an owner.
func (t *Table[T]) Add(digest Digest, owner T) bool {
	if _, ok := t.owners[digest]; ok {
		return false
	}
	if t.owners == nil {
		t.owners = map[Digest]tableEntry[T]{}
	}
	t.owners[digest] = tableEntry[T]{digest: digest, owner: owner}
	return true
}

// Find returns the owner of a key. Digests are compared in constant time. The
// timing of the map lookup only reveals something about the digest of the key that
// the caller has sent.
func (t *Table[T]) Find(digest Digest) (owner T, ok bool) {
	entry, ok := t.owners[digest]
	if !ok || subtle.ConstantTimeCompare(entry.digest[:], digest[:]) != 1 {
		var zero T
		return zero, false
	}
	return entry.owner, true
}

// Tenant is a customer that authenticates requests with its API keys.
type Tenant struct {
	Name string
	// Rank takes precedence over the rank of a request's class if HasRank is true;
	// 0 is the most urgent.
	Rank    int
	HasRank bool
	Keys    []Digest
	Limit   Limit
}

// Unit is the unit in which a limit is counted.
type Unit int

// Units of a Limit.
const (
	Requests Unit = iota
	Tokens        // tokens of the prompt plus the maximum number of generated tokens
)

// Limit is a tenant's rate limit. The zero value means no limit.
type Limit struct {
	PerSecond float64
	Burst     float64 // units that may accumulate while usage is below the limit
	Unit      Unit
	// DefaultTokens is the charge, in tokens, of a request that states no token
	// count.
	DefaultTokens int64
}

// IsSet reports whether there is a limit.
func (l *Limit) IsSet() bool { return l.PerSecond > 0 }

// UnitsOf returns the charge of a request. tokens is the size of its prompt plus
// the maximum number of generated tokens, regardless of how many are actually
// generated.
func (l *Limit) UnitsOf(tokens int) int64 {
	switch {
	case l.Unit == Requests:
		return 1
	case tokens <= 0:
		return l.DefaultTokens
	}
	return int64(tokens)
}

// Directory finds tenants by their keys. It is immutable.
type Directory struct {
	tenants int
	keys    Table[*Tenant]
	limits  map[string]Limit // by tenant name
}

// Errors about a tenant in a configuration.
var (
	ErrNoName    = errors.New("tenant has no name")
	ErrNoKeys    = errors.New("tenant has no keys")
	ErrSharedKey = errors.New("API key belongs to two tenants and is rejected")
)

// NewDirectory returns a Directory and the problems found in the tenants. A key
// that two tenants share is left out, because it would let one act as the other.
func NewDirectory(tenants []Tenant) (directory *Directory, problems []error) {
	directory = &Directory{limits: map[string]Limit{}}
	shared := map[Digest]bool{}
	owners := map[Digest]string{}
	for i := range tenants {
		for _, digest := range tenants[i].Keys {
			if owner, ok := owners[digest]; ok && owner != tenants[i].Name {
				shared[digest] = true
			}
			owners[digest] = tenants[i].Name
		}
	}
	for i := range tenants {
		tenant := &tenants[i]
		switch {
		case tenant.Name == "":
			problems = append(problems, fmt.Errorf("%w: index %d", ErrNoName, i))
			continue
		case len(tenant.Keys) == 0:
			problems = append(problems, fmt.Errorf("%w: %q", ErrNoKeys, tenant.Name))
			continue
		}
		directory.tenants++
		if tenant.Limit.IsSet() {
			directory.limits[tenant.Name] = tenant.Limit
		}
		for _, digest := range tenant.Keys {
			if shared[digest] {
				problems = append(problems, fmt.Errorf("%w: %q", ErrSharedKey, tenant.Name))
				continue
			}
			directory.keys.Add(digest, tenant)
		}
	}
	return directory, problems
}

// Find returns the tenant that a key belongs to.
func (d *Directory) Find(digest Digest) (tenant *Tenant, ok bool) { return d.keys.Find(digest) }

// LimitOf returns a tenant's limit; ok is false if it has none.
func (d *Directory) LimitOf(name string) (limit Limit, ok bool) {
	limit, ok = d.limits[name]
	return limit, ok
}

// Tenants returns the number of valid tenants, which have a name and at least one
// key.
func (d *Directory) Tenants() int { return d.tenants }

// Keys returns the number of accepted keys.
func (d *Directory) Keys() int { return d.keys.Len() }
