package budget

import (
	"bytes"

	"pollenscale/core/fleet"
)

const (
	// lineBytes is what a header line costs beside its bytes: an entry of the map with its
	// list of values is 100 to 130 bytes, and a daemon holds up to three copies of the map.
	lineBytes = 320
	// requestBytes is what a request costs beside its head and its body: contexts, timers,
	// buffers and the buffered part of a response.
	requestBytes = 40 << 10
	// copies is the number of copies of the bytes of a head.
	copies = 2
)

// HeadCost returns the memory for the next bytes of a head.
func HeadCost(b []byte) fleet.Bytes {
	return fleet.Bytes(bytes.Count(b, []byte{'\n'})*lineBytes + len(b)*copies)
}

// RequestCost returns the memory for a request with the header, without its body.
func RequestCost(header map[string][]string) fleet.Bytes {
	cost := requestBytes
	for name, values := range header {
		for _, v := range values {
			cost += lineBytes + copies*(len(name)+len(v))
		}
	}
	return fleet.Bytes(cost)
}

// HeaderLength returns the shortest length of a header as it is sent.
func HeaderLength(header map[string][]string) int {
	n := 0
	for name, values := range header {
		for _, v := range values {
			n += len(name) + len(":\r\n") + len(v)
		}
	}
	return n
}
