package fleetsim

import (
	"pollenscale/core/member"
	"pollenscale/io/gossip"
	"pollenscale/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
)

func decodeReply(data []byte) member.Reply {
	var m peerpb.ExchangeMembersResponse
	if err := proto.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	r, err := gossip.DecodeReply(&m)
	if err != nil {
		panic(err)
	}
	return r
}
