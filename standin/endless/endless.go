// Package endless stands in for a peer that sends bytes without end.
package endless

import (
	"bytes"
	"io"
	"net"
)

// pieceBytes is the size of one write.
const pieceBytes = 64 << 10

// Serve accepts one connection, writes a beginning and then the same text until the peer
// closes the connection, but not more than about maxBytes. It returns how many of them
// were taken.
func Serve(l net.Listener, beginning, text string, maxBytes int) (taken int, err error) {
	conn, err := l.Accept()
	if err != nil {
		return 0, err
	}
	defer conn.Close() //nolint:errcheck // the peer has closed the connection
	if _, err := io.WriteString(conn, beginning); err != nil {
		return 0, err
	}
	piece := bytes.Repeat([]byte(text), pieceBytes/len(text))
	for taken < maxBytes {
		n, err := conn.Write(piece)
		taken += n
		if err != nil {
			break
		}
	}
	return taken, nil
}
