package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"pollenscale/platform/rowstore"

	"golang.org/x/sync/errgroup"
)

// fault is a kind of fault.
type fault string

const (
	terminate        fault = "Terminate"
	kill             fault = "Kill"
	freeze           fault = "Freeze"
	reconfigure      fault = "Reconfigure"
	storeBusy        fault = "StoreBusy"
	storeSilent      fault = "StoreSilent"
	drainTarget      fault = "DrainTarget"
	crashTarget      fault = "CrashTarget"
	loseResponses    fault = "LoseResponses"
	delayLink        fault = "DelayLink"
	resetLinks       fault = "ResetLinks"
	cutInward        fault = "CutInward"
	cutOutward       fault = "CutOutward"
	silenceLinks     fault = "SilenceLinks"
	cutStoreOutward  fault = "CutStoreOutward"
	restoreStore     fault = "RestoreStore"
	limitTarget      fault = "LimitTarget"
	leaveUnannounced fault = "LeaveUnannounced"
	leaveWhileKilled fault = "LeaveWhileKilled"
	endlessResponses fault = "EndlessResponses"
	stalledBody      fault = "StalledBody"
	earlyAnswer      fault = "EarlyAnswer"
	removeKey        fault = "RemoveKey"
	removeKeyUnheard fault = "RemoveKeyUnheard"
	removeKeyCutOff  fault = "RemoveKeyCutOff"
	removeKeyFrozen  fault = "RemoveKeyFrozen"
	evacuate         fault = "Evacuate"
	startCold        fault = "StartCold"
	turnCold         fault = "TurnCold"
	untrustedClients fault = "UntrustedClients"
)

// faults are the kinds from which a seed picks.
var faults = []fault{
	terminate, kill, freeze, reconfigure, storeBusy, storeSilent, drainTarget, crashTarget, loseResponses, delayLink,
	resetLinks, cutInward, cutOutward, silenceLinks, cutStoreOutward, restoreStore, limitTarget, leaveUnannounced,
	leaveWhileKilled, endlessResponses, stalledBody, earlyAnswer,
	removeKey, removeKeyUnheard, removeKeyCutOff, removeKeyFrozen,
	evacuate, startCold, turnCold, untrustedClients,
}

// always are faults that each seed plays besides those that it picks, since their checks need a
// few seconds each.
var always = []fault{evacuate, turnCold, removeKeyUnheard, removeKeyCutOff, removeKeyFrozen, untrustedClients, leaveWhileKilled}

// disturb injects faults in series; some last and overlap with the next ones.
func (s *site) disturb(rng *rand.Rand) {
	var group errgroup.Group
	due := map[int]fault{}
	for i, at := range rng.Perm(len(always)) {
		due[at] = always[i]
	}
	n := 0
	for end := time.Now().Add(time.Duration(*secondsFlag) * time.Second); time.Now().Before(end); {
		v := s.vms[rng.IntN(len(s.vms))]
		length := time.Duration(300+rng.IntN(1500)) * time.Millisecond
		kind := faults[rng.IntN(len(faults))]
		if d, ok := due[n]; ok {
			kind = d
		}
		n++
		s.played = append(s.played, fmt.Sprintf("%s of %s for %s", kind, v.ip, length))
		group.Go(func() error { return s.play(kind, v, length) })
		time.Sleep(time.Duration(200+rng.IntN(900)) * time.Millisecond)
	}
	if err := group.Wait(); err != nil {
		s.ledger.violate("the harness failed: %v", err)
	}
	s.store.SetOutage(rowstore.Outage{})
}

// play plays one fault. Faults of the process and of the target of one VM take turns.
func (s *site) play(kind fault, v *vm, length time.Duration) error {
	switch kind {
	case terminate:
		return v.exclusively(func() error { return v.restart(syscall.SIGTERM) })
	case kill:
		return v.exclusively(func() error { return v.restart(syscall.SIGKILL) })
	case freeze:
		return v.exclusively(func() error { return v.freeze(length) })
	case reconfigure:
		v.signal(syscall.SIGHUP)
		return s.configure()
	case storeBusy:
		s.store.SetOutage(rowstore.Outage{Busy: true})
		time.Sleep(length)
		s.store.SetOutage(rowstore.Outage{})
	case storeSilent:
		s.store.SetOutage(rowstore.Outage{Silent: true})
		time.Sleep(length)
		s.store.SetOutage(rowstore.Outage{Lose: 0.3})
	case restoreStore:
		return s.restoreStore(length)
	case drainTarget:
		return v.replaceTarget(0, func() { v.target.leave() })
	case crashTarget:
		return v.replaceTarget(0, func() {
			v.target.stop()
			time.Sleep(length / 4)
		})
	case leaveUnannounced: // its announcements are late, only its responses state that it leaves
		return v.replaceTarget(0, func() { v.target.leaveUnannounced() })
	case leaveWhileKilled:
		return v.replaceTarget(0, func() { v.target.leaveWhileKilled(length) })
	case loseResponses:
		v.target.loseResponses(length)
	case limitTarget:
		v.target.limitFor(limitLength)
	case endlessResponses:
		v.target.answerEndlessly(length)
	case earlyAnswer:
		for end := time.Now().Add(length); time.Now().Before(end); {
			v.upload()
		}
	case stalledBody:
		v.stallBody()
	case removeKey:
		return s.removeKey()
	case removeKeyUnheard, removeKeyCutOff, removeKeyFrozen:
		return s.removeKeyDuring(kind, v)
	case evacuate:
		s.evacuate(v.zone)
	case startCold:
		return v.replaceTarget(coldFor, func() { v.target.stop() })
	case turnCold:
		return v.turnCold(coldFor)
	case untrustedClients:
		v.untrustedClients(length)
	case delayLink:
		v.peers.delayFor(length)
	case resetLinks:
		v.peers.reset()
		v.store.reset()
	case cutInward:
		v.peers.cutFor(inward, length)
	case cutOutward:
		v.peers.cutFor(outward, length)
	case cutStoreOutward:
		v.store.cutFor(outward, length)
	case silenceLinks:
		v.peers.silence()
		v.store.silence()
	}
	return nil
}

// limitLength is how long a target states a rate limit, longer than the span of the rule.
const limitLength = 6 * time.Second

// exclusively plays a fault unless another one holds the VM.
func (v *vm) exclusively(f func() error) error {
	if !v.busy.TryLock() {
		return nil
	}
	defer v.busy.Unlock()
	return f()
}

func (v *vm) freeze(length time.Duration) error {
	v.signal(syscall.SIGSTOP)
	time.Sleep(length)
	v.signal(syscall.SIGCONT)
	return nil
}

// replaceTarget ends the target of the VM and starts another one, which is cold for a while.
func (v *vm) replaceTarget(cold time.Duration, end func()) error {
	return v.exclusively(func() error {
		end()
		t, err := startTarget(v, v.service, cold)
		if err == nil {
			v.target = t
		}
		return err
	})
}

// restoreStore takes the store away for a moment and brings it back from the copy that it
// had some time before. The operator then writes its configuration again.
func (s *site) restoreStore(age time.Duration) error {
	copied := s.store.Version()
	time.Sleep(age)
	s.store.SetOutage(rowstore.Outage{Busy: true})
	time.Sleep(age / 8)
	s.store.Restore(copied)
	s.store.SetOutage(rowstore.Outage{})
	s.writeEvacuations()
	return s.writeConfig()
}

// stalledAllowed is how long a daemon may leave a caller without a response that has
// stopped sending its body: the route's timeout, freezes of the daemon, and a margin.
const stalledAllowed = 8 * time.Second

// stallBody sends a request to the daemon and stops in the middle of the body. It expects a
// response, unless the connection ends with the process.
func (v *vm) stallBody() {
	conn, err := net.DialTimeout("tcp4", v.address(portCallers), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(stalledAllowed))
	_, err = fmt.Fprintf(conn, "POST /book/%s/stalled HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\nfirst part", services[0], steadyKey)
	if err != nil {
		return
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		v.site.ledger.violate("STALLED: %s does not answer within %s to a request whose body stopped", v.ip, stalledAllowed)
	}
	if err != nil {
		return
	}
	answer.Body.Close()
	if !strings.HasPrefix(answer.Status, "408") && !strings.HasPrefix(answer.Status, "503") {
		v.site.ledger.violate("STALLED: %s answers %s to a request whose body stopped", v.ip, answer.Status)
	}
}
