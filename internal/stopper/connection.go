package stopper

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// newConnectionGrace is how long after it was accepted a connection may send its first request while the server
	// stops: a first segment that was lost is sent again after 200 ms.
	newConnectionGrace = 400 * time.Millisecond
	// lastReadTimeout is the time of the last read before a connection ends, which finds what has arrived since the
	// reader was woken.
	lastReadTimeout = time.Millisecond
	// lingerTimeout and maxLingered limit what is read after the last answer: a close with unread bytes is a
	// reset, which can destroy an answer that the client has not read.
	lingerTimeout = 500 * time.Millisecond
	maxLingered   = 256 << 10
)

// connection is a connection that a stopping server ends only on the goroutine that reads from it.
type connection struct {
	net.Conn
	server   *Server
	accepted time.Time

	// mutex guards the fields below.
	mutex sync.Mutex
	// idle is set until something of the next request is read, and used is set from the first request on.
	idle, used bool
	// answered is when the last request was answered.
	answered time.Time
	// bufferSize is the size of net/http's buffer, known from the first read. A read into less than the whole buffer
	// follows other bytes of the same request.
	bufferSize int
	// waiting is set during a read for the first bytes of a request, and woken once that read has the deadline of a
	// stopping server in place of readDeadline.
	waiting, woken bool
	readDeadline   time.Time
	closed         bool
}

// ownConnection returns the connection below the wrappers of others, or nil.
func ownConnection(c net.Conn) *connection {
	for {
		if own, ok := c.(*connection); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// NetConn returns the underlying connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *connection) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// becomeIdle notes that a request is answered.
func (c *connection) becomeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle, c.answered = true, time.Now()
}

// wake makes a read for the first bytes of a request return soon. It does nothing if there is none; the next one
// sees that the server stops.
func (c *connection) wake() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting {
		c.limitWait()
	}
}

// limitWait sets the deadline of a read for the first bytes of a request while the server stops.
func (c *connection) limitWait() {
	c.woken = true
	deadline := time.Now()
	if !c.used {
		deadline = c.accepted.Add(newConnectionGrace)
	}
	// An error means that the connection is closed, which Read reports too.
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads. The deadlines of a stopping server go before it.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readDeadline = t
	if c.woken || c.closed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *connection) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read reads from the connection. It returns io.EOF if the server stops and nothing of a request has arrived.
func (c *connection) Read(p []byte) (int, error) {
	waits := c.beginRead(len(p))
	n, err := c.Conn.Read(p)
	if waits && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isWoken() {
		// The deadline ends a read also if something has just arrived.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
		if n, err = c.Conn.Read(p); n == 0 {
			err = io.EOF
		}
	}
	c.endRead(n)
	return n, err
}

func (c *connection) isWoken() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.woken
}

// beginRead reports whether a read is for the first bytes of a request.
func (c *connection) beginRead(size int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	c.waiting = c.idle && size == c.bufferSize
	if c.waiting && c.server.stopping.Load() {
		c.limitWait()
	}
	return c.waiting
}

func (c *connection) endRead(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n > 0 {
		c.idle, c.used = false, true
	}
	c.waiting = false
	if c.woken && !c.closed {
		c.woken = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// Close closes the connection. While the server stops, it reads on for a moment so that the client gets the last
// answer.
func (c *connection) Close() error {
	c.mutex.Lock()
	closed, idle, answered := c.closed, c.idle, c.answered
	c.closed = true
	c.mutex.Unlock()
	if closed {
		return net.ErrClosed
	}
	if !c.server.stopping.Load() || c.server.killed.Load() {
		defer c.server.remove(c)
		return c.Conn.Close()
	}
	err := c.CloseWrite()
	if idle {
		go c.lingerIdle(answered)
	} else {
		go c.linger()
	}
	return err
}

// linger reads until the client closes the connection too, and then closes it.
func (c *connection) linger() {
	defer c.server.remove(c)
	defer c.Conn.Close()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingered)
}

// lingerIdle waits until the client closes the connection too, and then closes it. It never reads a whole request,
// which would get no answer.
func (c *connection) lingerIdle(answered time.Time) {
	defer c.server.remove(c)
	defer c.Conn.Close()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var first [1]byte
	if n, _ := c.Conn.Read(first[:]); n > 0 {
		// The close is a reset, and the client may still read a recent answer.
		time.Sleep(time.Until(answered.Add(lingerTimeout)))
	}
}
