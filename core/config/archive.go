package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"pollenscale/core/store"
)

// table is the table of configuration rows:
//
//	head              the version in force, with the publish that created it
//	version/NUMBER    a version and the documents that it changed
//	publish/ID        the outcome of a publish: its version, or 0 if abandoned
const table store.Table = "config"

const (
	headKey       = "head"
	versionPrefix = "version/"
	publishPrefix = "publish/"
	objectPrefix  = "config-"
)

const (
	// snapshotEvery is the number of versions from one stored snapshot to the next.
	// It bounds the rows that a starting daemon reads.
	snapshotEvery = 64
	// maxInlineBytes is the largest change that is stored in its row. For a larger
	// one, a snapshot is stored instead.
	maxInlineBytes = 32 << 10
	// fleetReadsPerSecond is the target rate of all daemons together when they read
	// the table service for configuration.
	fleetReadsPerSecond = 5
)

// record is the value of head and version rows.
type record struct {
	Version     uint64
	PublishID   PublishID
	Digest      Digest
	Operator    string
	Reason      string `json:",omitempty"`
	PublishedAt time.Time
	// Base is the latest version up to this one with a snapshot. The snapshot is
	// stored in the object of the publish BaseID.
	Base   uint64
	BaseID PublishID
	// Documents are the changed documents. They are absent if they are only in the
	// snapshot of this version.
	Documents Documents `json:",omitempty"`
	// Edits are the paths that the publish changed.
	Edits []Edit
}

func (r record) version() Version {
	return Version{Number: r.Version, PublishID: r.PublishID, Digest: r.Digest}
}

func (r record) historyEntry() HistoryEntry {
	return HistoryEntry{Version: r.version(), Operator: r.Operator, Reason: r.Reason, PublishedAt: r.PublishedAt, Edits: r.Edits}
}

// HistoryEntry describes one version of the history.
type HistoryEntry struct {
	Version
	Operator    string
	Reason      string
	PublishedAt time.Time
	Edits       []Edit
}

// Archive reads the published versions from the platform. Any of its answers may
// be stale; Holder ignores versions older than the one in force.
type Archive struct {
	Tables  store.Tables
	Objects store.Objects
}

// ReadInterval returns the time until a daemon's next read of the head, such that
// a fleet of the given size makes about 5 reads/s. It is random between 0.5 and
// 1.5 times the mean, to spread the reads of daemons that started together.
func ReadInterval(daemons int) time.Duration {
	mean := time.Duration(max(daemons, fleetReadsPerSecond)) * time.Second / fleetReadsPerSecond
	return mean/2 + rand.N(mean)
}

// Head returns the latest version according to the store.
func (a *Archive) Head(ctx context.Context) (Version, error) {
	head, _, err := a.head(ctx)
	return head.version(), err
}

// UpdateFrom returns the update from version number to the latest version. It
// makes a single read if there is nothing new.
func (a *Archive) UpdateFrom(ctx context.Context, number uint64) (Update, error) {
	head, _, err := a.head(ctx)
	if err != nil || head.Version <= number {
		return Update{}, err
	}
	return a.updateBetween(ctx, number, head)
}

// Snapshot returns all documents of a version; 0 means the latest.
func (a *Archive) Snapshot(ctx context.Context, number uint64) (Snapshot, error) {
	var at record
	var err error
	if number == 0 {
		at, _, err = a.head(ctx)
	} else {
		at, err = a.record(ctx, number)
	}
	if err != nil || at.Version == 0 {
		return Snapshot{Version: Version{Digest: Documents{}.Digest()}}, err
	}
	return a.snapshot(ctx, at)
}

// History returns up to limit versions after the given one, oldest first.
func (a *Archive) History(ctx context.Context, after uint64, limit int) ([]HistoryEntry, error) {
	records, err := a.records(ctx, after, limit)
	if err != nil {
		return nil, err
	}
	out := make([]HistoryEntry, len(records))
	for i, r := range records {
		out[i] = r.historyEntry()
	}
	return out, nil
}

func (a *Archive) head(ctx context.Context) (record, store.Version, error) {
	row, _, err := a.Tables.Read(ctx, table, headKey)
	if err != nil {
		return record{}, 0, errors.Wrap(err, "read the configuration head")
	}
	r, err := decodeRecord(row)
	return r, row.Version, err
}

func (a *Archive) record(ctx context.Context, number uint64) (record, error) {
	row, _, err := a.Tables.Read(ctx, table, versionKey(number))
	if err != nil {
		return record{}, errors.Wrapf(err, "read version %d", number)
	}
	if row.Version == 0 {
		return record{}, errors.Newf("version %d does not exist or is no longer kept", number)
	}
	return decodeRecord(row)
}

func (a *Archive) records(ctx context.Context, after uint64, limit int) ([]record, error) {
	rows, err := a.Tables.List(ctx, table, versionPrefix, versionKey(after), limit)
	if err != nil {
		return nil, errors.Wrapf(err, "list versions after %d", after)
	}
	out := make([]record, len(rows))
	for i, row := range rows {
		if out[i], err = decodeRecord(row); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// updateBetween returns the changes from version number to that of the record. If
// the base snapshot of the record is later than number, the update consists of this
// snapshot and the changes after it.
func (a *Archive) updateBetween(ctx context.Context, number uint64, to record) (Update, error) {
	var update Update
	if number < to.Base {
		base, err := a.record(ctx, to.Base)
		if err != nil {
			return Update{}, err
		}
		docs, err := a.object(ctx, to.BaseID)
		if err != nil {
			return Update{}, err
		}
		update.Snapshot = &Snapshot{Version: base.version(), Documents: docs}
		number = to.Base
	}
	if number >= to.Version {
		return update, nil
	}
	records, err := a.records(ctx, number, int(to.Version-number))
	if err != nil {
		return Update{}, err
	}
	for _, r := range records {
		update.Changes = append(update.Changes, Change{Version: r.version(), Documents: r.Documents})
	}
	return update, nil
}

func (a *Archive) snapshot(ctx context.Context, at record) (Snapshot, error) {
	update, err := a.updateBetween(ctx, 0, at)
	if err != nil {
		return Snapshot{}, err
	}
	out := Snapshot{Version: at.version(), Documents: Documents{}}
	if update.Snapshot != nil {
		out.Documents = update.Snapshot.Documents
	}
	for _, c := range update.Changes {
		out.Documents = out.Documents.With(c.Documents)
	}
	if got := out.Documents.Digest(); got != at.Digest {
		return Snapshot{}, errors.Newf("version %d is incomplete in the store: digest %.12s instead of %.12s", at.Version, got, at.Digest)
	}
	return out, nil
}

func (a *Archive) object(ctx context.Context, id PublishID) (Documents, error) {
	body, err := a.Objects.Get(ctx, objectPrefix+string(id))
	if err != nil {
		return nil, errors.Wrapf(err, "get snapshot of publish %s", id)
	}
	defer body.Close() //nolint:errcheck // a read-only body
	// Documents are base64 in JSON, which adds a third to their size.
	data, err := io.ReadAll(io.LimitReader(body, 2*maxTotalBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read snapshot of publish %s", id)
	}
	var docs Documents
	if err := json.Unmarshal(data, &docs); err != nil {
		return nil, errors.Wrapf(err, "decode snapshot of publish %s", id)
	}
	return docs, nil
}

func (a *Archive) putObject(ctx context.Context, id PublishID, docs Documents) error {
	data, err := json.Marshal(docs)
	if err != nil {
		return err
	}
	_, err = a.Objects.Put(ctx, objectPrefix+string(id), bytes.NewReader(data))
	return errors.Wrap(err, "put snapshot")
}

// versionKey returns the key of a version row. The number is padded to a fixed
// width, so that keys sort by number.
func versionKey(number uint64) string {
	return fmt.Sprintf("%s%020d", versionPrefix, number)
}

func decodeRecord(row store.Row) (record, error) {
	var r record
	if row.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, errors.Wrapf(err, "decode row %s", row.Key)
	}
	return r, nil
}
