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
	// defaultKeepVersions covers about half a day at 9,200 publishes a day.
	defaultKeepVersions = 4096
	// maxPublishAttempts bounds the attempts of one publish. Only an attempt that is
	// known not to have been published is repeated.
	maxPublishAttempts = 4
	// minPause and maxPause bound the back-off after failed calls.
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
	// maxRemovedPublishes bounds the publishes removed at one snapshot version. It
	// exceeds the 64 versions between snapshots, so that removal keeps up with
	// publishing.
	maxRemovedPublishes = 4 * snapshotEvery
	// cleanupTimeout bounds the cleanup after the outcome of a publish is known.
	cleanupTimeout = 5 * time.Second
)

var (
	// ErrNotPublished means that the publish did not take effect and will not take
	// effect later.
	ErrNotPublished = errors.New("not published")
	// ErrOutcomeUnknown means that the publish may have taken effect. It is safe to
	// publish the same directory again: if the first publish took effect, the second
	// changes nothing.
	ErrOutcomeUnknown = errors.New("outcome of the publish is unknown")
)

// ConflictError means that the configuration changed after the plan was made. The
// publish did not take effect.
type ConflictError struct {
	// Base is the version that the plan was made against.
	Base uint64
	// Newer are the versions published since Base, oldest first.
	Newer []HistoryEntry
	// Overlapping are the paths that both the plan and the newer versions change.
	Overlapping []string
}

// Error lists the newer versions with their operators and edits.
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
	// Operator is the name under which other operators see the publish.
	Operator string
	// KeepVersions is the number of past versions that are kept for display and
	// rollback; 0 means 4096.
	KeepVersions uint64
	// Now defaults to time.Now.
	Now func() time.Time
	// NewID returns a new publish ID; the default is a UUIDv7.
	NewID func() PublishID
	// Pause waits about d after a failed call, or until the context ends; the
	// default adds jitter.
	Pause func(ctx context.Context, d time.Duration) error
}

// Plan is a prepared publish.
type Plan struct {
	// Base is the version that the plan changes. The publish is conditional on Base
	// still being the latest version.
	Base Version
	// NextDigest is the digest of the documents after the publish.
	NextDigest Digest
	Edits      []Edit
	Reason     string
	// Before and After are the rendered policies. Before is nil if this program
	// cannot render the version in force.
	Before *policy.Set
	After  *policy.Set
	// Warnings describe effects that an operator might not expect.
	Warnings []string

	docs    Documents
	delta   Documents
	base    record
	headRow store.Version
}

// HasChanges reports whether the plan changes anything.
func (p *Plan) HasChanges() bool {
	return len(p.Edits) > 0
}

// Plan validates the documents and compares them with the version in force.
func (p *Publisher) Plan(ctx context.Context, docs Documents, reason string) (*Plan, error) {
	head, row, err := p.head(ctx)
	if err != nil {
		return nil, err
	}
	current := Documents{}
	if head.Version > 0 {
		snapshot, err := p.snapshot(ctx, head)
		if err != nil {
			return nil, err
		}
		current = snapshot.Documents
	}
	after, err := Render(head.Version+1, docs)
	if err != nil {
		return nil, err
	}
	before, err := Render(head.Version, current)
	if err != nil {
		before = nil
	}
	return &Plan{
		Base: head.version(), NextDigest: docs.Digest(), Edits: current.Edits(docs), Reason: reason, Before: before, After: after, Warnings: keyRuleWarnings(before, after),
		docs: docs, delta: current.Delta(docs), base: head, headRow: row,
	}, nil
}

// PlanRollback plans a new version with the documents of an earlier one.
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

// Publish executes a plan and returns the version that it puts in force. A plan
// without changes creates no version, but is checked against the head. The error is
// *ConflictError, ErrNotPublished, ErrOutcomeUnknown or a validation error.
func (p *Publisher) Publish(ctx context.Context, plan *Plan) (Version, error) {
	if !plan.HasChanges() {
		return p.confirmUnchanged(ctx, plan)
	}
	var last error
	for range maxPublishAttempts {
		version, err := p.attempt(ctx, plan)
		if err == nil || !errors.Is(err, ErrNotPublished) {
			return version, err
		}
		last = err
		if err := p.pause(ctx, minPause); err != nil {
			break
		}
	}
	return Version{}, last
}

// confirmUnchanged checks that the head is still the one that the plan was made
// against. A read is not sufficient, since it may return a stale head.
func (p *Publisher) confirmUnchanged(ctx context.Context, plan *Plan) (Version, error) {
	condition := store.Transaction{Conditions: []store.Condition{{Table: table, Key: headKey, Version: plan.headRow}}}
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
			p.deleteSnapshot(ctx, next)
			return Version{}, errors.Mark(err, ErrNotPublished)
		}
	}
	transaction, err := p.transaction(plan, next)
	if err != nil {
		return Version{}, err
	}
	result, err := p.Tables.Transact(ctx, transaction)
	committed := err == nil && result.Committed
	if err == nil && !committed {
		// The client may have repeated the transaction after a lost answer. The
		// repetition then conflicts with the row that the first copy wrote.
		committed, err = committedPublish(result.Conflicts, next.PublishID)
	} else if err != nil {
		if committed, err = p.resolveOutcome(ctx, next.PublishID); err == nil && !committed {
			err = errors.Wrap(ErrNotPublished, "the store did not take the publish")
		}
	}
	if committed {
		p.removeOldVersions(ctx, next)
		return next.version(), nil
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		return Version{}, err
	}
	p.deleteSnapshot(ctx, next)
	if err != nil {
		return Version{}, err
	}
	return Version{}, p.conflict(ctx, plan, result.Conflicts)
}

// committedPublish reports whether the rows include that of the publish and show
// that it took effect.
func committedPublish(rows []store.Row, id PublishID) (bool, error) {
	for _, row := range rows {
		if row.Key == publishPrefix+string(id) && row.Version > 0 {
			publish, err := decodePublish(row.Value)
			return publish.Version > 0, err
		}
	}
	return false, nil
}

// next returns the record of the version that the plan creates.
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

// transaction returns the transaction that advances the head. Because of the
// condition on the publish row, a copy of the transaction that arrives after
// resolveOutcome has no effect.
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
			{Table: table, Key: headKey, Version: plan.headRow},
			{Table: table, Key: publishPrefix + string(next.PublishID)},
		},
		Writes: []store.Write{
			{Table: table, Key: headKey, Value: headValue},
			{Table: table, Key: versionKey(next.Version), Value: version},
			{Table: table, Key: publishPrefix + string(next.PublishID), Value: encodePublish(publishRow{next.Version, next.Base == next.Version})},
		},
	}, nil
}

// resolveOutcome determines whether a publish whose answer was lost took effect. It
// writes the publish row on the condition that the row is absent. If that succeeds,
// the publish did not take effect and cannot do so later. Otherwise the conflicting
// row shows its outcome. A read is not sufficient, since it may be stale.
func (p *Publisher) resolveOutcome(ctx context.Context, id PublishID) (committed bool, err error) {
	key := publishPrefix + string(id)
	abandon := store.Transaction{
		Conditions: []store.Condition{{Table: table, Key: key}},
		Writes:     []store.Write{{Table: table, Key: key, Value: encodePublish(publishRow{})}},
	}
	for backoff := minPause; ; backoff = min(2*backoff, maxPause) {
		result, err := p.Tables.Transact(ctx, abandon)
		if err == nil && result.Committed {
			return false, nil
		}
		if err == nil {
			return committedPublish(result.Conflicts, id)
		}
		if pauseErr := p.pause(ctx, backoff); pauseErr != nil {
			return false, errors.Wrapf(ErrOutcomeUnknown, "publish %s: %v", id, err)
		}
	}
}

// publishRow is the value of a publish row; version 0 means abandoned.
type publishRow struct {
	Version uint64
	// Snapshot is set if the publish stored a snapshot.
	Snapshot bool
}

func encodePublish(r publishRow) []byte {
	data, _ := json.Marshal(r) // cannot fail: the fields are a number and a boolean
	return data
}

func decodePublish(value []byte) (publishRow, error) {
	var r publishRow
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode publish row")
}

// conflict returns a ConflictError with the versions published since the plan was
// made. Reading the history is best effort. The conflicting rows include at least
// the latest version, even if reads are stale.
func (p *Publisher) conflict(ctx context.Context, plan *Plan, rows []store.Row) error {
	e := &ConflictError{Base: plan.Base.Number}
	if newer, err := p.History(ctx, plan.Base.Number, snapshotEvery); err == nil {
		e.Newer = newer
	}
	for _, row := range rows {
		head, err := decodeRecord(row)
		if err != nil || row.Key != headKey {
			continue
		}
		if n := len(e.Newer); n == 0 || e.Newer[n-1].Number < head.Version {
			e.Newer = append(e.Newer, head.historyEntry())
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

// deleteSnapshot deletes the snapshot of a publish that did not take effect.
func (p *Publisher) deleteSnapshot(ctx context.Context, r record) {
	if r.Base != r.Version {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = p.Objects.Delete(ctx, objectPrefix+string(r.PublishID)) // a leftover snapshot is harmless
}

// removeOldVersions removes the versions older than KeepVersions. It does so only
// at snapshot versions. After a failure, the next run removes the rest.
func (p *Publisher) removeOldVersions(ctx context.Context, latest record) {
	keep := p.KeepVersions
	if keep == 0 {
		keep = defaultKeepVersions
	}
	if latest.Base != latest.Version || latest.Version <= keep+snapshotEvery {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	oldest := latest.Version - keep - snapshotEvery
	rows, err := p.Tables.List(ctx, table, publishPrefix, "", maxRemovedPublishes)
	if err != nil {
		return
	}
	var t store.Transaction
	for _, row := range rows {
		publish, err := decodePublish(row.Value)
		if err != nil || publish.Version >= oldest {
			break
		}
		t.Writes = append(t.Writes, store.Write{Table: table, Key: row.Key, Delete: true})
		if publish.Version > 0 {
			t.Writes = append(t.Writes, store.Write{Table: table, Key: versionKey(publish.Version), Delete: true})
		}
		if publish.Snapshot {
			_ = p.Objects.Delete(ctx, objectPrefix+strings.TrimPrefix(row.Key, publishPrefix)) // a leftover snapshot is harmless
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
	return PublishID(id.String()), errors.Wrap(err, "generate publish ID")
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
