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

// Timing of Join.
const (
	// firstSeedPause is the initial upper bound of the random part of the pause
	// between rounds over all seeds; it doubles up to maxSeedPause.
	firstSeedPause = 250 * time.Millisecond
	maxSeedPause   = 10 * time.Second
	// roundsBeforeStore is the number of failed rounds over all seeds after which
	// peer addresses are read from the store. A random delay of up to
	// firstStoreDelay precedes the read, so that 3,400 daemons none of whose seeds
	// answers make at most about 170 reads/s. The bound doubles with each read up
	// to maxStoreDelay.
	roundsBeforeStore = 3
	firstStoreDelay   = 20 * time.Second
	maxStoreDelay     = 10 * time.Minute
)

// SeedTable is the table of peer addresses for daemons none of whose seeds
// answers.
const SeedTable store.Table = "member-seeds"

// contactsPerZone is the number of members of a zone that maintain a row in SeedTable.
const contactsPerZone = 2

// ErrNoPeer is returned if neither the seeds nor the addresses in the store led to
// a peer that answers.
var ErrNoPeer = errors.New("no peer answered")

// Contact is a row of SeedTable.
type Contact struct {
	Daemon      fleet.DaemonID
	PeerAddress string
}

// Joiner joins a new daemon to the fleet.
type Joiner struct {
	List *List
	// Seeds are the configured peer addresses of seed peers.
	Seeds []string
	Call  Call
	// Tables is the table service. If its List field is nil, Join uses the seeds
	// only.
	Tables store.Tables
	// Sleep waits for the given time. It returns an error early if the context
	// ends. Nil means a real-time wait.
	Sleep func(context.Context, time.Duration) error
	// Jitter returns a random duration below d; nil means a uniform distribution.
	Jitter func(d time.Duration) time.Duration
}

// Join announces this daemon to the fleet and fills the list. It returns nil once
// a peer has answered. It retries until the context ends, since the first daemon
// of a fleet has no peer that could answer.
func (j *Joiner) Join(ctx context.Context) error {
	pause, delay := firstSeedPause, firstStoreDelay
	for round := 1; ; round++ {
		if j.joinVia(ctx, j.shuffledSeeds()) {
			return nil
		}
		if round >= roundsBeforeStore && j.Tables.List != nil {
			if err := j.sleep(ctx, j.jitter(delay)); err != nil {
				return errors.CombineErrors(ErrNoPeer, err)
			}
			if j.joinVia(ctx, j.readContacts(ctx)) {
				return nil
			}
			delay = min(2*delay, maxStoreDelay)
		}
		if err := j.sleep(ctx, j.jitter(pause)+pause/2); err != nil {
			return errors.CombineErrors(ErrNoPeer, err)
		}
		pause = min(2*pause, maxSeedPause)
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

// joinVia requests a sample of the fleet from the first address that answers and
// then reads the whole table from a member of the sample. It reports whether it
// succeeded.
func (j *Joiner) joinVia(ctx context.Context, addresses []string) bool {
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

// readContacts reads the peer addresses in SeedTable and returns them in random
// order.
func (j *Joiner) readContacts(ctx context.Context) []string {
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

// ContactRow returns the key of the row in SeedTable that this daemon should
// maintain, if it is among the first of its zone on the ring.
func (l *List) ContactRow() (key string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := 0
	for _, e := range l.ring {
		if e.hash >= l.selfHash || before >= contactsPerZone {
			break
		}
		if e.Place == l.self.Place {
			before++
		}
	}
	if before >= contactsPerZone || !l.self.State.TakesWork() {
		return "", false
	}
	return string(l.self.Place.AvailabilityZone) + "/" + string(rune('0'+before)), true
}

// PublishContact writes this daemon's row of SeedTable if the daemon should
// maintain one and the stored row differs. It is meant to be called every ten
// minutes with jitter: with 12 zones that makes 24 reads in ten minutes and fewer
// writes.
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

// subscriptions returns the subscribed services in order of name.
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
