package member

import (
	"context"
	"time"
)

const (
	// rejoinFirst and rejoinMost bound the pause between looks for seeds that
	// belong to no member. Daemons that start together can join each other in
	// groups that do not know of one another; the seeds, which they share,
	// bring the groups together.
	rejoinFirst = 500 * time.Millisecond
	rejoinMost  = 30 * time.Second
)

// Rejoin reconciles with each seed that belongs to no known member, again and
// again until the context ends, and returns the error of the context.
func (j *Joiner) Rejoin(ctx context.Context) error {
	for pause := rejoinFirst; ; pause = min(2*pause, rejoinMost) {
		for _, address := range j.strangers() {
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

// strangers returns the seeds that are not the address of a member.
func (j *Joiner) strangers() []string {
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
