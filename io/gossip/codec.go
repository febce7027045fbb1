package gossip

import (
	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/io/peer/peerpb"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// ErrMalformed is returned for messages that violate the membership protocol.
var ErrMalformed = errors.New("malformed membership message")

// Encode encodes a datagram.
func Encode(d member.Datagram) ([]byte, error) {
	return proto.Marshal(&peerpb.Datagram{
		Kind:            string(d.Kind),
		Sequence:        d.Sequence,
		From:            string(d.From),
		FromIncarnation: uint64(d.FromIncarnation),
		Subject:         string(d.Subject),
		News:            EncodeRecords(d.Updates),
		ConfigVersion:   d.ConfigVersion,
		ConfigDigest:    d.ConfigDigest,
		TableDigest:     d.TableDigest,
	})
}

// Decode decodes a datagram. It returns ErrMalformed if the sender is missing or
// if a kind, state or health is unknown.
func Decode(data []byte) (member.Datagram, error) {
	var p peerpb.Datagram
	if err := proto.Unmarshal(data, &p); err != nil {
		return member.Datagram{}, errors.CombineErrors(ErrMalformed, err)
	}
	kind := member.Kind(p.GetKind())
	switch kind {
	case member.Ping, member.Ack, member.Nack, member.PingRequest, member.Gossip:
	default:
		return member.Datagram{}, ErrMalformed
	}
	if p.GetFrom() == "" {
		return member.Datagram{}, ErrMalformed
	}
	news, err := DecodeRecords(p.GetNews())
	if err != nil {
		return member.Datagram{}, err
	}
	return member.Datagram{
		Kind:            kind,
		Sequence:        p.GetSequence(),
		From:            fleet.DaemonID(p.GetFrom()),
		FromIncarnation: fleet.Incarnation(p.GetFromIncarnation()),
		Subject:         fleet.DaemonID(p.GetSubject()),
		Updates:         news,
		ConfigVersion:   p.GetConfigVersion(),
		ConfigDigest:    p.GetConfigDigest(),
		TableDigest:     p.GetTableDigest(),
	}, nil
}

// EncodeRecords encodes member records.
func EncodeRecords(records []member.Record) []*peerpb.Member {
	out := make([]*peerpb.Member, len(records))
	for i := range records {
		out[i] = encodeRecord(&records[i])
	}
	return out
}

func encodeRecord(r *member.Record) *peerpb.Member {
	m := &peerpb.Member{
		Daemon:           string(r.Daemon),
		Incarnation:      uint64(r.Incarnation),
		Revision:         uint64(r.Revision),
		PeerAddress:      r.PeerAddress,
		GossipAddress:    r.GossipAddress,
		Region:           string(r.Place.Region),
		AvailabilityZone: string(r.Place.AvailabilityZone),
		Service:          string(r.Service),
		State:            string(r.State),
		Health:           string(r.Health),
		Slots:            uint32(r.Slots),
		DetailsRevision:  uint64(r.DetailsRevision),
		Detailed:         r.Detailed,
	}
	for _, k := range r.KeySlots {
		m.KeySlots = append(m.KeySlots, &peerpb.Fence{Slot: k.Slot, Token: k.Token})
	}
	return m
}

// DecodeRecords decodes member records. It returns ErrMalformed if a record lacks
// its id, incarnation or revision, or has an unknown state or health.
func DecodeRecords(members []*peerpb.Member) ([]member.Record, error) {
	var out []member.Record
	for _, m := range members {
		r := decodeRecord(m)
		if r.Daemon == "" || r.Incarnation == 0 || r.Revision == 0 || !r.State.Valid() || !validHealth(r.Health) {
			return nil, ErrMalformed
		}
		out = append(out, r)
	}
	return out, nil
}

func decodeRecord(m *peerpb.Member) member.Record {
	r := member.Record{
		Target: fleet.Target{
			Daemon:        fleet.DaemonID(m.GetDaemon()),
			Incarnation:   fleet.Incarnation(m.GetIncarnation()),
			PeerAddress:   m.GetPeerAddress(),
			GossipAddress: m.GetGossipAddress(),
			Place: fleet.Place{
				Region:           fleet.Region(m.GetRegion()),
				AvailabilityZone: fleet.AvailabilityZone(m.GetAvailabilityZone()),
			},
			Service: fleet.Service(m.GetService()),
			State:   fleet.State(m.GetState()),
			Slots:   fleet.Slots(m.GetSlots()),
		},
		Revision:        member.Revision(m.GetRevision()),
		DetailsRevision: member.Revision(m.GetDetailsRevision()),
		Health:          member.Health(m.GetHealth()),
		Detailed:        m.GetDetailed(),
	}
	for _, k := range m.GetKeySlots() {
		r.KeySlots = append(r.KeySlots, member.KeySlot{Slot: k.GetSlot(), Token: k.GetToken()})
	}
	return r
}

func validHealth(h member.Health) bool {
	switch h {
	case member.Alive, member.Suspect, member.Dead:
		return true
	case member.Unreachable:
	}
	return false
}

// EncodeRequest encodes a reconciliation request.
func EncodeRequest(r member.Request) *peerpb.ExchangeMembersRequest {
	m := &peerpb.ExchangeMembersRequest{
		Members:       EncodeRecords(r.Members),
		ConfigVersion: r.ConfigVersion,
		Buckets:       r.Buckets,
		Sample:        uint32(r.Sample),
	}
	for _, s := range r.Services {
		m.Services = append(m.Services, string(s))
	}
	return m
}

// DecodeRequest decodes a reconciliation request.
func DecodeRequest(m *peerpb.ExchangeMembersRequest) (member.Request, error) {
	records, err := DecodeRecords(m.GetMembers())
	if err != nil {
		return member.Request{}, err
	}
	r := member.Request{
		Members:       records,
		Buckets:       m.GetBuckets(),
		Sample:        int(min(m.GetSample(), maxSample)),
		ConfigVersion: m.GetConfigVersion(),
	}
	for _, s := range m.GetServices() {
		r.Services = append(r.Services, fleet.Service(s))
	}
	return r, nil
}

// EncodeReply encodes a reconciliation reply.
func EncodeReply(r member.Reply) *peerpb.ExchangeMembersResponse {
	return &peerpb.ExchangeMembersResponse{
		Members:       EncodeRecords(r.Members),
		ConfigVersion: r.ConfigVersion,
		Buckets:       r.Buckets,
	}
}

// DecodeReply decodes a reconciliation reply.
func DecodeReply(m *peerpb.ExchangeMembersResponse) (member.Reply, error) {
	records, err := DecodeRecords(m.GetMembers())
	if err != nil {
		return member.Reply{}, err
	}
	return member.Reply{Members: records, Buckets: m.GetBuckets(), ConfigVersion: m.GetConfigVersion()}, nil
}

// maxSample limits the sample size of a request.
const maxSample = 64
