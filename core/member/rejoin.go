package member

import (
	"context"
	"time"
)

const (
	// firstRejoinPause and maxRejoinPause bound the pause between checks for seeds
	// that belong to no member. Daemons that start together can form groups that
	// do not know of each other; the seeds, which they share, connect the groups.
	firstRejoinPause = 500 * time.Millisecond
	maxRejoinPause   = 30 * time.Second
)

// Rejoin periodically reconciles with each seed that belongs to no known member.
// It runs until the context ends and returns the context's error.
func (j *Joiner) Rejoin(ctx context.Context) error {
	for pause := firstRejoinPause; ; pause = min(2*pause, maxRejoinPause) {
		for _, address := range j.unknownSeeds() {
			x := Exchange{PeerAddress: address, Services: j.List.subscriptions()}
			if err := j.List.Reconcile(ctx, j.Call, x); err != nil && ctx.Err() != nil {
				return ctx.Err()
			}
		}
		if err := j.sleep(ctx, j.jitter(pause)+pause/2); err != nil {
			return err
		}
	}
}

// unknownSeeds returns the seeds that are not the peer address of a member.
func (j *Joiner) unknownSeeds() []string {
	known := map[string]bool{}
	for _, r := range j.List.All() {
		known[r.PeerAddress] = true
	}
	var unknown []string
	for _, address := range j.shuffledSeeds() {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	return unknown
}
