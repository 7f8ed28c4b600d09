package exchanger

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// sender writes requests to a connection. By default it never waits: what the socket doesn't accept at once is kept
// for flush.
type sender struct {
	socket net.Conn
	raw    syscall.RawConn
	// waits is set while Write may wait until the server reads.
	waits bool
	// rest is what the socket has not accepted yet.
	rest []byte
	// offered, accepted and err are the argument and the results of offer, and queued is the result of countQueued.
	offered  []byte
	accepted int
	err      error
	queued   int
	// offerFunc and countFunc are offer and countQueued, as values that aren't allocated for each call.
	offerFunc func(fd uintptr) bool
	countFunc func(fd uintptr)
}

// newSender returns a sender to a socket of the kernel.
func newSender(socket net.Conn) (*sender, error) {
	connection, ok := socket.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("connection of type %T has no file descriptor", socket)
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access the file descriptor of a connection: %w", err)
	}
	s := &sender{socket: socket, raw: raw}
	s.offerFunc, s.countFunc = s.offer, s.countQueued
	return s, nil
}

// Write implements io.Writer.
func (s *sender) Write(p []byte) (int, error) {
	if s.waits {
		return s.socket.Write(p)
	}
	kept := p
	if len(s.rest) == 0 {
		// A closed connection returns an error without a call of offer.
		s.offered, s.accepted, s.err = p, 0, nil
		err := s.raw.Write(s.offerFunc)
		s.offered = nil
		if err = errors.Join(err, s.err); err != nil {
			return s.accepted, err
		}
		kept = p[s.accepted:]
	}
	s.rest = append(s.rest, kept...)
	return len(p), nil
}

// offer writes what the socket accepts at once. It returns true, so that syscall.RawConn doesn't wait until the
// socket accepts more.
func (s *sender) offer(fd uintptr) bool {
	for s.accepted < len(s.offered) {
		n, err := syscall.Write(int(fd), s.offered[s.accepted:])
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return true
		case err != nil:
			s.err = fmt.Errorf("write to a connection: %w", err)
			return true
		}
		s.accepted += n
	}
	return true
}

// flush writes what Write has kept. It waits until the server reads.
func (s *sender) flush() error {
	_, err := s.socket.Write(s.rest)
	s.rest = nil
	return err
}

// unreceived returns how many written bytes the server's kernel has not acknowledged. It returns 0 if that is unknown.
func (s *sender) unreceived() identifier.Bytes {
	if err := s.raw.Control(s.countFunc); err != nil {
		return 0
	}
	return identifier.Bytes(s.queued)
}

// countQueued counts the bytes in the socket's send queue, which holds what is not acknowledged.
func (s *sender) countQueued(fd uintptr) {
	var err error
	if s.queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
		s.queued = 0
	}
}
