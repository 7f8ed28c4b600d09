// Package exchanger keeps a pool of connections to backend servers and runs attempts on
// them, one at a time per connection.
//
// It never sends a request twice. An attempt whose connection ends without a response is
// reported as lost, and one that was never written, or whose deadline had passed by then, as refused.
// Idle connections are read too, so that one that the server closes, or that delivers unexpected
// data, is not reused. Attempts of one client request never share a connection, since a second copy
// of a response couldn't be told from the response to a later attempt.
// What is read of each response, and held of all together, is limited.
//
// # Usage
//
//	x := exchanger.New(codec, logger)
//	x.Start(host.Deliver, host.Now)
//	x.Exchange(effect)
//	x.Cancel(attempt, grace)
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/dialer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	// dialTimeout limits the time to connect to a backend server: a hundred round trips
	// within a region.
	dialTimeout = 400 * time.Millisecond
	// resetMargin is added to the duration of the dial, which is one round trip. Their sum is
	// how long checkReset watches a new connection, since a server at its connection cap
	// accepts connections and resets them at once.
	resetMargin = 300 * time.Microsecond
	// largeRequestSize is the size from which a request is written on its own goroutine. Of smaller
	// ones, the caller writes what the socket accepts at once, which is all if the server reads.
	largeRequestSize identifier.Bytes = 16 << 10
	// defaultIdleTimeout applies to connections whose server does not state an idle timeout.
	defaultIdleTimeout = 900 * time.Millisecond
	// idleTimeoutMargin is how long before the server's idle timeout a connection stops being reused.
	idleTimeoutMargin = 300 * time.Millisecond
	// maxFreshIdle limits the idle time of a connection for an attempt that must not be lost.
	maxFreshIdle = 200 * time.Millisecond
	// writeWaitLimit limits the wait, after a response, until the server has received the rest of
	// the request. After that the connection is closed.
	writeWaitLimit = time.Second
	// receiptInterval is how often that wait checks what the server has received.
	receiptInterval = 10 * time.Millisecond
	// failedWriteReadLimit is how long a response is awaited after the write of its request has failed. A
	// response from before the failure has arrived already.
	failedWriteReadLimit = 100 * time.Millisecond
	// rememberedRequests is the number of client requests that a connection remembers having
	// carried. A server's slots bound what it answers while a request may still be retried.
	rememberedRequests = 16
	// bufferSize is the size of a connection's buffers, in bytes. A typical part with its
	// headers fits.
	bufferSize = 4 << 10
)

// errUnexpectedData reports data on a connection on which no request has been sent.
var errUnexpectedData = errors.New("unexpected data before the first request")

// Reply is the result of Codec.Read.
type Reply struct {
	Event reducer.RequestEvent
	// Reusable reports whether the connection may run another attempt.
	Reusable bool
	// IdleTimeout is how long the server keeps an idle connection open, or 0 if it is unknown.
	IdleTimeout time.Duration
	// Warning names a header that was ignored and the reason, or is empty.
	Warning string
}

// Codec implements the protocol of the backend servers.
type Codec interface {
	// Size returns the approximate size of an attempt's encoded request.
	Size(reducer.Exchange) identifier.Bytes
	// Write writes an attempt's request.
	Write(w *bufio.Writer, e reducer.Exchange, remaining identifier.Micros) error
	// Read reads the response to an attempt. It returns an error if the response is
	// missing, incomplete or malformed.
	Read(r *Reader, e reducer.Exchange) (Reply, error)
}

// Exchanger runs attempts on backend servers. It is safe for concurrent use.
type Exchanger struct {
	codec   Codec
	logger  hclog.Logger
	deliver func(reducer.Event)
	now     func() identifier.Instant
	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// large is what all connections hold beyond the small parts of their responses, in bytes.
	large atomic.Int64

	// mutex guards the fields below and the connections' current attempts.
	mutex    sync.Mutex
	idle     map[endpoint][]*connection
	open     map[*connection]struct{}
	attempts map[identifier.ExchangeID]*attempt
}

// endpoint is a server at an address. Another server may take over the address later.
type endpoint struct {
	server  identifier.ServerID
	address identifier.Address
}

// attempt is an attempt in flight.
type attempt struct {
	exchange   reducer.Exchange
	connection *connection
	// written is closed when the request has been written or the write has failed, which sets
	// writeFailed before.
	written     chan struct{}
	writeFailed bool
	// cancelled is set by Cancel, when the response is no longer needed.
	cancelled bool
	// graceTimer closes the connection of a cancelled attempt.
	graceTimer *time.Timer
}

// New returns an Exchanger without connections.
func New(c Codec, logger hclog.Logger) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchanger{
		codec: c, logger: logger, context: ctx, cancel: cancel,
		idle:     map[endpoint][]*connection{},
		open:     map[*connection]struct{}{},
		attempts: map[identifier.ExchangeID]*attempt{},
	}
}

// Start sets the function that receives the results of attempts, and the clock of their
// deadlines. It must be called before Exchange.
func (x *Exchanger) Start(deliver func(reducer.Event), now func() identifier.Instant) {
	x.deliver, x.now = deliver, now
}

// Close closes all connections and waits for their goroutines.
func (x *Exchanger) Close() {
	x.cancel()
	x.mutex.Lock()
	for c := range x.open {
		c.socket.Close()
	}
	x.mutex.Unlock()
	x.group.Wait()
}

// Exchange runs an attempt. Its result is delivered as an event.
func (x *Exchanger) Exchange(e reducer.Exchange) {
	a := &attempt{exchange: e, written: make(chan struct{})}
	x.mutex.Lock()
	x.attempts[e.Attempt] = a
	c := x.takeIdle(e)
	if c != nil {
		x.assign(c, a)
	}
	x.mutex.Unlock()
	switch {
	case c == nil:
		x.group.Go(func() { x.dial(a) })
	case x.codec.Size(e) >= largeRequestSize:
		x.group.Go(func() { x.write(c, a, true) })
	default:
		x.write(c, a, false)
	}
}

// Cancel cancels an attempt. If its response does not arrive within the grace period, its
// connection is closed.
func (x *Exchanger) Cancel(id identifier.ExchangeID, grace identifier.Micros) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a, ok := x.attempts[id]
	if !ok || a.cancelled {
		return
	}
	a.cancelled = true
	a.graceTimer = time.AfterFunc(grace.Duration(), func() { x.abort(id) })
}

// abort closes the connection of a cancelled attempt.
func (x *Exchanger) abort(id identifier.ExchangeID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if a, ok := x.attempts[id]; ok && a.connection != nil {
		a.connection.socket.Close()
	}
}

// takeIdle returns the most recently used idle connection that the attempt may use, or nil.
// It closes those that are too old. It must be called with the lock held.
func (x *Exchanger) takeIdle(e reducer.Exchange) *connection {
	target := endpoint{e.Server, e.Address}
	now := x.now()
	var kept []*connection
	var found *connection
	list := x.idle[target]
	for len(list) > 0 && found == nil {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		switch {
		case now >= c.idleDeadline || (e.Fresh && now.Since(c.idleSince).Duration() >= maxFreshIdle):
			c.socket.Close()
		case c.hasCarried(e.Payload.ClientRequestID):
			kept = append(kept, c)
		default:
			found = c
		}
	}
	slices.Reverse(kept)
	if list = append(list, kept...); len(list) > 0 {
		x.idle[target] = list
	} else {
		delete(x.idle, target)
	}
	return found
}

// assign must be called with the lock held.
func (x *Exchanger) assign(c *connection, a *attempt) {
	c.attempt = a
	a.connection = c
	c.carried[c.carriedCount%rememberedRequests] = xxhash.Sum64String(a.exchange.Payload.ClientRequestID)
	c.carriedCount++
}

// dial opens a connection and writes the attempt's request on it. If the attempt has been
// cancelled meanwhile, it is reported as refused and the connection becomes idle.
func (x *Exchanger) dial(a *attempt) {
	remaining := a.exchange.Deadline.Since(x.now()).Duration()
	ctx, cancel := context.WithTimeout(x.context, min(dialTimeout, remaining))
	defer cancel()
	start := time.Now()
	socket, err := dialer.Dial(ctx, a.exchange.Address)
	var to *sender
	if err == nil {
		if to, err = newSender(socket); err != nil {
			socket.Close()
		}
	}
	if err == nil {
		err = checkReset(socket, time.Since(start)+resetMargin)
	}
	if err != nil {
		x.logger.Debug("failed to connect to the backend server", "server", a.exchange.Server, "address", a.exchange.Address, "error", err)
		x.finish(a, reducer.ExchangeRefused{
			Attempt: a.exchange.Attempt, Server: a.exchange.Server, Reason: reducer.ExchangeUnreachable,
		})
		return
	}
	c := &connection{
		exchanger: x, socket: socket, endpoint: endpoint{a.exchange.Server, a.exchange.Address},
		reader: newReader(socket, &x.large), sender: to, writer: bufio.NewWriterSize(to, bufferSize),
	}
	x.mutex.Lock()
	x.open[c] = struct{}{}
	cancelled := a.cancelled
	if !cancelled {
		x.assign(c, a)
	}
	x.mutex.Unlock()
	if cancelled {
		x.finish(a, reducer.ExchangeRefused{
			Attempt: a.exchange.Attempt, Server: a.exchange.Server, Reason: reducer.ExchangeUnreachable,
		})
		x.putIdle(c, defaultIdleTimeout)
	}
	x.group.Go(c.readLoop)
	if !cancelled {
		x.write(c, a, true)
	}
}

// checkReset waits to see whether the server resets a new connection, on which nothing has
// been sent yet. It closes the connection before it returns an error.
func checkReset(socket net.Conn, wait time.Duration) error {
	if err := socket.SetReadDeadline(time.Now().Add(wait)); err != nil {
		socket.Close()
		return fmt.Errorf("set the read deadline of a new connection: %w", err)
	}
	var unexpected [1]byte
	n, err := socket.Read(unexpected[:])
	if n > 0 {
		err = errUnexpectedData
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		socket.Close()
		return fmt.Errorf("new connection is unusable: %w", err)
	}
	if err := socket.SetReadDeadline(time.Time{}); err != nil {
		socket.Close()
		return fmt.Errorf("clear the read deadline of a new connection: %w", err)
	}
	return nil
}

// write writes an attempt's request. Unless it may wait, it leaves what the socket doesn't accept at once to another
// goroutine.
func (x *Exchanger) write(c *connection, a *attempt, wait bool) {
	now := x.now()
	remaining := a.exchange.Deadline.Since(now)
	if remaining <= 0 || (a.exchange.ValidUntil > 0 && now >= a.exchange.ValidUntil) {
		x.refuseExpired(c, a)
		close(a.written)
		return
	}
	c.sender.waits = wait
	err := x.codec.Write(c.writer, a.exchange, remaining)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil && len(c.sender.rest) > 0 {
		x.group.Go(func() { x.endWrite(c, a, c.sender.flush()) })
		return
	}
	x.endWrite(c, a, err)
}

// endWrite notes the end of the write of an attempt's request. If it has failed, the server may have responded before
// it closed the connection: readLoop reads what has arrived, and reports the attempt as lost if that is no response.
// Part of the request may have reached the server.
func (x *Exchanger) endWrite(c *connection, a *attempt, err error) {
	defer close(a.written)
	if err == nil {
		return
	}
	x.logger.Debug("failed to write the request", "server", a.exchange.Server, "error", err)
	a.writeFailed = true
	if err := c.socket.SetReadDeadline(time.Now().Add(failedWriteReadLimit)); err != nil {
		c.socket.Close()
	}
}

// refuseExpired refuses an attempt whose deadline passed, or whose permission ended, before anything was
// written, for example while the process was paused.
func (x *Exchanger) refuseExpired(c *connection, a *attempt) {
	x.mutex.Lock()
	current := c.attempt == a
	if current {
		c.attempt = nil
	}
	x.mutex.Unlock()
	c.socket.Close()
	if !current {
		// readLoop has seen the end of the connection and reported the attempt.
		return
	}
	x.finish(a, reducer.ExchangeRefused{
		Attempt: a.exchange.Attempt, Server: a.exchange.Server, Reason: reducer.ExchangeUnreachable,
	})
}

// finish removes an attempt and delivers its result.
func (x *Exchanger) finish(a *attempt, event reducer.RequestEvent) {
	x.mutex.Lock()
	delete(x.attempts, a.exchange.Attempt)
	if a.graceTimer != nil {
		a.graceTimer.Stop()
	}
	x.mutex.Unlock()
	x.deliver(event)
}

// putIdle adds a connection to the idle ones, for reuse within the timeout.
func (x *Exchanger) putIdle(c *connection, timeout time.Duration) {
	now := x.now()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	c.attempt = nil
	c.idleSince = now
	c.idleDeadline = now.Add(identifier.Micros(timeout.Microseconds()))
	x.idle[c.endpoint] = append(x.idle[c.endpoint], c)
}

// remove closes a connection and removes it from the pool.
func (x *Exchanger) remove(c *connection) {
	c.socket.Close()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.open, c)
	x.removeIdle(c)
}

// removeIdle must be called with the lock held.
func (x *Exchanger) removeIdle(c *connection) {
	list := slices.DeleteFunc(x.idle[c.endpoint], func(other *connection) bool { return other == c })
	if len(list) == 0 {
		delete(x.idle, c.endpoint)
		return
	}
	x.idle[c.endpoint] = list
}

// currentAttempt returns the attempt that runs on a connection, or nil if it is idle. It
// removes an idle connection from the pool's idle list, so that no attempt is assigned to it.
func (x *Exchanger) currentAttempt(c *connection) *attempt {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.attempt == nil {
		x.removeIdle(c)
	}
	return c.attempt
}

// closeIdle closes the idle connections to an endpoint. It is called after a connection has
// failed, since the others may be dead too and would fail the next attempts.
func (x *Exchanger) closeIdle(e endpoint) {
	x.mutex.Lock()
	list := x.idle[e]
	delete(x.idle, e)
	x.mutex.Unlock()
	for _, c := range list {
		c.socket.Close()
	}
}

// connection is a connection to a backend server.
type connection struct {
	exchanger *Exchanger
	socket    net.Conn
	endpoint  endpoint
	reader    *Reader
	sender    *sender
	// writer buffers what is written to the sender.
	writer *bufio.Writer
	// attempt is the attempt that runs on the connection, or nil while it is idle.
	attempt *attempt
	// idleSince is when the connection last became idle, or zero if it never did. It is also set
	// for a connection that became idle because its first attempt was cancelled during the dial.
	idleSince identifier.Instant
	// idleDeadline is when an idle connection must no longer be reused.
	idleDeadline identifier.Instant
	// carried holds hashes of the IDs of the latest client requests that were sent on the connection.
	carried      [rememberedRequests]uint64
	carriedCount int
}

// hasCarried reports whether an attempt of the client request was sent on the connection of late.
func (c *connection) hasCarried(id string) bool {
	return slices.Contains(c.carried[:min(c.carriedCount, rememberedRequests)], xxhash.Sum64String(id))
}

// readLoop reads responses until the connection ends or can't be reused.
func (c *connection) readLoop() {
	defer c.exchanger.remove(c)
	defer c.reader.source.reset()
	for {
		c.reader.source.reset()
		_, err := c.reader.Peek(1)
		a := c.exchanger.currentAttempt(c)
		if a == nil {
			if err == nil {
				c.exchanger.logger.Info("unexpected data on an idle connection; connection closed", "server", c.endpoint.server)
			}
			return
		}
		if !c.handleResponse(a, err) {
			return
		}
	}
}

// handleResponse reads the response to an attempt and reports whether the connection is kept.
// err is the error of readLoop's Peek for the first byte of the response.
func (c *connection) handleResponse(a *attempt, err error) bool {
	x := c.exchanger
	var reply Reply
	if err == nil {
		reply, err = x.codec.Read(c.reader, a.exchange)
	}
	if err != nil {
		x.remove(c)
		x.closeIdle(c.endpoint)
		x.finish(a, reducer.ExchangeLost{
			Attempt: a.exchange.Attempt, Server: a.exchange.Server, Reason: err.Error(), Unproven: c.idleSince == 0,
			Closed: closedByServer(c.reader.source.ended),
		})
		return false
	}
	if reply.Warning != "" {
		x.logger.Warn("header of a response ignored", "server", a.exchange.Server, "reason", reply.Warning)
	}
	idleTimeout := defaultIdleTimeout
	if reply.IdleTimeout > 0 {
		idleTimeout = reply.IdleTimeout - idleTimeoutMargin
	}
	x.finish(a, reply.Event)
	if !reply.Reusable || idleTimeout <= 0 || c.reader.Buffered() > 0 || !c.waitReceived(a) {
		return false
	}
	x.putIdle(c, idleTimeout)
	return true
}

// closedByServer reports whether an error of a socket means that the server closed or reset it. Errors
// of the codec don't tell: a head that is cut off may look malformed.
func closedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// waitReceived waits until the server has received an attempt's request, and reports false if that fails or takes
// longer than writeWaitLimit. A server may respond before it has read a long body: another request on the
// connection would wait until it has.
func (c *connection) waitReceived(a *attempt) bool {
	select {
	case <-a.written:
		if a.writeFailed {
			return false
		}
		// A server that has responded has read the head.
		if len(a.exchange.Payload.Body) == 0 || c.sender.unreceived() == 0 {
			return true
		}
	default:
	}
	timer := time.NewTimer(writeWaitLimit)
	defer timer.Stop()
	select {
	case <-a.written:
	case <-timer.C:
		return false
	}
	ticker := time.NewTicker(receiptInterval)
	defer ticker.Stop()
	for !a.writeFailed && c.sender.unreceived() > 0 {
		select {
		case <-ticker.C:
		case <-timer.C:
			return false
		case <-c.exchanger.context.Done():
			return false
		}
	}
	return !a.writeFailed
}
