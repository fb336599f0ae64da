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

// documentFormat is raised when an older program could misread a document.
const documentFormat = 1

// maxDocumentBytes bounds each document, with room below the store's limit for
// the store's own wrapping.
const maxDocumentBytes = provider.MaxValueBytes * 3 / 4

// maxIdentifierBytes bounds names and change ids as read from outside.
const maxIdentifierBytes = 128

// errMalformed says that a document isn't one of this package's.
var errMalformed = errors.New("malformed configuration document")

// mark is a hash that identifies a run of changes; 0 is the empty run.
type mark uint64

// MarshalText writes 16 hexadecimal digits: a JSON number that large loses
// digits in many readers.
func (m mark) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%016x", uint64(m)), nil
}

// UnmarshalText reads what MarshalText wrote.
func (m *mark) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*m = mark(n)
	return err
}

// next is the mark of the run that rec lengthens. A change id is unique, so it
// stands for the change's content.
func (m mark) next(rec record) mark {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(strconv.FormatUint(uint64(m), 16))
	_, _ = d.WriteString("/" + strconv.FormatInt(rec.Revision, 16) + "/" + rec.ChangeID)
	return mark(d.Sum64())
}

// record is one accepted change. Exactly one of the four subjects is set.
type record struct {
	Revision          int64           `json:"revision"`
	ChangeID          string          `json:"change_id"`
	AtMS              int64           `json:"at_ms"` // accepting host's wall clock; for people only
	SetClass          *Class          `json:"set_class,omitempty"`
	DeleteClass       *classKey       `json:"delete_class,omitempty"`
	SetApplication    *Application    `json:"set_application,omitempty"`
	DeleteApplication *applicationKey `json:"delete_application,omitempty"`
}

// classKey names a class.
type classKey struct {
	Tenant string `json:"tenant"`
	Name   string `json:"name"`
}

// applicationKey names an application.
type applicationKey struct {
	Name string `json:"name"`
}

// head is the document by which changes are committed. A compare-and-swap of
// it is the one commit point of a change. It carries the changes after
// BaseRevision; all up to BaseRevision are in the shard documents.
type head struct {
	Format       int      `json:"format"`
	Revision     int64    `json:"revision"`
	Chain        mark     `json:"chain"` // mark of all changes up to Revision
	Sum          mark     `json:"sum"`   // combined marks of the shards at Revision
	BaseRevision int64    `json:"base_revision"`
	BaseChain    mark     `json:"base_chain"`
	Changes      []record `json:"changes"`
}

// shardDocument holds the classes of the tenants of one shard, or the
// applications, as of the shard's last change.
type shardDocument struct {
	Format       int                `json:"format"`
	Shard        int                `json:"shard"`
	Revision     int64              `json:"revision"` // of the last change in this shard
	Chain        mark               `json:"chain"`    // mark of the log at Revision
	Classes      []ClassEntry       `json:"classes,omitempty"`
	Applications []ApplicationEntry `json:"applications,omitempty"`
	Recent       []recentChange     `json:"recent"` // the last changes, oldest first
}

// recentChange is kept so that a repeated change is recognized.
type recentChange struct {
	ChangeID string `json:"change_id"`
	Revision int64  `json:"revision"`
	AtMS     int64  `json:"at_ms"`
}

func encodeHead(h head) (value []byte, err error) {
	defer func() { err = eris.Wrap(err, "encode head document") }()
	h.Format = documentFormat
	value, err = json.Marshal(h)
	if err == nil && len(value) > maxDocumentBytes {
		return nil, fmt.Errorf("%d bytes, at most %d are kept", len(value), maxDocumentBytes)
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

// checkHead checks the document's own consistency: the revisions leave no gap
// and the marks follow from the changes.
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

// check holds a change from outside to what the state can take, and not to the
// rules of validate: a change that was accepted under other rules, by a
// program of another version, must not stop the log on this host.
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

// intern makes equal strings of many classes share their memory: at 32,000
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

// subject is the change's subject as an operator states it.
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

// newRecord is the record of a change; its revision is set when it is committed.
func newRecord(changeID string, subject Subject, atMS int64) record {
	rec := record{ChangeID: changeID, AtMS: atMS}
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
		entry.Class.Tenant = shared(tenants, entry.Class.Tenant)
		s.classes[classKey{entry.Class.Tenant, entry.Class.Name}] = &ClassEntry{entry.Class, entry.Revision}
	}
	for _, entry := range doc.Applications {
		s.applications[entry.Application.Name] = entry
	}
	return doc.Shard, s, nil
}

func checkShard(doc shardDocument) error {
	if doc.Format != documentFormat {
		return fmt.Errorf("%w: format %d, only %d is understood", errMalformed, doc.Format, documentFormat)
	}
	if doc.Shard < 0 || doc.Shard >= shardCount || doc.Revision < 1 {
		return fmt.Errorf("%w: shard %d at revision %d", errMalformed, doc.Shard, doc.Revision)
	}
	if len(doc.Recent) == 0 || len(doc.Recent) > recentPerShard {
		return fmt.Errorf("%w: %d recent changes in shard %d", errMalformed, len(doc.Recent), doc.Shard)
	}
	for _, entry := range doc.Classes {
		named := isIdentifier(entry.Class.Tenant) && isIdentifier(entry.Class.Name)
		if !named || shardOf(entry.Class.Tenant) != doc.Shard {
			return fmt.Errorf("%w: class %q of %q in shard %d", errMalformed, entry.Class.Name, entry.Class.Tenant, doc.Shard)
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

// shared returns the first string equal to s that it was asked for.
func shared(seen map[string]string, s string) string {
	if first, ok := seen[s]; ok {
		return first
	}
	seen[s] = s
	return s
}
