// Package config renders the operators' declarations into the policy that daemons
// apply, and publishes, stores and distributes its versions.
//
// Declarations are documents: a directory of JSON files with templates, services
// and organisations (see Render). A publish is a single transaction of the table
// service (see Publisher). Versions are totally ordered, and each daemon holds the
// highest valid version that it has received (see Holder).
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenscale/internal/strictjson"
)

// Limits of one set of documents. 4 MB is about ten times what 330 services need.
// It bounds the share of a daemon's 64 MB of memory that configuration uses.
const (
	maxDocuments     = 4096
	maxDocumentBytes = 256 << 10
	maxTotalBytes    = 4 << 20
)

// The directories of a declaration.
const (
	templatesDir     = "templates"
	servicesDir      = "services"
	organisationsDir = "organisations"
	documentSuffix   = ".json"
	readme           = "README.md"
)

// Documents maps the slash-separated paths of a declaration's files to their
// contents. It is treated as immutable: a change creates a new map.
type Documents map[string][]byte

// Digest is the hexadecimal SHA-256 of a set of documents.
type Digest string

// PublishID identifies one publish. It is a UUIDv7, so that IDs sort by time.
type PublishID string

// Version identifies one configuration. Number increases by one with each publish;
// 0 is the empty configuration before the first publish.
type Version struct {
	Number    uint64
	PublishID PublishID
	Digest    Digest
}

// Change is the difference between version Number-1 and Version.
type Change struct {
	Version
	// Documents are the changed documents. An empty body removes the document.
	Documents Documents
}

// Snapshot is a version with all of its documents.
type Snapshot struct {
	Version
	Documents Documents
}

// ReadDir reads the documents of a directory. Hidden files and README.md are
// ignored. Any other file that is not a document is an error, since a mistyped
// name would otherwise be ignored silently.
func ReadDir(dir fs.FS) (Documents, error) {
	docs := Documents{}
	err := fs.WalkDir(dir, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		base := path.Base(name)
		if name != "." && strings.HasPrefix(base, ".") {
			if entry.IsDir() {
				return fs.SkipDir
			}
			return nil
		}
		if entry.IsDir() || base == readme {
			return nil
		}
		body, err := fs.ReadFile(dir, name)
		if err != nil {
			return err
		}
		docs[name] = body
		return nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "read declarations")
	}
	if len(docs) == 0 {
		return nil, errors.New("no declarations found: expected " + allowedPaths)
	}
	return docs, docs.check()
}

const allowedPaths = "templates/NAME.json, services/NAME.json and organisations/NAME.json"

// check reports documents with a path that is not allowed, and sizes that exceed
// the limits.
func (d Documents) check() error {
	var problems strictjson.Errors
	total := 0
	for _, name := range d.paths() {
		at := strictjson.Position{File: name}
		total += len(d[name])
		dir, base := path.Split(name)
		known := dir == templatesDir+"/" || dir == servicesDir+"/" || dir == organisationsDir+"/"
		switch {
		case !known || !strings.HasSuffix(base, documentSuffix):
			problems = append(problems, strictjson.Problem{Position: at, Message: "unexpected file; allowed are " + allowedPaths})
		case len(d[name]) > maxDocumentBytes:
			problems = append(problems, strictjson.Problem{Position: at, Message: "larger than 256 KB"})
		}
	}
	if len(d) > maxDocuments || total > maxTotalBytes {
		problems = append(problems, strictjson.Problem{Message: "more than 4096 documents or 4 MB in all"})
	}
	return problems.Err()
}

// Digest returns the digest of all paths and bodies. Each is hashed with its
// length in front.
func (d Documents) Digest() Digest {
	hash := sha256.New()
	var size [8]byte
	field := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		hash.Write(size[:])
		hash.Write(b)
	}
	for _, name := range d.paths() {
		field([]byte(name))
		field(d[name])
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}

// Delta returns the documents that differ between d and next. An empty body
// removes the document.
func (d Documents) Delta(next Documents) Documents {
	delta := Documents{}
	for name, body := range next {
		if old, ok := d[name]; !ok || !bytes.Equal(old, body) {
			delta[name] = body
		}
	}
	for name := range d {
		if _, ok := next[name]; !ok {
			delta[name] = nil
		}
	}
	return delta
}

// With returns a copy of d with the delta applied.
func (d Documents) With(delta Documents) Documents {
	next := maps.Clone(d)
	if next == nil {
		next = Documents{}
	}
	for name, body := range delta {
		if len(body) == 0 {
			delete(next, name)
			continue
		}
		next[name] = body
	}
	return next
}

func (d Documents) paths() []string {
	return slices.Sorted(maps.Keys(d))
}

func (d Documents) size() int {
	total := 0
	for name, body := range d {
		total += len(name) + len(body)
	}
	return total
}

// Edit describes the change of one document.
type Edit struct {
	Path string
	// Kind is Added, Changed or Removed.
	Kind EditKind
}

// EditKind is the kind of change of a document.
type EditKind string

// The kinds of edits.
const (
	Added   EditKind = "Added"
	Changed EditKind = "Changed"
	Removed EditKind = "Removed"
)

// Edits lists the documents that differ between d and next, sorted by path.
func (d Documents) Edits(next Documents) []Edit {
	delta := d.Delta(next)
	edits := make([]Edit, 0, len(delta))
	for _, name := range delta.paths() {
		kind := Changed
		if _, ok := d[name]; !ok {
			kind = Added
		}
		if _, ok := next[name]; !ok {
			kind = Removed
		}
		edits = append(edits, Edit{Path: name, Kind: kind})
	}
	return edits
}
