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
	// fleetWrites and fleetReads are what all daemons together may ask of the
	// store per second, of the several hundred writes and 2,000 reads that it
	// handles.
	fleetWrites = 100
	fleetReads  = 500
	// leastWrites and leastReads let one daemon work in a large fleet, where few
	// use the store at the same time.
	leastWrites = 1
	leastReads  = 2
	// storeBurst is what a daemon may ask for at once, such as the steps of
	// accepting one upload.
	storeBurst = 20
	// budgetInterval is how often the budget follows the size of the fleet.
	budgetInterval = 5 * time.Second
	// listedUploads bounds the parked uploads in the status.
	listedUploads = 20
	// parkedInterval is how often parked uploads are read from the store.
	parkedInterval = time.Minute
)

// storeClient is the daemon's client of the platform.
type storeClient struct {
	*tablestore.Client
	up     atomic.Bool
	parked atomic.Pointer[[]upload.Record]
}

func newStoreClient(address string) *storeClient {
	url := "http://" + address
	c := &storeClient{Client: tablestore.New(url, url, tablestore.WithBudget(fleetReads, fleetWrites, storeBurst))}
	c.up.Store(true)
	return c
}

// tables returns the table service, and notes whether it answers.
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

// shareStore keeps the own share of the store's budget in step with the size
// of the fleet, until ctx ends.
func (d *Daemon) shareStore(ctx context.Context) error {
	d.setStoreBudget()
	return wait.Every(ctx, budgetInterval, d.setStoreBudget)
}

func (d *Daemon) setStoreBudget() {
	n := float64(max(1, d.members.list.Size()))
	d.store.SetBudget(max(leastReads, fleetReads/n), max(leastWrites, fleetWrites/n), storeBurst)
}

// watchParked reads the parked uploads of the own service now and then.
func (d *Daemon) watchParked(ctx context.Context) error {
	return wait.Every(ctx, parkedInterval, func() {
		if records, err := d.uploads.courier.List(ctx, d.Own.Service, upload.Parked, "", listedUploads); err == nil {
			d.store.parked.Store(&records)
		}
	})
}

// endpoints returns the functions behind the operators' port.
func (d *Daemon) endpoints() operator.Endpoints {
	set := d.meters.set
	d.members.list.Register(set)
	d.config.spreader.Register(set)
	return operator.Endpoints{
		Ready:        d.notReady,
		Status:       d.status,
		WriteMetrics: func(w http.ResponseWriter) { set.WritePrometheus(w) },
	}
}

// notReady returns the reasons for which the daemon takes no work.
func (d *Daemon) notReady() []string {
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
		Daemon:           string(d.Own.Daemon),
		Incarnation:      uint64(d.Own.Incarnation),
		ProgramVersion:   d.version,
		Region:           string(d.Own.Place.Region),
		AvailabilityZone: string(d.Own.Place.AvailabilityZone),
		Service:          string(d.Own.Service),
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
