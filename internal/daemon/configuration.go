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

// configuration holds the configuration version in force and keeps it up to date from
// peers and the store.
type configuration struct {
	log        *slog.Logger
	holder     config.Holder
	spreader   *spread.Spreader
	archive    config.Archive
	peerClient *peer.Client
	// initial applies until a published version is known.
	initial *policy.Set
}

func newConfiguration(log *slog.Logger, initial *policy.Set, client *peer.Client, tables store.Tables, objects store.Objects) *configuration {
	c := &configuration{
		log:        log,
		archive:    config.Archive{Tables: tables, Objects: objects},
		peerClient: client,
		initial:    initial,
	}
	c.spreader = &spread.Spreader{
		Current: c.head,
		Apply:   c.apply,
		UpdateFrom: func(v spread.Version) (spread.Update, error) {
			return toSpreadUpdate(c.holder.UpdateFrom(uint64(v))), nil
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

// handleAnnouncement records the configuration version that another daemon announced.
func (c *configuration) handleAnnouncement(address string, version uint64, digest string) {
	c.holder.Announce(version)
	c.spreader.HandleAnnouncement(address, spread.Head{Version: spread.Version(version), Digest: digest})
}

func (c *configuration) apply(_ context.Context, u spread.Update) error {
	changed, err := c.holder.ApplyUpdate(toConfigUpdate(u))
	if changed {
		c.log.Info("version in force.", "version", c.holder.Version().Number)
	}
	if err != nil {
		c.log.Warn("configuration update not applied.", "error", err)
	}
	return err
}

func (c *configuration) fetch(ctx context.Context, address string, after spread.Version) (spread.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := c.peerClient.Control(address).FetchConfig(ctx, connect.NewRequest(&peerpb.FetchConfigRequest{AfterVersion: uint64(after)}))
	if err != nil {
		return spread.Update{}, err
	}
	return decodeUpdate(reply.Msg), nil
}

func (c *configuration) readStore(ctx context.Context, after spread.Version) (spread.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	u, err := c.archive.UpdateFrom(ctx, uint64(after))
	if err != nil {
		return spread.Update{}, err
	}
	return toSpreadUpdate(u), nil
}

// handleFetch serves the changes after a version to another daemon.
func (c *configuration) handleFetch(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return encodeUpdate(c.holder.UpdateFrom(r.GetAfterVersion())), nil
}

func encodeUpdate(u config.Update) *peerpb.FetchConfigResponse {
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

func decodeUpdate(m *peerpb.FetchConfigResponse) spread.Update {
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

func toSpreadUpdate(u config.Update) spread.Update {
	var out spread.Update
	if u.Snapshot != nil {
		c := toSpreadChange(u.Snapshot.Version, u.Snapshot.Documents)
		out.Snapshot = &c
	}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, toSpreadChange(c.Version, c.Documents))
	}
	return out
}

func toSpreadChange(v config.Version, documents config.Documents) spread.Change {
	return spread.Change{
		Version:   spread.Version(v.Number),
		PublishID: string(v.PublishID),
		Digest:    string(v.Digest),
		Documents: documents,
	}
}

func toConfigUpdate(u spread.Update) config.Update {
	var out config.Update
	if u.Snapshot != nil {
		out.Snapshot = &config.Snapshot{Version: toConfigVersion(*u.Snapshot), Documents: u.Snapshot.Documents}
	}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, config.Change{Version: toConfigVersion(c), Documents: c.Documents})
	}
	return out
}

func toConfigVersion(c spread.Change) config.Version {
	return config.Version{Number: uint64(c.Version), PublishID: config.PublishID(c.PublishID), Digest: config.Digest(c.Digest)}
}
