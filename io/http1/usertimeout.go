package http1

import (
	"syscall"
	"time"

	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// patientUploads is a mechanism that tests can switch off.
var patientUploads = mutant.New("http1/patient-uploads")

const (
	// userTimeout is TCP_USER_TIMEOUT: how long sent data may remain unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// maxPromptBody is the longest body during which userTimeout applies. The kernel also
	// applies it to a peer that acknowledges everything but has no room for more: a target
	// that stopped reading a long upload for 1.5 s lost its connection.
	maxPromptBody = 64 << 10
)

// setUserTimeout sets TCP_USER_TIMEOUT, which closes a connection whose peer does
// not acknowledge data.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// adjustUserTimeout lets the peer stop reading a long body until the deadline.
func (c *conn) adjustUserTimeout(r *Request) error {
	timeout := userTimeout
	if long := r.Body != nil && (r.Length < 0 || r.Length > maxPromptBody); long && !patientUploads.Off() {
		timeout = 0 // the system's
		if !r.Deadline.IsZero() {
			timeout = max(userTimeout, time.Until(r.Deadline))
		}
	}
	if timeout == c.userTimeout {
		return nil
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	c.userTimeout = timeout
	return setUserTimeout(raw, timeout)
}
