package exchanger

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// smallResponseSize is the part of each response that doesn't count in maxLargeSize.
	smallResponseSize identifier.Bytes = 64 << 10
	// maxLargeSize limits what is held of all responses together beyond their small parts: a host
	// has some 100 MB to spare, and growing buffers use up to twice their size.
	maxLargeSize identifier.Bytes = 24 << 20
)

// errResponseTooLarge reports a response beyond its limit or that of all responses together.
var errResponseTooLarge = errors.New("response exceeds the size limit")

// Reader reads responses from a connection, within limits.
type Reader struct {
	*bufio.Reader
	// Named is set by the codec once a response on the connection has named its request.
	Named  bool
	source *source
}

func newReader(socket net.Conn, large *atomic.Int64) *Reader {
	s := &source{socket: socket, large: large}
	return &Reader{Reader: bufio.NewReaderSize(s, bufferSize), source: s}
}

// Allow limits the bytes that may be read from now on. Bytes that are buffered already don't count.
func (r *Reader) Allow(size identifier.Bytes) {
	r.source.allowed = size
}

// source counts the bytes of one response that are read from a connection.
type source struct {
	socket net.Conn
	// allowed is what may still be read, read what was read of the current response, and held its
	// part of large.
	allowed, read, held identifier.Bytes
	// large is what all connections hold beyond the small parts of their responses.
	large *atomic.Int64
	// ended is the error that has ended the socket; nil while it can be read.
	ended error
}

// Read reads from the connection unless a limit is reached.
func (s *source) Read(p []byte) (int, error) {
	if s.allowed <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := s.socket.Read(p[:min(len(p), int(s.allowed))])
	s.ended = err
	s.allowed -= identifier.Bytes(n)
	s.read += identifier.Bytes(n)
	if beyond := s.read - smallResponseSize - s.held; beyond > 0 {
		s.held += beyond
		if identifier.Bytes(s.large.Add(int64(beyond))) > maxLargeSize {
			return 0, errResponseTooLarge
		}
	}
	return n, err
}

// reset ends the current response and allows the first bytes of the next one.
func (s *source) reset() {
	s.large.Add(-int64(s.held))
	s.allowed, s.read, s.held = smallResponseSize, 0, 0
}
