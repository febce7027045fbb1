package budget

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pollenscale/core/fleet"

	"github.com/matryer/is"
)

// step is an operation on an account; one of the fields up to EndWrite names the connection or
// the request that it concerns.
type step struct {
	At                                                                     float64 // seconds
	Open, Begin, BeginWrite, EndWrite, Head, Grow, GrowBody, Reading, Read string
	Progress                                                               string
	Bytes                                                                  fleet.Bytes
	Size                                                                   fleet.Bytes // of the buffer of a body
	Priority                                                               int
	Refused                                                                bool
	Ended                                                                  []string // that give way
}

// TestCases guards against the wrong one that gives way when a limit is reached.
func TestCases(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name, Guards string
		Bytes        fleet.Bytes
		Limits       map[Kind]int
		Steps        []step
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			limits := LimitsOf(0, 0)
			if c.Bytes > 0 {
				limits.Bytes = c.Bytes
			}
			for k, n := range c.Limits {
				limits.Descriptors[k] = n
			}
			s := script{account: New(limits), conns: map[string]*Conn{}, claims: map[string]*Claim{}}
			for i, st := range c.Steps {
				s.ended = nil
				if granted := s.apply(st); granted == st.Refused {
					t.Errorf("step %d: granted %v; guards against %s", i, granted, c.Guards)
				}
				if !slices.Equal(s.ended, st.Ended) {
					t.Errorf("step %d: %v gave way, want %v; guards against %s", i, s.ended, st.Ended, c.Guards)
				}
			}
			for _, c := range s.conns {
				c.Close()
			}
			for _, c := range s.claims {
				c.Release()
			}
			u := s.account.Usage()
			is.New(t).Equal(u.Bytes, fleet.Bytes(0))   // all memory is given back
			is.New(t).Equal(u.Descriptors[Callers], 0) // and all connections
		})
	}
}

type script struct {
	account *Account
	conns   map[string]*Conn
	claims  map[string]*Claim
	ended   []string
}

// claim returns the claim of a name, which the first step creates.
func (s *script) claim(name string, priority int) *Claim {
	if s.claims[name] == nil {
		s.claims[name] = s.account.Claim(priority)
	}
	return s.claims[name]
}

// apply applies a step and reports whether it was granted.
func (s *script) apply(st step) bool {
	now := time.Unix(0, 0).Add(time.Duration(st.At * float64(time.Second)))
	giveWay := func(name string) func() { return func() { s.ended = append(s.ended, name) } }
	switch {
	case st.Open != "":
		c, ok := s.account.Open(Callers, now, giveWay(st.Open))
		s.conns[st.Open] = c
		return ok
	case st.Begin != "":
		s.conns[st.Begin].Begin(now)
	case st.BeginWrite != "":
		s.conns[st.BeginWrite].BeginWrite(now)
	case st.EndWrite != "":
		s.conns[st.EndWrite].EndWrite(now)
	case st.Head != "":
		return s.conns[st.Head].ReadHead(st.Bytes, now)
	case st.Grow != "":
		return s.claim(st.Grow, st.Priority).Grow(st.Bytes, now)
	case st.GrowBody != "":
		return s.claim(st.GrowBody, st.Priority).GrowBody(st.Bytes, cmp.Or(st.Size, 1<<20), now)
	case st.Reading != "":
		s.claim(st.Reading, st.Priority).Reading(now, giveWay(st.Reading))
	case st.Progress != "":
		s.claim(st.Progress, st.Priority).Progress(now)
	case st.Read != "":
		return s.claim(st.Read, st.Priority).Read()
	}
	return true
}

// TestLimitsOf guards against limits that a request inside the limits of the configuration
// meets on the smallest VM, and against limits that together exceed those of a process.
func TestLimitsOf(t *testing.T) {
	for _, c := range []struct {
		memory      fleet.Bytes
		descriptors int
	}{{184 << 20, 4100}, {536 << 20, 8192}, {64 << 20, 300}, {0, 0}} {
		l := LimitsOf(c.memory, c.descriptors)
		is := is.New(t)
		lines := fleet.Bytes(16 << 10 / len("a:\r\n"))
		is.True(requestBytes+lines*lineBytes+copies*(16<<10)+2<<20 < l.Bytes-(maxUrgencySteps+bodySteps)*l.Bytes/urgencySteps) // a head of short lines and a body kept in memory
		if c.memory >= 184<<20 {
			is.True(l.Descriptors[Callers] >= 700) // several hundred ordinary connections
		}
		if c.descriptors == 0 {
			continue
		}
		total := l.Descriptors[Exchanges] + l.Descriptors[Attempts]
		for _, k := range Kinds() {
			if k != Streams {
				total += l.Descriptors[k]
			}
		}
		is.True(total+ownDescriptors+reservedDescriptors <= c.descriptors)
		inConnections := fleet.Bytes(l.Descriptors[Callers]+l.Descriptors[Nested]+l.Descriptors[Peers]+3*l.Descriptors[Ready]) * connectionBytes
		is.True((l.Bytes+inConnections)*3/2 < c.memory*3/4)
	}
}

// TestUnlimitedClaim guards against a claim that a caller has no account for.
func TestUnlimitedClaim(t *testing.T) {
	var c *Claim
	is := is.New(t)
	is.True(c.Grow(1<<40, time.Time{}))
	c.Reading(time.Time{}, func() {})
	c.Progress(time.Time{})
	is.True(c.Read())
	c.Release()
}

// BenchmarkRequest measures what a request with a small body costs.
func BenchmarkRequest(b *testing.B) {
	a := New(LimitsOf(184<<20, 4100))
	now := time.Now()
	conn, _ := a.Open(Callers, now, func() {})
	flow := a.Exchanges.Open(netip.Addr{})
	header := map[string][]string{"Host": {"a"}, "Accept": {"*/*"}, "User-Agent": {"a"}, "Authorization": {"b"}}
	b.ReportAllocs()
	for b.Loop() {
		conn.ReadHead(500, now)
		conn.Begin(now)
		a.Exchanges.TryAcquire(flow, 0)
		c := a.Claim(1)
		c.Grow(RequestCost(header), now)
		c.Grow(4096, now)
		c.Read()
		conn.BeginWrite(now)
		conn.EndWrite(now)
		c.Release()
		a.Exchanges.Release(flow)
		conn.End(now)
	}
}
