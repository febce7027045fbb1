package member

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

// Timing of joining.
const (
	// seedRetry is the first upper bound of the random pause between attempts
	// to reach a seed; it doubles up to seedRetryMost.
	seedRetry     = 250 * time.Millisecond
	seedRetryMost = 10 * time.Second
	// storeAfter is the number of failed rounds over all seeds after which the
	// store is asked. A random pause of up to storeSpread precedes the read, so
	// that 3,400 daemons that lost all seeds make about 170 reads/s at most. It
	// doubles with each read up to storeSpreadMost.
	storeAfter      = 3
	storeSpread     = 20 * time.Second
	storeSpreadMost = 10 * time.Minute
)

// SeedTable is the table that holds contact addresses, for daemons none of
// whose seeds answers.
const SeedTable store.Table = "member-seeds"

// seedsPerZone is the number of members of a zone that keep a row in SeedTable.
const seedsPerZone = 2

// ErrNoPeer is returned when neither seeds nor the store led to a peer.
var ErrNoPeer = errors.New("no peer answered")

// Contact is a row of SeedTable.
type Contact struct {
	Daemon      fleet.DaemonID
	PeerAddress string
}

// Joiner brings a new daemon into the fleet.
type Joiner struct {
	List *List
	// Seeds are peer addresses from the settings.
	Seeds []string
	Call  Call
	// Tables is the table service; its List field may be nil.
	Tables store.Tables
	// Sleep waits, and returns early with an error when the context ends.
	Sleep func(context.Context, time.Duration) error
	// Jitter returns a random length below d; nil means a uniform one.
	Jitter func(d time.Duration) time.Duration
}

// Join makes the own daemon known to the fleet and fills the list. It returns
// nil when a peer answered. It tries until the context ends, since a fleet whose
// first daemon this is has no peer to answer.
func (j *Joiner) Join(ctx context.Context) error {
	pause, spread := seedRetry, storeSpread
	for round := 1; ; round++ {
		if j.joinBy(ctx, j.shuffledSeeds()) {
			return nil
		}
		if round >= storeAfter && j.Tables.List != nil {
			if err := j.sleep(ctx, j.jitter(spread)); err != nil {
				return errors.CombineErrors(ErrNoPeer, err)
			}
			if j.joinBy(ctx, j.contacts(ctx)) {
				return nil
			}
			spread = min(2*spread, storeSpreadMost)
		}
		if err := j.sleep(ctx, j.jitter(pause)+pause/2); err != nil {
			return errors.CombineErrors(ErrNoPeer, err)
		}
		pause = min(2*pause, seedRetryMost)
	}
}

func (j *Joiner) jitter(d time.Duration) time.Duration {
	if j.Jitter != nil {
		return j.Jitter(d)
	}
	return rand.N(d)
}

func (j *Joiner) sleep(ctx context.Context, d time.Duration) error {
	if j.Sleep != nil {
		return j.Sleep(ctx, d)
	}
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}

func (j *Joiner) shuffledSeeds() []string {
	own := j.List.Self().PeerAddress
	seeds := slices.DeleteFunc(slices.Clone(j.Seeds), func(s string) bool { return s == own })
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	return seeds
}

// joinBy asks the first peer that answers for a sample of the fleet and then
// reads the whole table from a member of the sample.
func (j *Joiner) joinBy(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		reply, err := j.Call(ctx, address, Request{Sample: sampleSize})
		if err != nil {
			continue
		}
		sources := append([]string{address}, addressesOf(reply.Members)...)
		rand.Shuffle(len(sources), func(a, b int) { sources[a], sources[b] = sources[b], sources[a] })
		for _, source := range sources {
			if source == j.List.Self().PeerAddress {
				continue
			}
			x := Exchange{PeerAddress: source, Services: j.List.subscriptions()}
			if err := j.List.Reconcile(ctx, j.Call, x); err == nil {
				return true
			}
		}
	}
	return false
}

func addressesOf(records []Record) []string {
	var out []string
	for _, r := range records {
		if r.PeerAddress != "" {
			out = append(out, r.PeerAddress)
		}
	}
	return out
}

// contacts reads peer addresses from the store.
func (j *Joiner) contacts(ctx context.Context) []string {
	rows, err := j.Tables.List(ctx, SeedTable, "", "", 0)
	if err != nil {
		return nil
	}
	var out []string
	for _, row := range rows {
		var c Contact
		if err := json.Unmarshal(row.Value, &c); err == nil && c.Daemon != j.List.Self().Daemon {
			out = append(out, c.PeerAddress)
		}
	}
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}

// ContactRow returns the key of the row in SeedTable that the own daemon should
// keep, if it is among the first of its zone on the ring.
func (l *List) ContactRow() (key string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := 0
	for _, e := range l.ring {
		if e.hash >= l.selfHash || before >= seedsPerZone {
			break
		}
		if e.Place == l.self.Place {
			before++
		}
	}
	if before >= seedsPerZone || !l.self.State.TakesWork() {
		return "", false
	}
	return string(l.self.Place.AvailabilityZone) + "/" + string(rune('0'+before)), true
}

// PublishContact writes the own row of SeedTable if the own daemon should keep
// one and the row differs. The caller calls it every ten minutes with jitter:
// with 12 zones that makes 24 reads in ten minutes and fewer writes.
func (j *Joiner) PublishContact(ctx context.Context) error {
	key, ok := j.List.ContactRow()
	if !ok {
		return nil
	}
	self := j.List.Self()
	value, err := json.Marshal(Contact{Daemon: self.Daemon, PeerAddress: self.PeerAddress})
	if err != nil {
		return err
	}
	row, _, err := j.Tables.Read(ctx, SeedTable, key)
	if err != nil || bytes.Equal(row.Value, value) {
		return err
	}
	_, err = j.Tables.Transact(ctx, store.Transaction{
		Conditions: []store.Condition{{Table: SeedTable, Key: key, Version: row.Version}},
		Writes:     []store.Write{{Table: SeedTable, Key: key, Value: value}},
	})
	return err
}

func (l *List) subscriptions() []fleet.Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.Service
	for s := range l.subscribed {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}
