package configurer

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/provider"
)

// documentFormat must be raised when an older version could misread a document.
const documentFormat = 1

// maxDocumentBytes bounds each document. It leaves room below the store's value
// limit for the encoding that the store adds.
const maxDocumentBytes = provider.MaxValueBytes * 3 / 4

// maxIdentifierBytes bounds names and change ids that are read from documents.
const maxIdentifierBytes = 128

// errMalformed reports a value that is not a valid document of this package.
var errMalformed = errors.New("malformed configuration document")

// chainHash identifies a sequence of changes; 0 is the empty sequence.
type chainHash uint64

// MarshalText writes 16 hexadecimal digits, as many JSON decoders lose digits
// of a number that large.
func (m chainHash) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%016x", uint64(m)), nil
}

// UnmarshalText reads what MarshalText wrote.
func (m *chainHash) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*m = chainHash(n)
	return err
}

// next returns the hash of the sequence with rec appended. It covers the change
// id and not the content, as change ids are unique.
func (m chainHash) next(rec record) chainHash {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(strconv.FormatUint(uint64(m), 16))
	_, _ = d.WriteString("/" + strconv.FormatInt(rec.Revision, 16) + "/" + rec.ChangeID)
	return chainHash(d.Sum64())
}

// record is one accepted change. Exactly one of the last four fields is set.
type record struct {
	Revision          int64           `json:"revision"`
	ChangeID          string          `json:"change_id"`
	AcceptedAtMS      int64           `json:"at_ms"` // accepting host's wall clock; informational
	SetClass          *Class          `json:"set_class,omitempty"`
	DeleteClass       *classKey       `json:"delete_class,omitempty"`
	SetApplication    *Application    `json:"set_application,omitempty"`
	DeleteApplication *applicationKey `json:"delete_application,omitempty"`
}

// classKey identifies a class.
type classKey struct {
	Tenant string `json:"tenant"`
	Name   string `json:"name"`
}

// applicationKey identifies an application.
type applicationKey struct {
	Name string `json:"name"`
}

// head is the document by which changes are committed: a compare-and-swap of it
// is the only commit point of a change. It holds the changes after
// BaseRevision; all changes up to BaseRevision are in the shard documents.
type head struct {
	Format       int       `json:"format"`
	Revision     int64     `json:"revision"`
	Chain        chainHash `json:"chain"` // hash of all changes up to Revision
	Sum          chainHash `json:"sum"`   // XOR of the shards' chain hashes at Revision
	BaseRevision int64     `json:"base_revision"`
	BaseChain    chainHash `json:"base_chain"`
	Changes      []record  `json:"changes"`
}

// shardDocument holds the classes of the tenants of one shard, or the
// applications, as of the shard's last change.
type shardDocument struct {
	Format       int                `json:"format"`
	Shard        int                `json:"shard"`
	Revision     int64              `json:"revision"` // of the last change in this shard
	Chain        chainHash          `json:"chain"`    // hash of all changes up to Revision
	Classes      []ClassEntry       `json:"classes,omitempty"`
	Applications []ApplicationEntry `json:"applications,omitempty"`
	Recent       []recentChange     `json:"recent"` // the last changes, oldest first
}

// recentChange identifies an accepted change, so that a retry is recognized.
type recentChange struct {
	ChangeID     string `json:"change_id"`
	Revision     int64  `json:"revision"`
	AcceptedAtMS int64  `json:"at_ms"`
}

func encodeHead(h head) (value []byte, err error) {
	defer func() { err = eris.Wrap(err, "encode head document") }()
	h.Format = documentFormat
	value, err = json.Marshal(h)
	if err == nil && len(value) > maxDocumentBytes {
		return nil, fmt.Errorf("document of %d bytes exceeds the limit of %d", len(value), maxDocumentBytes)
	}
	return value, err
}

func decodeHead(value []byte) (h head, err error) {
	defer func() { err = eris.Wrap(err, "decode head document") }()
	if err := decode(value, &h); err != nil {
		return head{}, err
	}
	if err := checkHead(h); err != nil {
		return head{}, err
	}
	for i := range h.Changes {
		h.Changes[i].intern()
	}
	return h, nil
}

// checkHead checks that the document is consistent in itself: the revisions are
// consecutive and the chain hash matches the changes.
func checkHead(h head) error {
	if h.Format != documentFormat {
		return fmt.Errorf("%w: format %d, only %d is understood", errMalformed, h.Format, documentFormat)
	}
	if h.BaseRevision < 0 || h.Revision-h.BaseRevision != int64(len(h.Changes)) {
		return fmt.Errorf("%w: %d changes from revision %d to %d", errMalformed, len(h.Changes), h.BaseRevision, h.Revision)
	}
	chain := h.BaseChain
	for i, rec := range h.Changes {
		if rec.Revision != h.BaseRevision+int64(i)+1 {
			return fmt.Errorf("%w: revision %d out of order", errMalformed, rec.Revision)
		}
		if err := rec.check(); err != nil {
			return err
		}
		chain = chain.next(rec)
	}
	if chain != h.Chain {
		return fmt.Errorf("%w: chain does not follow from the changes", errMalformed)
	}
	return nil
}

// check checks only what state requires of a record, and not the rules of
// validate: a change that another version of the program accepted under other
// rules must not stop replication on this host.
func (rec record) check() error {
	if !isIdentifier(rec.ChangeID) {
		return fmt.Errorf("%w: change id of revision %d", errMalformed, rec.Revision)
	}
	subjects := 0
	named := true
	if rec.SetClass != nil {
		subjects++
		named = isIdentifier(rec.SetClass.Tenant) && isIdentifier(rec.SetClass.Name)
	}
	if rec.DeleteClass != nil {
		subjects++
		named = isIdentifier(rec.DeleteClass.Tenant) && isIdentifier(rec.DeleteClass.Name)
	}
	if rec.SetApplication != nil {
		subjects++
		named = isIdentifier(rec.SetApplication.Name)
	}
	if rec.DeleteApplication != nil {
		subjects++
		named = isIdentifier(rec.DeleteApplication.Name)
	}
	if subjects != 1 || !named {
		return fmt.Errorf("%w: subject of revision %d", errMalformed, rec.Revision)
	}
	return nil
}

func isIdentifier(s string) bool { return s != "" && len(s) <= maxIdentifierBytes }

// intern makes equal strings of different classes share memory: at 32,000
// tenants the names of kinds, classes and applications repeat.
func (rec *record) intern() {
	if rec.SetClass != nil {
		internClass(rec.SetClass)
	}
}

func internClass(c *Class) {
	c.Name = unique.Make(c.Name).Value()
	c.Kind = unique.Make(c.Kind).Value()
	c.Application = unique.Make(c.Application).Value()
}

// subject returns the subject of the change in the form that operators use.
func (rec record) subject() Subject {
	switch {
	case rec.SetClass != nil:
		return ClassSubject{Class: *rec.SetClass}
	case rec.DeleteClass != nil:
		return ClassSubject{Class: Class{Tenant: rec.DeleteClass.Tenant, Name: rec.DeleteClass.Name}, Delete: true}
	case rec.SetApplication != nil:
		return ApplicationSubject{Application: *rec.SetApplication}
	default:
		return ApplicationSubject{Application: Application{Name: rec.DeleteApplication.Name}, Delete: true}
	}
}

// newRecord returns the record of a change. The caller sets its revision.
func newRecord(changeID string, subject Subject, acceptedAtMS int64) record {
	rec := record{ChangeID: changeID, AcceptedAtMS: acceptedAtMS}
	switch s := subject.(type) {
	case ClassSubject:
		if s.Delete {
			rec.DeleteClass = &classKey{Tenant: s.Class.Tenant, Name: s.Class.Name}
		} else {
			rec.SetClass = &s.Class
		}
	case ApplicationSubject:
		if s.Delete {
			rec.DeleteApplication = &applicationKey{Name: s.Application.Name}
		} else {
			rec.SetApplication = &s.Application
		}
	}
	return rec
}

func encodeShard(i int, s *shard) (value []byte, err error) {
	defer func() { err = eris.Wrapf(err, "encode shard document %d", i) }()
	value, err = json.Marshal(shardDocument{
		Format:       documentFormat,
		Shard:        i,
		Revision:     s.revision,
		Chain:        s.chain,
		Classes:      s.classEntries(),
		Applications: s.applicationEntries(),
		Recent:       s.recent,
	})
	if err == nil && len(value) > maxDocumentBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are kept", errShardFull, len(value), maxDocumentBytes)
	}
	return value, err
}

func decodeShard(value []byte) (i int, s *shard, err error) {
	defer func() { err = eris.Wrap(err, "decode shard document") }()
	var doc shardDocument
	if err := decode(value, &doc); err != nil {
		return 0, nil, err
	}
	if err := checkShard(doc); err != nil {
		return 0, nil, err
	}
	s = newShard(len(doc.Classes), len(doc.Applications))
	s.revision, s.chain, s.recent = doc.Revision, doc.Chain, doc.Recent
	tenants := make(map[string]string)
	for j := range doc.Classes {
		entry := &doc.Classes[j]
		internClass(&entry.Class)
		entry.Class.Tenant = dedupString(tenants, entry.Class.Tenant)
		s.classes[classKey{entry.Class.Tenant, entry.Class.Name}] = &ClassEntry{entry.Class, entry.Revision}
	}
	for _, entry := range doc.Applications {
		s.applications[entry.Application.Name] = entry
	}
	return doc.Shard, s, nil
}

func checkShard(doc shardDocument) error {
	if doc.Format != documentFormat {
		return fmt.Errorf("%w: format %d, only %d is supported", errMalformed, doc.Format, documentFormat)
	}
	if doc.Shard < 0 || doc.Shard >= shardCount || doc.Revision < 1 {
		return fmt.Errorf("%w: shard %d or revision %d out of range", errMalformed, doc.Shard, doc.Revision)
	}
	if len(doc.Recent) == 0 || len(doc.Recent) > maxRecentPerShard {
		return fmt.Errorf("%w: %d recent changes in shard %d", errMalformed, len(doc.Recent), doc.Shard)
	}
	for _, entry := range doc.Classes {
		named := isIdentifier(entry.Class.Tenant) && isIdentifier(entry.Class.Name)
		if !named || shardOf(entry.Class.Tenant) != doc.Shard {
			return fmt.Errorf("%w: class %q of tenant %q in shard %d", errMalformed, entry.Class.Name, entry.Class.Tenant, doc.Shard)
		}
	}
	for _, entry := range doc.Applications {
		if !isIdentifier(entry.Application.Name) || doc.Shard != applicationShard {
			return fmt.Errorf("%w: application %q in shard %d", errMalformed, entry.Application.Name, doc.Shard)
		}
	}
	return nil
}

func decode(value []byte, document any) error {
	if len(value) > provider.MaxValueBytes {
		return fmt.Errorf("%w: %d bytes", errMalformed, len(value))
	}
	if err := json.Unmarshal(value, document); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// dedupString returns the first string equal to s that was passed with seen, so
// that equal strings share memory.
func dedupString(seen map[string]string, s string) string {
	if known, ok := seen[s]; ok {
		return known
	}
	seen[s] = s
	return s
}
