package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/io/gossip"

	"golang.org/x/sync/errgroup"
)

const roleLoopback = "peer: gossip over UDP on loopback, real time"

// measureLoopback runs n daemons over UDP on loopback in real time, so that the
// measured cost includes system calls and timers.
func measureLoopback(r *results, n int) error {
	const seconds = 5
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	var lists []*member.List
	var records []member.Record
	for i := range n {
		address := fmt.Sprintf("127.0.0.1:%d", 24000+i)
		list := member.New(fleet.Target{
			Daemon: fleet.DaemonID(fmt.Sprintf("vm-%05d", i)), Incarnation: fleet.Incarnation(time.Now().UnixNano()),
			GossipAddress: address, PeerAddress: address, Service: "service", State: fleet.Serving, Slots: 12,
		})
		transport, err := gossip.Listen(address, list)
		if err != nil {
			return err
		}
		lists, records = append(lists, list), append(records, list.Self())
		group.Go(func() error { return transport.Run(ctx) })
	}
	for _, l := range lists {
		l.Merge(member.Request{}, member.Reply{Members: records})
	}
	time.Sleep(3 * time.Second)
	before := cpuTime()
	time.Sleep(seconds * time.Second)
	r.add(roleLoopback, "idle CPU", n, 100*(cpuTime()-before).Seconds()/float64(n)/seconds, "% of a core")
	notAlive := 0
	for _, l := range lists {
		notAlive += n - l.Counts()[member.Alive]
	}
	r.add(roleLoopback, "members not seen alive", n, float64(notAlive)/float64(n), "members")
	cancel()
	_ = group.Wait() // returns the cancellation error
	return nil
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
