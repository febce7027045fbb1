package daemon

import (
	"io"

	"pollenscale/io/client"
)

// releasingBody is the body of a response that gives back what its request occupies.
type releasingBody struct {
	io.ReadCloser
	room *client.Request
}

// Close closes the body.
func (b *releasingBody) Close() error {
	defer b.room.Release()
	return b.ReadCloser.Close()
}
