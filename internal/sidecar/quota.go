package sidecar

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/quota"
	"pollenscale/core/route"
	"pollenscale/core/store"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// quotaTable holds the leases of the slots of organisations.
	quotaTable store.Table = "quota"
	// quotaTick is how often the leases are checked. A check without a due renewal makes no
	// call.
	quotaTick = 250 * time.Millisecond
	// quotaStoreTimeout limits a call to the store, which takes 4 ms. A longer one delays the
	// first renewal after an outage in which calls get no response.
	quotaStoreTimeout = 800 * time.Millisecond
	// quotaSettleTime is how long a daemon that has read the records of the others waits
	// before it takes slots without an owner: of daemons that start together, the first one
	// would take all. A restarted daemon does not wait: its slots have an owner, itself.
	quotaSettleTime = time.Second
	// quotaRankInterval is how often the preferred owners are computed again: with 3,400
	// daemons and 128 groups this takes about 5 ms.
	quotaRankInterval = time.Second
)

// Reasons of requests that are refused because of a quota.
const (
	quotaExceeded outcome.Reason = "QuotaExceeded"
	quotaNoOwner  outcome.Reason = "QuotaOwnerUnreachable"
)

// quotas is the state of the daemon for the quotas of organisations.
type quotas struct {
	now    func() quota.Instant
	leases atomic.Pointer[quota.Leases]
	cache  *quota.Cache
	view   atomic.Pointer[quotaView]
	viewMu sync.Mutex // held while the view is computed
	// joinedAt is when the records of the other daemons were first found read. It is used by
	// maintainQuotas only.
	joinedAt quota.Instant

	mu     sync.Mutex
	lanes  map[fleet.DaemonID]*quotaLane
	owners map[quota.Slot]fleet.DaemonID    // as other daemons have stated
	lost   map[quota.Slot]fleet.DaemonID    // latest owners that did not answer
	failed map[fleet.DaemonID]quota.Instant // when a daemon last did not answer

	// wake makes runQuotas check the leases at once.
	wake chan struct{}

	granted, denied, unreachable, questions, storeCalls *metrics.Counter
}

// quotaView is what the daemon derives from its configuration and from the records of the
// others.
type quotaView struct {
	config        *route.Config
	organisations map[fleet.Organisation]*route.Organisation
	used          map[quota.Slot]bool
	groups        int
	ranked        [][]fleet.DaemonID // preferred owners of each group
	rankedAt      quota.Instant
}

func (s *Sidecar) newQuotas() *quotas {
	set := s.meters.set
	q := &quotas{
		now: func() quota.Instant { return quota.Instant(bootTime()) }, cache: quota.NewCache(), lanes: make(map[fleet.DaemonID]*quotaLane),
		owners: make(map[quota.Slot]fleet.DaemonID), failed: make(map[fleet.DaemonID]quota.Instant),
		lost: make(map[quota.Slot]fleet.DaemonID), wake: make(chan struct{}, 1),
		granted: set.NewCounter("pollenscale_quota_tokens_granted_total"), denied: set.NewCounter("pollenscale_quota_denied_total"),
		unreachable: set.NewCounter("pollenscale_quota_owner_unreachable_total"),
		questions:   set.NewCounter("pollenscale_quota_questions_total"), storeCalls: set.NewCounter("pollenscale_quota_store_calls_total"),
	}
	set.NewGauge("pollenscale_quota_slots_owned", func() float64 {
		if l := q.leases.Load(); l != nil {
			return float64(l.Owned(q.now()))
		}
		return 0
	})
	return q
}

// quotaLeases returns the leases of this process.
func (s *Sidecar) quotaLeases() *quota.Leases {
	if l := s.quotas.leases.Load(); l != nil {
		return l
	}
	s.quotas.leases.CompareAndSwap(nil, quota.NewLeases(s.id, s.incarnation()))
	return s.quotas.leases.Load()
}

// limited reports whether the organisation has a quota.
func limited(o *route.Organisation) bool { return o != nil && o.Rate > 0 }

// quotaView returns the view of the configuration in force, nil if it has no limited
// organisation.
func (s *Sidecar) quotaView() *quotaView {
	config := s.config.Current()
	old := s.quotas.view.Load()
	now := s.quotas.now()
	if old != nil && old.config == config && (len(old.used) == 0 || now.Sub(old.rankedAt) < quotaRankInterval) {
		return old.orNil()
	}
	if old != nil && old.config == config {
		if !s.quotas.viewMu.TryLock() {
			return old.orNil()
		}
	} else {
		s.quotas.viewMu.Lock()
	}
	defer s.quotas.viewMu.Unlock()
	v := &quotaView{config: config, rankedAt: now}
	if old != nil && old.config == config {
		v.organisations, v.used, v.groups = old.organisations, old.used, old.groups
	} else {
		v.readConfig()
	}
	if len(v.used) > 0 {
		v.ranked = quota.Rank(s.quotaCandidates(), v.groups)
	}
	s.quotas.view.Store(v)
	return v.orNil()
}

func (v *quotaView) orNil() *quotaView {
	if len(v.used) == 0 {
		return nil
	}
	return v
}

func (v *quotaView) readConfig() {
	if v.config == nil || len(v.config.Organisations) == 0 {
		return
	}
	v.organisations, v.used = make(map[fleet.Organisation]*route.Organisation), make(map[quota.Slot]bool)
	count := 0
	for i := range v.config.Organisations {
		o := &v.config.Organisations[i]
		v.organisations[o.Name] = o
		if limited(o) {
			v.used[quota.SlotOf(o.Name)] = true
			count++
		}
	}
	v.groups = quota.Groups(count)
}

// candidates returns the preferred owners of a slot.
func (v *quotaView) candidates(s quota.Slot) []fleet.DaemonID { return v.ranked[int(s)%v.groups] }

// quotaCandidates returns the daemons that may own slots.
func (s *Sidecar) quotaCandidates() []quota.Candidate {
	out := []quota.Candidate{{Daemon: s.id, Working: s.ownState().TakesWork()}}
	if s.stopping.Load() {
		out = nil
	}
	for _, r := range s.roster.Reachable() {
		if r.Daemon != s.id {
			out = append(out, quota.Candidate{Daemon: r.Daemon, Working: r.State.TakesWork()})
		}
	}
	return out
}

// terms returns the terms of a bucket for the organisation.
func (s *Sidecar) quotaTerms(o *route.Organisation) quota.Terms {
	l := s.settings.Load().Quota
	b := quota.Bounds{Window: l.Window, Over: l.Over, Slack: l.Slack}
	if b.Window <= 0 {
		b.Window = defaultQuotaWindow
	}
	return b.Terms(o.Rate, o.Burst)
}

// defaultQuotaWindow is the window of the quotas if the settings contain none.
const defaultQuotaWindow = 5 * time.Second

// runQuotas maintains the leases until the context ends.
func (s *Sidecar) runQuotas(ctx context.Context) error {
	for {
		s.maintainQuotas(ctx)
		if !s.awaitQuotaWork(ctx) {
			return nil
		}
	}
}

// awaitQuotaWork waits for the next check of the leases, and reports false when ctx ends. Without
// limited organisations there is none until the configuration changes.
func (s *Sidecar) awaitQuotaWork(ctx context.Context) bool {
	var tick <-chan time.Time
	if s.quotaView() != nil || s.quotas.leases.Load() != nil {
		timer := time.NewTimer(quotaTick)
		defer timer.Stop()
		tick = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-tick:
	case <-s.quotas.wake:
	}
	return true
}

// maintainQuotas keeps the leases of the slots that this daemon owns, and takes over those that
// have no owner. Without limited organisations it makes no call.
func (s *Sidecar) maintainQuotas(ctx context.Context) {
	view := s.quotaView()
	if !s.joined.Load() || view == nil && s.quotas.leases.Load() == nil {
		return
	}
	if s.quotas.joinedAt == 0 {
		s.quotas.joinedAt = s.quotas.now()
	}
	leases := s.quotaLeases()
	const maxSteps = 4
	for range maxSteps {
		now := s.quotas.now()
		a := leases.Next(s.quotaSituation(view), now)
		if a.Step == quota.Nothing {
			return
		}
		if !s.takeQuotaStep(ctx, leases, a) {
			return
		}
	}
}

func (s *Sidecar) quotaSituation(view *quotaView) *quota.Situation {
	out := &quota.Situation{Era: s.storeEra.value(), Stopping: s.stopping.Load(), Lost: s.quotaOwnerLost}
	if view == nil {
		return out
	}
	out.Used = view.used
	settling := s.quotas.now().Sub(s.quotas.joinedAt) < quotaSettleTime
	if settling && (!s.restarted.Load() || resumeSlots.Off()) {
		return out
	}
	out.Ranks, out.First = make(map[quota.Slot]int), make(map[quota.Slot]fleet.DaemonID)
	for slot := range view.used {
		for i, id := range view.candidates(slot) {
			if id == s.id {
				out.Ranks[slot], out.First[slot] = i+1, view.candidates(slot)[0]
			}
		}
	}
	return out
}

// quotaOwnerLost reports whether a daemon is not known or out of reach.
func (s *Sidecar) quotaOwnerLost(id fleet.DaemonID) bool { return !s.roster.IsReachable(id) }

// takeQuotaStep makes the call of a step to the store, and reports whether it had a result.
func (s *Sidecar) takeQuotaStep(ctx context.Context, leases *quota.Leases, a quota.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, quotaStoreTimeout)
	defer cancel()
	s.quotas.storeCalls.Inc()
	sent := s.quotas.now()
	if a.Step == quota.List {
		rows, err := s.tables.List(ctx, quotaTable, "", "", 2*quota.Slots)
		if err != nil {
			s.meters.store.reportLost(s.log, err)
			leases.Failed(a, s.quotas.now())
			return false
		}
		s.meters.store.reportRegained(s.log)
		s.logQuotaChanges(leases.Listed(s.decodeQuotaRows(rows), sent, s.quotas.now()))
		return true
	}
	t, err := encodeQuotaRows(a)
	if err != nil {
		s.log.Error("quota: encoding a lease failed.", "error", err)
		return false
	}
	result, err := s.writeLeases(ctx, t)
	if err != nil {
		s.meters.store.reportLost(s.log, err)
		leases.Failed(a, s.quotas.now())
		return false
	}
	s.meters.store.reportRegained(s.log)
	s.observeEra(result.Era)
	if !result.Committed {
		s.log.Info("quota: leases were changed by another daemon.", "step", a.Step, "slots", len(a.Rows))
		leases.Conflicted(a, result.Era, s.quotas.now())
		return true
	}
	s.logQuotaChanges(leases.Committed(a, result.Versions, result.Era, s.quotas.now()))
	return true
}

func (s *Sidecar) logQuotaChanges(changes []quota.Change) {
	for _, c := range changes {
		s.log.Info("quota: owner changed.", "slot", int(c.Slot), "owner", c.Owner, "token", c.Token, "reason", c.Reason)
	}
}

// encodeQuotaRows returns the transaction that writes the rows of an action.
func encodeQuotaRows(a quota.Action) (store.Transaction, error) {
	var t store.Transaction
	for _, r := range a.Rows {
		value, err := json.Marshal(r.Row)
		if err != nil {
			return t, err
		}
		key := quotaKey(r.Slot)
		t.Conditions = append(t.Conditions, store.Condition{Table: quotaTable, Key: key, Version: r.Version})
		t.Writes = append(t.Writes, store.Write{Table: quotaTable, Key: key, Value: value})
	}
	return t, nil
}

func quotaKey(s quota.Slot) string { return strconv.Itoa(int(s)) }

// decodeQuotaRows decodes the rows of the table. A row that cannot be decoded has an unknown
// owner, so that it is taken over after the lifetime of a lease.
func (s *Sidecar) decodeQuotaRows(rows []store.Row) []quota.SlotRow {
	var out []quota.SlotRow
	for _, r := range rows {
		n, err := strconv.Atoi(r.Key)
		if err != nil || n < 0 || n >= quota.Slots || quotaKey(quota.Slot(n)) != r.Key {
			s.meters.invalid("quota").Inc()
			continue
		}
		row := quota.SlotRow{Slot: quota.Slot(n), Version: r.Version}
		if err := json.Unmarshal(r.Value, &row.Row); err != nil || row.Row.Owner == "" {
			s.meters.invalid("quota").Inc()
			s.log.Warn("quota: invalid lease.", "slot", n, "version", r.Version, "error", err)
			row.Row = quota.Row{Owner: "unknown"}
		}
		out = append(out, row)
	}
	return out
}
