package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"pollenscale/core/policy"
	"pollenscale/core/store"
	"pollenscale/core/wait"
)

const (
	// defaultKeepVersions is about half a day of 9,200 publishes a day.
	defaultKeepVersions = 4096
	// maxPublishAttempts bounds the attempts after binding 'not published'
	// answers.
	maxPublishAttempts = 4
	// firstPause and maxPause bound the pause between calls that failed.
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	// sweepRows bounds the publishes removed at one snapshot version. It exceeds
	// the 64 versions between snapshots, so that the removal keeps pace.
	sweepRows = 4 * snapshotEvery
	// cleanupTimeout bounds work after the outcome of a publish is settled.
	cleanupTimeout = 5 * time.Second
)

var (
	// ErrNotPublished means that the publish did not take effect and never will.
	ErrNotPublished = errors.New("not published")
	// ErrOutcomeUnknown means that the publish may have taken effect. Publishing the
	// same directory again is safe: if it took effect, nothing changes.
	ErrOutcomeUnknown = errors.New("outcome of the publish is unknown")
)

// ConflictError means that another publish came first. Nothing of this publish
// took effect.
type ConflictError struct {
	// Base is the version that this publish was prepared against.
	Base uint64
	// Newer are the versions published since, oldest first.
	Newer []HistoryEntry
	// Overlapping are the documents that both sides touch.
	Overlapping []string
}

// Error says who changed what.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "not published: the configuration changed since version %d", e.Base)
	for _, w := range e.Newer {
		fmt.Fprintf(&b, "\n  version %d by %s at %s:", w.Number, w.Operator, w.PublishedAt.UTC().Format(time.RFC3339))
		for _, edit := range w.Edits {
			fmt.Fprintf(&b, "\n    %s %s", strings.ToLower(string(edit.Kind)), edit.Path)
		}
	}
	if len(e.Overlapping) > 0 {
		fmt.Fprintf(&b, "\n  changed by both: %s", strings.Join(e.Overlapping, ", "))
	}
	return b.String()
}

// Publisher publishes declarations. Set Archive and Operator.
type Publisher struct {
	Archive
	// Operator names who publishes, as other operators see it.
	Operator string
	// KeepVersions is how many past versions can be shown and rolled back to; 0
	// means 4096.
	KeepVersions uint64
	// Now defaults to time.Now.
	Now func() time.Time
	// NewID returns the id of a publish; the default is a UUIDv7.
	NewID func() PublishID
	// Pause waits about d between calls that failed, or until the context ends;
	// the default adds jitter.
	Pause func(ctx context.Context, d time.Duration) error
}

// Plan is a publish before it is carried out.
type Plan struct {
	// Base is the version that the plan changes; the publish is conditional on
	// it.
	Base Version
	// NextDigest is the digest of the documents after the publish.
	NextDigest Digest
	Edits      []Edit
	Reason     string
	// Before and After are the rendered policy; Before is nil when the version in
	// force cannot be rendered by this program.
	Before *policy.Set
	After  *policy.Set
	// Warnings are effects of the changes that an operator might not expect.
	Warnings []string

	docs  Documents
	delta Documents
	base  record
	row   store.Version
}

// HasChanges reports whether the plan changes anything.
func (p *Plan) HasChanges() bool {
	return len(p.Edits) > 0
}

// Plan checks the documents and compares them with the version in force.
func (p *Publisher) Plan(ctx context.Context, docs Documents, reason string) (*Plan, error) {
	head, row, err := p.head(ctx)
	if err != nil {
		return nil, err
	}
	have := Documents{}
	if head.Version > 0 {
		snapshot, err := p.snapshot(ctx, head)
		if err != nil {
			return nil, err
		}
		have = snapshot.Documents
	}
	after, err := Render(head.Version+1, docs)
	if err != nil {
		return nil, err
	}
	before, err := Render(head.Version, have)
	if err != nil {
		before = nil
	}
	return &Plan{
		Base: head.version(), NextDigest: docs.Digest(), Edits: have.Edits(docs), Reason: reason, Before: before, After: after, Warnings: warnings(before, after),
		docs: docs, delta: have.Delta(docs), base: head, row: row,
	}, nil
}

// PlanRollback prepares a new version with the documents of an earlier one.
func (p *Publisher) PlanRollback(ctx context.Context, number uint64) (*Plan, error) {
	old, err := p.Snapshot(ctx, number)
	if err != nil {
		return nil, err
	}
	if old.Number != number || number == 0 {
		return nil, errors.Newf("version %d does not exist", number)
	}
	return p.Plan(ctx, old.Documents, fmt.Sprintf("rollback to version %d", number))
}

// Publish carries out a plan and returns the version in force by it. A plan
// that changes nothing is confirmed against the head and makes no version. The
// error is *ConflictError, ErrNotPublished, ErrOutcomeUnknown or that of a check.
func (p *Publisher) Publish(ctx context.Context, plan *Plan) (Version, error) {
	if !plan.HasChanges() {
		return p.confirm(ctx, plan)
	}
	var last error
	for range maxPublishAttempts {
		version, err := p.attempt(ctx, plan)
		if err == nil || !errors.Is(err, ErrNotPublished) {
			return version, err
		}
		last = err
		if err := p.pause(ctx, firstPause); err != nil {
			break
		}
	}
	return Version{}, last
}

// confirm checks that the head is still the one that the plan was compared
// with. A read alone does not do, since the store may answer it from an older
// state.
func (p *Publisher) confirm(ctx context.Context, plan *Plan) (Version, error) {
	condition := store.Transaction{Conditions: []store.Condition{{Table: table, Key: headKey, Version: plan.row}}}
	result, err := p.Tables.Transact(ctx, condition)
	if err != nil {
		return Version{}, errors.Mark(errors.Wrap(err, "confirm the version in force"), ErrNotPublished)
	}
	if !result.Committed {
		return Version{}, p.conflict(ctx, plan, result.Conflicts)
	}
	return plan.Base, nil
}

func (p *Publisher) attempt(ctx context.Context, plan *Plan) (Version, error) {
	next, err := p.next(plan)
	if err != nil {
		return Version{}, err
	}
	if next.Base == next.Version {
		if err := p.putObject(ctx, next.PublishID, plan.docs); err != nil {
			p.discard(ctx, next)
			return Version{}, errors.Mark(err, ErrNotPublished)
		}
	}
	transaction, err := p.transaction(plan, next)
	if err != nil {
		return Version{}, err
	}
	result, err := p.Tables.Transact(ctx, transaction)
	taken := err == nil && result.Committed
	if err == nil && !taken {
		// A client that repeated the transaction after a lost answer meets the
		// row that the first copy wrote.
		taken, err = ownRow(result.Conflicts, next.PublishID)
	} else if err != nil {
		if taken, err = p.settle(ctx, next.PublishID); err == nil && !taken {
			err = errors.Wrap(ErrNotPublished, "the store did not take the publish")
		}
	}
	if taken {
		p.sweep(ctx, next)
		return next.version(), nil
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		return Version{}, err
	}
	p.discard(ctx, next)
	if err != nil {
		return Version{}, err
	}
	return Version{}, p.conflict(ctx, plan, result.Conflicts)
}

// ownRow reports whether the rows include that of a publish that took effect.
func ownRow(rows []store.Row, id PublishID) (bool, error) {
	for _, row := range rows {
		if row.Key == publishPrefix+string(id) && row.Version > 0 {
			made, err := decodePublish(row.Value)
			return made.Version > 0, err
		}
	}
	return false, nil
}

// next builds the record of the version that the plan makes.
func (p *Publisher) next(plan *Plan) (record, error) {
	id, err := p.newID()
	if err != nil {
		return record{}, err
	}
	next := record{
		Version: plan.base.Version + 1, PublishID: id, Digest: plan.NextDigest,
		Operator: p.Operator, Reason: plan.Reason, PublishedAt: p.now(),
		Base: plan.base.Base, BaseID: plan.base.BaseID, Edits: plan.Edits,
	}
	inline := plan.delta.size() <= maxInlineBytes
	if !inline || next.Base == 0 || next.Version-next.Base >= snapshotEvery {
		next.Base, next.BaseID = next.Version, id
	}
	if inline {
		next.Documents = plan.delta
	}
	return next, nil
}

// transaction moves the head. The condition on the publish row makes a copy of
// the transaction that arrives after settle without effect.
func (p *Publisher) transaction(plan *Plan, next record) (store.Transaction, error) {
	version, err := json.Marshal(next)
	if err != nil {
		return store.Transaction{}, err
	}
	head := next
	head.Documents = nil
	headValue, err := json.Marshal(head)
	if err != nil {
		return store.Transaction{}, err
	}
	return store.Transaction{
		Conditions: []store.Condition{
			{Table: table, Key: headKey, Version: plan.row},
			{Table: table, Key: publishPrefix + string(next.PublishID)},
		},
		Writes: []store.Write{
			{Table: table, Key: headKey, Value: headValue},
			{Table: table, Key: versionKey(next.Version), Value: version},
			{Table: table, Key: publishPrefix + string(next.PublishID), Value: encodePublish(publishRow{next.Version, next.Base == next.Version})},
		},
	}, nil
}

// settle finds out whether a publish took effect whose answer was lost. It
// writes the row of the publish on condition of its absence: if that succeeds,
// the publish did not take effect and never will; if not, the row in the answer
// says what became of it. A read alone could be answered from an older state.
func (p *Publisher) settle(ctx context.Context, id PublishID) (taken bool, err error) {
	key := publishPrefix + string(id)
	abandon := store.Transaction{
		Conditions: []store.Condition{{Table: table, Key: key}},
		Writes:     []store.Write{{Table: table, Key: key, Value: encodePublish(publishRow{})}},
	}
	for wait := firstPause; ; wait = min(2*wait, maxPause) {
		result, err := p.Tables.Transact(ctx, abandon)
		if err == nil && result.Committed {
			return false, nil
		}
		if err == nil {
			return ownRow(result.Conflicts, id)
		}
		if pauseErr := p.pause(ctx, wait); pauseErr != nil {
			return false, errors.Wrapf(ErrOutcomeUnknown, "publish %s: %v", id, err)
		}
	}
}

// publishRow is the value of a publish row; version 0 means abandoned.
type publishRow struct {
	Version uint64
	// Snapshot tells that the publish stored a snapshot.
	Snapshot bool
}

func encodePublish(r publishRow) []byte {
	data, _ := json.Marshal(r) // cannot fail for a number and a boolean
	return data
}

func decodePublish(value []byte) (publishRow, error) {
	var r publishRow
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode publish row")
}

// conflict describes what was published since the plan was made. Reading the
// history is best effort; the rows of the refusal name at least the latest
// version, also when reads are stale.
func (p *Publisher) conflict(ctx context.Context, plan *Plan, rows []store.Row) error {
	e := &ConflictError{Base: plan.Base.Number}
	if won, err := p.History(ctx, plan.Base.Number, snapshotEvery); err == nil {
		e.Newer = won
	}
	for _, row := range rows {
		head, err := decodeRecord(row)
		if err != nil || row.Key != headKey {
			continue
		}
		if n := len(e.Newer); n == 0 || e.Newer[n-1].Number < head.Version {
			e.Newer = append(e.Newer, head.published())
		}
	}
	for _, w := range e.Newer {
		for _, edit := range w.Edits {
			if _, ok := plan.delta[edit.Path]; ok && !slices.Contains(e.Overlapping, edit.Path) {
				e.Overlapping = append(e.Overlapping, edit.Path)
			}
		}
	}
	slices.Sort(e.Overlapping)
	return e
}

// discard removes the snapshot of a publish that did not take effect.
func (p *Publisher) discard(ctx context.Context, r record) {
	if r.Base != r.Version {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = p.Objects.Delete(ctx, objectPrefix+string(r.PublishID)) // an orphan does no harm
}

// sweep removes versions beyond those kept. It runs at snapshot versions alone
// and its failure is made up for by the next one.
func (p *Publisher) sweep(ctx context.Context, now record) {
	keep := p.KeepVersions
	if keep == 0 {
		keep = defaultKeepVersions
	}
	if now.Base != now.Version || now.Version <= keep+snapshotEvery {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	oldest := now.Version - keep - snapshotEvery
	rows, err := p.Tables.List(ctx, table, publishPrefix, "", sweepRows)
	if err != nil {
		return
	}
	var t store.Transaction
	for _, row := range rows {
		made, err := decodePublish(row.Value)
		if err != nil || made.Version >= oldest {
			break
		}
		t.Writes = append(t.Writes, store.Write{Table: table, Key: row.Key, Delete: true})
		if made.Version > 0 {
			t.Writes = append(t.Writes, store.Write{Table: table, Key: versionKey(made.Version), Delete: true})
		}
		if made.Snapshot {
			_ = p.Objects.Delete(ctx, objectPrefix+strings.TrimPrefix(row.Key, publishPrefix)) // an orphan does no harm
		}
	}
	if len(t.Writes) > 0 {
		_, _ = p.Tables.Transact(ctx, t) // repeated at the next snapshot version
	}
}

func (p *Publisher) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Publisher) newID() (PublishID, error) {
	if p.NewID != nil {
		return p.NewID(), nil
	}
	id, err := uuid.NewV7()
	return PublishID(id.String()), errors.Wrap(err, "make a publish id")
}

func (p *Publisher) pause(ctx context.Context, d time.Duration) error {
	if p.Pause != nil {
		return p.Pause(ctx, d)
	}
	if !wait.For(ctx, d/2+rand.N(d)) {
		return ctx.Err()
	}
	return nil
}
