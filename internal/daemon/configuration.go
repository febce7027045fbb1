package daemon

import (
	"context"
	"log/slog"

	"pollenscale/core/config"
	"pollenscale/core/policy"
	"pollenscale/core/spread"
	"pollenscale/core/store"
	"pollenscale/io/peer"
	"pollenscale/io/peer/peerpb"

	"connectrpc.com/connect"
)

// configuration holds the version in force and keeps it up to date.
type configuration struct {
	log      *slog.Logger
	holder   config.Holder
	spreader *spread.Spreader
	archive  config.Archive
	peer     *peer.Client
	// initial is in force until a published version is known.
	initial *policy.Set
}

func newConfiguration(log *slog.Logger, initial *policy.Set, client *peer.Client, tables store.Tables, objects store.Objects) *configuration {
	c := &configuration{
		log:     log,
		archive: config.Archive{Tables: tables, Objects: objects},
		peer:    client,
		initial: initial,
	}
	c.spreader = &spread.Spreader{
		Current: c.head,
		Apply:   c.apply,
		ChangesAfter: func(v spread.Version) (spread.Update, error) {
			return spreadUpdate(c.holder.UpdateFrom(uint64(v))), nil
		},
		Fetch: c.fetch,
	}
	if tables.Read != nil {
		c.spreader.ReadStore = c.readStore
	}
	return c
}

// current returns the policy in force.
func (c *configuration) current() *policy.Set {
	if set := c.holder.Current(); set != nil {
		return set
	}
	return c.initial
}

func (c *configuration) head() spread.Head {
	v := c.holder.Version()
	return spread.Head{Version: spread.Version(v.Number), Digest: string(v.Digest)}
}

// heard takes in the version of another daemon.
func (c *configuration) heard(address string, version uint64, digest string) {
	c.holder.Announce(version)
	c.spreader.HandleAnnouncement(address, spread.Head{Version: spread.Version(version), Digest: digest})
}

func (c *configuration) apply(_ context.Context, u spread.Update) error {
	changed, err := c.holder.ApplyUpdate(configUpdate(u))
	if changed {
		c.log.Info("version in force.", "version", c.holder.Version().Number)
	}
	if err != nil {
		c.log.Warn("update not applied.", "error", err)
	}
	return err
}

func (c *configuration) fetch(ctx context.Context, address string, after spread.Version) (spread.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := c.peer.Control(address).FetchConfig(ctx, connect.NewRequest(&peerpb.FetchConfigRequest{AfterVersion: uint64(after)}))
	if err != nil {
		return spread.Update{}, err
	}
	return unpackUpdate(reply.Msg), nil
}

func (c *configuration) readStore(ctx context.Context, after spread.Version) (spread.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	u, err := c.archive.UpdateFrom(ctx, uint64(after))
	if err != nil {
		return spread.Update{}, err
	}
	return spreadUpdate(u), nil
}

// answer serves the changes after a version to another daemon.
func (c *configuration) answer(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return packUpdate(c.holder.UpdateFrom(r.GetAfterVersion())), nil
}

func packUpdate(u config.Update) *peerpb.FetchConfigResponse {
	m := &peerpb.FetchConfigResponse{}
	if s := u.Snapshot; s != nil {
		m.Snapshot = &peerpb.ConfigSnapshot{
			Version:   s.Number,
			PublishId: string(s.PublishID),
			Digest:    string(s.Digest),
			Documents: s.Documents,
		}
	}
	for _, c := range u.Changes {
		m.Changes = append(m.Changes, &peerpb.ConfigChange{
			Version:   c.Number,
			PublishId: string(c.PublishID),
			Digest:    string(c.Digest),
			Documents: c.Documents,
		})
	}
	return m
}

func unpackUpdate(m *peerpb.FetchConfigResponse) spread.Update {
	var u spread.Update
	if s := m.GetSnapshot(); s != nil {
		u.Snapshot = &spread.Change{
			Version:   spread.Version(s.GetVersion()),
			PublishID: s.GetPublishId(),
			Digest:    s.GetDigest(),
			Documents: s.GetDocuments(),
		}
	}
	for _, c := range m.GetChanges() {
		u.Changes = append(u.Changes, spread.Change{
			Version:   spread.Version(c.GetVersion()),
			PublishID: c.GetPublishId(),
			Digest:    c.GetDigest(),
			Documents: c.GetDocuments(),
		})
	}
	return u
}

func spreadUpdate(u config.Update) spread.Update {
	var out spread.Update
	if u.Snapshot != nil {
		c := spreadChange(u.Snapshot.Version, u.Snapshot.Documents)
		out.Snapshot = &c
	}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, spreadChange(c.Version, c.Documents))
	}
	return out
}

func spreadChange(v config.Version, documents config.Documents) spread.Change {
	return spread.Change{
		Version:   spread.Version(v.Number),
		PublishID: string(v.PublishID),
		Digest:    string(v.Digest),
		Documents: documents,
	}
}

func configUpdate(u spread.Update) config.Update {
	var out config.Update
	if u.Snapshot != nil {
		out.Snapshot = &config.Snapshot{Version: configVersion(*u.Snapshot), Documents: u.Snapshot.Documents}
	}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, config.Change{Version: configVersion(c), Documents: c.Documents})
	}
	return out
}

func configVersion(c spread.Change) config.Version {
	return config.Version{Number: uint64(c.Version), PublishID: config.PublishID(c.PublishID), Digest: config.Digest(c.Digest)}
}
