package upload

import (
	"context"
	"io"
	"strconv"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// callTimeout is the timeout of one call to the table service.
	callTimeout = 3 * time.Second
	// minWriteBackoff is the pause before the first retry of a write without a
	// response. It doubles up to maxWriteBackoff, to limit the load on a store that
	// is recovering.
	minWriteBackoff = 250 * time.Millisecond
	maxWriteBackoff = 10 * time.Second
)

// Accept stores the body, inserts the record of the upload and returns it. An
// *outcome.Error with NotRun means that no record was inserted. Unknown means
// that the record may exist; Detail then contains its ID.
func (q *Queue) Accept(ctx context.Context, request Request, body io.Reader) (Record, error) {
	record := Record{ID: q.newID(request), Request: request, State: Accepted}
	record.Object = string(record.ID) + "/" + q.NewUUID()
	// Checks that the table service responds before the body is stored: once the
	// insertion is sent, a failure to get a response is Unknown and not NotRun.
	if existing, _, _, err := q.find(ctx, record.ID); err == nil && !oneUploadPerKey.Off() {
		return matchExisting(existing, request)
	} else if err != nil && !errors.Is(err, ErrNotFound) && !checkStoreFirst.Off() {
		return Record{}, outcome.New(outcome.NotRun, outcome.StoreDown, "the table service does not answer")
	}
	if objectFirst.Off() {
		return q.insertRecord(ctx, record)
	}
	size, err := q.Objects.Put(ctx, record.Object, body)
	if err != nil {
		return Record{}, outcome.New(outcome.NotRun, outcome.StoreDown, "the body could not be stored: "+err.Error())
	}
	if request.Size >= 0 && fleet.Bytes(size) != request.Size {
		q.deleteObject(ctx, record.Object)
		return Record{}, outcome.New(outcome.NotRun, outcome.BadRequest, "the body does not have the announced size")
	}
	record.Size = fleet.Bytes(size)
	return q.insertRecord(ctx, record)
}

// newID derives the ID from the key if there is one, so that copies of an upload
// that arrive at different daemons get the same record.
func (q *Queue) newID(request Request) ID {
	if request.Key == "" || oneUploadPerKey.Off() {
		return ID(prefix(request.Service) + q.NewUUID())
	}
	key := string(request.Organisation) + "\x00" + request.Key
	return ID(prefix(request.Service) + "k" + uuid.NewSHA1(uuid.NameSpaceOID, []byte(key)).String())
}

// insertRecord writes the record on condition that it is in none of the tables.
// A write without a response is retried: a conflict then shows whether an earlier
// one took effect.
func (q *Queue) insertRecord(ctx context.Context, record Record) (Record, error) {
	id := string(record.ID)
	t := store.Transaction{
		Conditions: []store.Condition{
			{Table: PendingTable, Key: id}, {Table: DeliveredTable, Key: id}, {Table: ParkedTable, Key: id},
		},
		Writes: []store.Write{{Table: PendingTable, Key: id, Value: record.encode()}},
	}
	for pause := minWriteBackoff; ; pause = min(2*pause, maxWriteBackoff) {
		result, err := q.transact(ctx, t)
		if err == nil && result.Committed {
			return record, nil
		}
		if err == nil {
			return q.resolveConflict(ctx, record, result.Conflicts[0])
		}
		if resolveLostInsert.Off() {
			return Record{}, outcome.New(outcome.NotRun, outcome.StoreDown, "the table service does not answer")
		}
		if !wait.For(ctx, pause) {
			return Record{}, outcome.New(outcome.Unknown, outcome.StoreDown, "upload "+id+" may have been accepted")
		}
	}
}

// resolveConflict handles an ID that already has a record: it was written by an
// earlier try whose response was lost, or by another copy with the same key.
func (q *Queue) resolveConflict(ctx context.Context, record Record, row store.Row) (Record, error) {
	existing, err := decode(row)
	if err != nil {
		return Record{}, outcome.New(outcome.Unknown, outcome.KeyUnknown, err.Error())
	}
	if existing.Object == record.Object {
		return existing, nil
	}
	q.deleteObject(ctx, record.Object)
	return matchExisting(existing, record.Request)
}

func matchExisting(existing Record, request Request) (Record, error) {
	if existing.Request.Fingerprint != request.Fingerprint {
		return Record{}, outcome.New(outcome.NotRun, outcome.KeyReused, "the key was used for a different upload")
	}
	return existing, nil
}

// deleteObject deletes the body of an upload. Failures are only logged.
func (q *Queue) deleteObject(ctx context.Context, object string) {
	if err := q.Objects.Delete(ctx, object); err != nil {
		q.Log.Warn("cannot delete object.", "object", object, "error", err)
	}
}

// FingerprintOf returns the fingerprint of an upload. It covers the size of the
// body in place of its contents.
func FingerprintOf(method, uri string, size fleet.Bytes) uint64 {
	d := xxhash.New()
	for _, part := range []string{method, uri, strconv.FormatInt(int64(size), 10)} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part) // never fails
	}
	return d.Sum64()
}

func (q *Queue) transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return q.Tables.Transact(ctx, t)
}
