package screener

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

const (
	// HeaderTimeout limits the time to send a head if no declaration does.
	HeaderTimeout = 5 * time.Second
	// timeoutGrace is added to the declaration's timeouts, since a client's clock starts when it sends or
	// receives, and this host's when the bytes have crossed the network.
	timeoutGrace = 200 * time.Millisecond
	// refusalTimeout limits the wait for room in the send buffer, which is empty unless the client reads no
	// answers.
	refusalTimeout = 10 * time.Millisecond
	// drainTimeout and maxDrained limit what is read after a refusal: a close with unread bytes is a reset,
	// which the client may see in place of the refusal.
	drainTimeout                  = 500 * time.Millisecond
	maxDrained   identifier.Bytes = 256 << 10
	// writeTimeout limits each write of an answer: a client that reads none must not hold its request for
	// ever. A body of 16 MB takes 7 s at an entry host's 20 Mbit/s.
	writeTimeout = 30 * time.Second
	// smallAnswerSize is what net/http writes from its buffer, which counts with the connection.
	smallAnswerSize identifier.Bytes = 4 << 10
	// retryAfterSeconds is the pause that a request refused for lack of memory is asked for.
	retryAfterSeconds = 1
)

// errEnded is returned by reads on an ended connection. As an error of a read from the network it makes
// net/http close the connection without an answer of its own.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request ended by the limits on clients")}

// connection is a connection of a client.
type connection struct {
	net.Conn
	screener *Screener
	id       reserver.ConnectionID
	ended    atomic.Bool
	// refusable is set while the connection's request can't have run, so that a refusal is true.
	refusable atomic.Bool
	// refusal is held while the refusal of an ended connection is written.
	refusal sync.Mutex

	// mutex guards the fields below: net/http reads from the connection on another goroutine while the
	// request runs.
	mutex sync.Mutex
	// inHead is set from the end of a request until the head of the next one is complete.
	inHead bool
	head   head
	// since is when the head began, or when the connection became idle.
	since time.Time
}

// NetConn returns the underlying connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, as net/http does before it closes a connection with unread bytes.
func (c *connection) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// awaitHead prepares for the head of the next request.
func (c *connection) awaitHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inHead, c.head, c.since = true, head{}, time.Now()
	c.refusable.Store(true)
}

// Read reads from the connection. While a head is expected, it applies the limits on heads.
func (c *connection) Read(p []byte) (int, error) {
	c.mutex.Lock()
	inHead := c.inHead
	// net/http reads single bytes to notice that a client has gone, and sets the deadline for that itself.
	if inHead && len(p) > 1 {
		if deadline := c.deadline(); !deadline.IsZero() {
			// An error means that the connection is closed, which Read reports too.
			_ = c.Conn.SetReadDeadline(deadline)
		}
	}
	c.mutex.Unlock()
	n, err := c.Conn.Read(p)
	if c.ended.Load() {
		return 0, errEnded
	}
	if !inHead {
		return n, err
	}
	if n > 0 {
		if status := c.count(p[:n]); status != 0 {
			c.refuse(status)
			return 0, errEnded
		}
		if c.ended.Load() {
			return 0, errEnded
		}
	} else if errors.Is(err, os.ErrDeadlineExceeded) && c.begun() {
		c.refuse(http.StatusRequestTimeout)
		return 0, errEnded
	}
	return n, err
}

// deadline returns when the head must be complete, or when the connection has been idle for too long. It
// returns the zero time if the declaration sets no limit.
func (c *connection) deadline() time.Time {
	declared := c.screener.declared()
	timeout := declared.IdleTimeout.Duration()
	if c.head.size > 0 {
		timeout = declared.HeaderTimeout.Duration()
		if timeout == 0 && declared.IdleTimeout > 0 {
			timeout = HeaderTimeout
		}
	}
	if timeout == 0 {
		return time.Time{}
	}
	return c.since.Add(timeout + timeoutGrace)
}

func (c *connection) begun() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inHead && c.head.size > 0
}

// count adds received bytes to the head. It returns the status of a refusal, or 0.
func (c *connection) count(received []byte) int {
	c.mutex.Lock()
	if !c.inHead {
		c.mutex.Unlock()
		return 0
	}
	before := c.head
	if before.size == 0 {
		c.since = time.Now()
	}
	c.head.scan(received)
	now := c.head
	c.inHead = !now.complete
	c.mutex.Unlock()
	if limit := c.screener.declared().MaxHeaderSize; limit > 0 && now.size > limit {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	c.reserve(reserver.HeadSize(now.size-before.size, now.lines-before.lines))
	return 0
}

// endHead ends the head of a request that net/http has read. It counts the lines that arrived together with
// the previous request.
func (c *connection) endHead(r *http.Request) {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	c.mutex.Lock()
	c.inHead = false
	missing := lines - c.head.lines
	c.mutex.Unlock()
	if missing > 0 {
		c.reserve(reserver.HeadSize(0, missing))
	}
}

// reserve counts memory before it is taken. Afterwards, ended tells whether this connection was ended.
func (c *connection) reserve(size identifier.Bytes) {
	s := c.screener
	s.mutex.Lock()
	ended := s.take(s.reserver.Reserve(c.id, size))
	s.mutex.Unlock()
	end(ended)
}

// run notes that the request has arrived in full, and returns false if it was ended and must not run.
func (c *connection) run() bool {
	c.screener.mutex.Lock()
	defer c.screener.mutex.Unlock()
	runs := c.screener.reserver.Run(c.id)
	if runs {
		c.refusable.Store(false)
	}
	return runs
}

// end closes the connection. A request that has not run is refused.
func (c *connection) end(refused bool) {
	status := 0
	if refused {
		status = http.StatusServiceUnavailable
	}
	c.setEnded(status)
	c.Conn.Close()
}

// refuse answers a request whose head breaks a limit, and reads on for a moment so that the client gets the
// answer. The head is held, and counted, until then.
func (c *connection) refuse(status int) {
	if !c.setEnded(status) {
		return
	}
	// The connection is closed in any case.
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, int64(maxDrained))
	c.Close()
}

// setEnded ends the connection's request, and refuses it with the status unless that is 0. It returns false if the
// request was ended before; the refusal is written then.
func (c *connection) setEnded(status int) bool {
	c.refusal.Lock()
	defer c.refusal.Unlock()
	if c.ended.Swap(true) {
		return false
	}
	if status != 0 {
		c.writeRefusal(status)
	}
	return true
}

func (c *connection) writeRefusal(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	// A client that gets no refusal sees a closed connection.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}

// Write writes to the connection, unless it was ended.
func (c *connection) Write(p []byte) (int, error) {
	if c.ended.Load() {
		return 0, net.ErrClosed
	}
	if size := identifier.Bytes(len(p)); size > smallAnswerSize {
		s := c.screener
		s.mutex.Lock()
		ended := s.take(s.reserver.Answer(c.id, size))
		s.mutex.Unlock()
		end(ended)
	}
	// An error means that the connection is closed, which Write reports too.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

// Close closes the connection and releases what it held. A refusal that is being written is completed first.
func (c *connection) Close() error {
	c.refusal.Lock()
	defer c.refusal.Unlock()
	s := c.screener
	s.mutex.Lock()
	s.reserver.Close(c.id)
	delete(s.connections, c.id)
	s.mutex.Unlock()
	return c.Conn.Close()
}

// bodyStep is how much of a body is counted ahead.
const bodyStep identifier.Bytes = 8 << 10

// body is a request's body, which is counted before it is read.
type body struct {
	io.ReadCloser
	connection     *connection
	read, reserved identifier.Bytes
}

// Read reads from the body. It returns io.EOF only if the request was not ended, and may run.
func (b *body) Read(p []byte) (int, error) {
	c := b.connection
	c.refusable.Store(true)
	p = p[:min(len(p), int(bodyStep))]
	if further := b.read + identifier.Bytes(len(p)) - b.reserved; further > 0 {
		c.reserve(reserver.BodySize(further))
		b.reserved += further
	}
	n, err := b.ReadCloser.Read(p)
	b.read += identifier.Bytes(n)
	if c.ended.Load() {
		return 0, errEnded
	}
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		c.refusable.Store(false)
	} else if !c.run() {
		c.end(true)
		return 0, errEnded
	}
	return n, err
}
