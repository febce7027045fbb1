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
	// callTimeout bounds one call to the table service.
	callTimeout = 3 * time.Second
	// retryPause is the first pause before an unanswered write is sent again. It
	// doubles up to retryMost, to spare a store that recovers.
	retryPause = 250 * time.Millisecond
	retryMost  = 10 * time.Second
)

// Accept stores the body, records the upload and returns its record. An
// *outcome.Error with NotRun means that nothing was recorded. Unknown means
// that the record may exist; Detail then names the id.
func (c *Queue) Accept(ctx context.Context, request Request, body io.Reader) (Record, error) {
	record := Record{ID: c.newID(request), Request: request, State: Accepted}
	record.Object = string(record.ID) + "/" + c.NewUUID()
	// The table service is asked before the body is sent, since a record that is
	// not answered cannot be refused as not run.
	if existing, _, _, err := c.find(ctx, record.ID); err == nil && !oneUploadPerKey.Off() {
		return sameUpload(existing, request)
	} else if err != nil && !errors.Is(err, ErrNotFound) && !checkStoreFirst.Off() {
		return Record{}, outcome.New(outcome.NotRun, outcome.StoreDown, "the table service does not answer")
	}
	if objectFirst.Off() {
		return c.record(ctx, record)
	}
	size, err := c.Objects.Put(ctx, record.Object, body)
	if err != nil {
		return Record{}, outcome.New(outcome.NotRun, outcome.StoreDown, "the body could not be stored: "+err.Error())
	}
	if request.Size >= 0 && fleet.Bytes(size) != request.Size {
		c.discard(ctx, record.Object)
		return Record{}, outcome.New(outcome.NotRun, outcome.BadRequest, "the body does not have the announced size")
	}
	record.Size = fleet.Bytes(size)
	return c.record(ctx, record)
}

// newID derives the id from the key if there is one, so that copies of an
// upload that arrive at different daemons get the same record.
func (c *Queue) newID(request Request) ID {
	if request.Key == "" || oneUploadPerKey.Off() {
		return ID(prefix(request.Service) + c.NewUUID())
	}
	key := string(request.Organisation) + "\x00" + request.Key
	return ID(prefix(request.Service) + "k" + uuid.NewSHA1(uuid.NameSpaceOID, []byte(key)).String())
}

// record writes the record, conditional on its absence from all tables. A
// write without an answer is sent again: the conflict then shows whether the
// first one took effect.
func (c *Queue) record(ctx context.Context, record Record) (Record, error) {
	id := string(record.ID)
	t := store.Transaction{
		Conditions: []store.Condition{
			{Table: PendingTable, Key: id}, {Table: DeliveredTable, Key: id}, {Table: ParkedTable, Key: id},
		},
		Writes: []store.Write{{Table: PendingTable, Key: id, Value: record.encode()}},
	}
	for pause := retryPause; ; pause = min(2*pause, retryMost) {
		result, err := c.transact(ctx, t)
		if err == nil && result.Committed {
			return record, nil
		}
		if err == nil {
			return c.resolve(ctx, record, result.Conflicts[0])
		}
		if settleAccept.Off() {
			return Record{}, outcome.New(outcome.NotRun, outcome.StoreDown, "the table service does not answer")
		}
		if !wait.For(ctx, pause) {
			return Record{}, outcome.New(outcome.Unknown, outcome.StoreDown, "upload "+id+" may have been accepted")
		}
	}
}

// resolve answers an upload whose id is recorded already: by its own write
// whose answer was lost, or by another copy with the same key.
func (c *Queue) resolve(ctx context.Context, record Record, row store.Row) (Record, error) {
	existing, err := decode(row)
	if err != nil {
		return Record{}, outcome.New(outcome.Unknown, outcome.KeyUnknown, err.Error())
	}
	if existing.Object == record.Object {
		return existing, nil
	}
	c.discard(ctx, record.Object)
	return sameUpload(existing, record.Request)
}

func sameUpload(existing Record, request Request) (Record, error) {
	if existing.Request.Fingerprint != request.Fingerprint {
		return Record{}, outcome.New(outcome.NotRun, outcome.KeyReused, "the key was used for a different upload")
	}
	return existing, nil
}

// discard removes a body that no record names.
func (c *Queue) discard(ctx context.Context, object string) {
	if err := c.Objects.Delete(ctx, object); err != nil {
		c.Log.Warn("cannot remove an unused object.", "object", object, "error", err)
	}
}

// FingerprintOf returns the fingerprint of an upload without its body, whose
// size takes its place.
func FingerprintOf(method, uri string, size fleet.Bytes) uint64 {
	d := xxhash.New()
	for _, part := range []string{method, uri, strconv.FormatInt(int64(size), 10)} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part) // never fails
	}
	return d.Sum64()
}

func (c *Queue) transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Tables.Transact(ctx, t)
}
