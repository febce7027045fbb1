package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"pollenscale/core/store"
	"pollenscale/core/upload"
	"pollenscale/core/wait"
	"pollenscale/io/operator"
	"pollenscale/io/tablestore"
)

const (
	// fleetWrites and fleetReads are the limits per second for the requests of all
	// daemons together to the store, which handles several hundred writes and 2,000
	// reads per second.
	fleetWrites = 100
	fleetReads  = 500
	// minWrites and minReads are the minimum limits of one daemon. They let it make
	// progress in a large fleet, where few daemons use the store at the same time.
	minWrites = 1
	minReads  = 2
	// storeBurst is the number of store requests that a daemon may make at once, for
	// example to accept one upload.
	storeBurst = 20
	// budgetInterval is how often the budget is adjusted to the size of the fleet.
	budgetInterval = 5 * time.Second
	// maxListedUploads is the maximum number of parked uploads in the status.
	maxListedUploads = 20
	// parkedPollInterval is how often parked uploads are read from the store.
	parkedPollInterval = time.Minute
)

// storeClient is the daemon's client of the platform's table service and object store.
type storeClient struct {
	*tablestore.Client
	// up reports whether the last transaction or read succeeded.
	up atomic.Bool
	// parked holds the parked uploads that were last read.
	parked atomic.Pointer[[]upload.Record]
}

func newStoreClient(address string) *storeClient {
	url := "http://" + address
	c := &storeClient{Client: tablestore.New(url, url, tablestore.WithBudget(fleetReads, fleetWrites, storeBurst))}
	c.up.Store(true)
	return c
}

// tables returns the table service, wrapped to record whether it answers.
func (c *storeClient) tables() store.Tables {
	t := c.Tables()
	return store.Tables{
		Transact: func(ctx context.Context, x store.Transaction) (store.Result, error) {
			result, err := t.Transact(ctx, x)
			c.up.Store(err == nil)
			return result, err
		},
		Read: func(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
			row, at, err := t.Read(ctx, table, key)
			c.up.Store(err == nil)
			return row, at, err
		},
		List: t.List,
	}
}

// adjustStoreBudget adjusts the own share of the store budget to the size of the fleet
// until ctx ends.
func (d *Daemon) adjustStoreBudget(ctx context.Context) error {
	d.setStoreBudget()
	return wait.Every(ctx, budgetInterval, d.setStoreBudget)
}

func (d *Daemon) setStoreBudget() {
	n := float64(max(1, d.members.list.Size()))
	d.store.SetBudget(max(minReads, fleetReads/n), max(minWrites, fleetWrites/n), storeBurst)
}

// pollParkedUploads periodically reads the parked uploads of the own service.
func (d *Daemon) pollParkedUploads(ctx context.Context) error {
	return wait.Every(ctx, parkedPollInterval, func() {
		if records, err := d.uploads.queue.List(ctx, d.Self.Service, upload.Parked, "", maxListedUploads); err == nil {
			d.store.parked.Store(&records)
		}
	})
}

// operatorEndpoints returns the functions that the operator port serves, and registers
// the metrics of the components.
func (d *Daemon) operatorEndpoints() operator.Endpoints {
	set := d.meters.set
	d.members.list.Register(set)
	d.config.spreader.Register(set)
	return operator.Endpoints{
		Ready:        d.unreadyReasons,
		Status:       d.status,
		WriteMetrics: func(w http.ResponseWriter) { set.WritePrometheus(w) },
	}
}

// unreadyReasons returns the reasons why the daemon is not ready, none if it is.
func (d *Daemon) unreadyReasons() []string {
	var reasons []string
	if s := d.State.Get(); !s.TakesWork() {
		reasons = append(reasons, "the target is "+string(s))
	}
	if !d.joined() {
		reasons = append(reasons, "no seed has answered")
	}
	if d.config.current() == nil {
		reasons = append(reasons, "no configuration is in force")
	}
	return reasons
}

func (d *Daemon) status() operator.Status {
	load := d.Load()
	version := d.config.holder.Version()
	s := operator.Status{
		Daemon:           string(d.Self.Daemon),
		Incarnation:      uint64(d.Self.Incarnation),
		ProgramVersion:   d.version,
		Region:           string(d.Self.Place.Region),
		AvailabilityZone: string(d.Self.Place.AvailabilityZone),
		Service:          string(d.Self.Service),
		State:            string(load.State),
		Slots:            uint32(load.Slots),
		Running:          load.Running,
		Queued:           load.Queued,
		ConfigVersion:    version.Number,
		ConfigDigest:     string(version.Digest),
		ConfigBehind:     d.config.holder.Behind(),
		ConfigRefused:    d.config.holder.Refused(),
		StoreUp:          d.store != nil && d.store.up.Load(),
	}
	if d.keys != nil {
		for _, g := range d.keys.holder.Grants() {
			s.KeySlots = append(s.KeySlots, operator.KeySlot{Slot: string(g.Name), Token: uint64(g.Token), ExpiresAt: g.Expiry})
		}
	}
	s.Members = d.memberStatus()
	s.Parked = d.parkedStatus()
	return s
}

func (d *Daemon) memberStatus() []operator.Member {
	var members []operator.Member
	for _, r := range d.members.list.All() {
		members = append(members, operator.Member{
			Daemon:           string(r.Daemon),
			Incarnation:      uint64(r.Incarnation),
			AvailabilityZone: string(r.Place.AvailabilityZone),
			Service:          string(r.Service),
			State:            string(r.State),
			Health:           string(r.Health),
		})
	}
	return members
}

func (d *Daemon) parkedStatus() []operator.ParkedUpload {
	if d.store == nil {
		return nil
	}
	records := d.store.parked.Load()
	if records == nil {
		return nil
	}
	var parked []operator.ParkedUpload
	for _, r := range *records {
		parked = append(parked, operator.ParkedUpload{ID: string(r.ID), Service: string(r.Request.Service), Reason: r.Detail})
	}
	return parked
}
