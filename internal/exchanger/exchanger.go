// Package exchanger holds the connections to backend servers and runs attempts on
// them, one at a time on a connection.
//
// Nothing is ever sent twice: an attempt whose connection ends without an answer is
// reported as lost, and one that was never written as refused. A connection is
// read even while it is idle, so that one which the server closes, or on which
// bytes arrive that nobody asked for, is not used again.
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
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/dialer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	// dialTimeout bounds the time to connect to a backend server: a hundred round trips
	// within a region.
	dialTimeout = 400 * time.Millisecond
	// settleMargin is added to the time of the dial, which is a round trip, for the wait on a new
	// connection: a server resets those beyond its cap as soon as it has seen them.
	settleMargin = 300 * time.Microsecond
	// largeRequest is the size from which a request is written on a goroutine of its own,
	// so that a server that does not read holds nobody else up; socket buffers hold less.
	largeRequest identifier.Bytes = 16 << 10
	// defaultIdle is how long a connection may stay idle when the server does not say.
	defaultIdle = 900 * time.Millisecond
	// idleMargin is how long before the server's idle timeout a connection is given up.
	idleMargin = 300 * time.Millisecond
	// freshIdle is how long a connection may have been idle for an attempt that must not be lost.
	freshIdle = 200 * time.Millisecond
	// writePatience is how long an answered request may still be written before its connection is given up.
	writePatience = time.Second
	// bufferSize is the size of a connection's buffers: a usual part with its headers.
	bufferSize = 4 << 10
)

// errUnasked reports bytes on a connection on which nothing was sent.
var errUnasked = errors.New("bytes that nobody asked for")

// Reply is what a Codec has read.
type Reply struct {
	Event reducer.RequestEvent
	// Reusable is set when the connection may take another attempt.
	Reusable bool
	// Idle is how long the server keeps the connection open; 0 is unknown.
	Idle time.Duration
}

// Codec is the protocol that backend servers speak.
type Codec interface {
	// Size returns how many bytes an attempt's request has, about.
	Size(reducer.Exchange) identifier.Bytes
	// Write writes an attempt's request.
	Write(w *bufio.Writer, e reducer.Exchange, remaining identifier.Micros) error
	// Read reads an attempt's answer; an error says that there is no whole answer.
	Read(r *bufio.Reader, e reducer.Exchange) (Reply, error)
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

	// mutex guards what follows and the connections' current attempts.
	mutex   sync.Mutex
	idle    map[place][]*connection
	open    map[*connection]struct{}
	flights map[identifier.AttemptID]*flight
}

// place is a server at an address; another server may get the address later.
type place struct {
	server  identifier.ServerID
	address identifier.Address
}

// flight is an attempt that has not ended.
type flight struct {
	exchange   reducer.Exchange
	connection *connection
	// written is closed when the whole request has been written, or could not be.
	written chan struct{}
	// cancelled is set once the answer is no longer needed.
	cancelled bool
	timer     *time.Timer
}

// New returns an Exchanger without connections.
func New(c Codec, logger hclog.Logger) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchanger{
		codec: c, logger: logger, context: ctx, cancel: cancel,
		idle:    map[place][]*connection{},
		open:    map[*connection]struct{}{},
		flights: map[identifier.AttemptID]*flight{},
	}
}

// Start sets who is told how attempts end, and the clock of their deadlines.
func (x *Exchanger) Start(deliver func(reducer.Event), now func() identifier.Instant) {
	x.deliver, x.now = deliver, now
}

// Close ends all connections and waits for their goroutines.
func (x *Exchanger) Close() {
	x.cancel()
	x.mutex.Lock()
	for c := range x.open {
		c.socket.Close()
	}
	x.mutex.Unlock()
	x.group.Wait()
}

// Exchange sends an attempt; its end is delivered as an event.
func (x *Exchanger) Exchange(e reducer.Exchange) {
	f := &flight{exchange: e, written: make(chan struct{})}
	x.mutex.Lock()
	x.flights[e.Attempt] = f
	c := x.takeIdle(e)
	if c != nil {
		x.assign(c, f)
	}
	x.mutex.Unlock()
	switch {
	case c == nil:
		x.group.Go(func() { x.dial(f) })
	case x.codec.Size(e) >= largeRequest:
		x.group.Go(func() { x.write(c, f) })
	default:
		x.write(c, f)
	}
}

// Cancel withdraws an attempt. If its answer does not come within the grace, its
// connection is closed.
func (x *Exchanger) Cancel(id identifier.AttemptID, grace identifier.Micros) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	f, ok := x.flights[id]
	if !ok || f.cancelled {
		return
	}
	f.cancelled = true
	f.timer = time.AfterFunc(grace.Duration(), func() { x.abort(id) })
}

// abort closes the connection of a cancelled attempt.
func (x *Exchanger) abort(id identifier.AttemptID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if f, ok := x.flights[id]; ok && f.connection != nil {
		f.connection.socket.Close()
	}
}

// takeIdle returns an idle connection that an attempt may use, the latest used first.
func (x *Exchanger) takeIdle(e reducer.Exchange) *connection {
	at := place{e.Server, e.Address}
	now := time.Now()
	list := x.idle[at]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		x.idle[at] = list
		if now.Before(c.expires) && (!e.Fresh || now.Sub(c.used) < freshIdle) {
			return c
		}
		c.socket.Close()
	}
	delete(x.idle, at)
	return nil
}

func (x *Exchanger) assign(c *connection, f *flight) {
	c.flight = f
	f.connection = c
}

// dial makes a connection for an attempt.
func (x *Exchanger) dial(f *flight) {
	remaining := f.exchange.Deadline.Since(x.now()).Duration()
	ctx, cancel := context.WithTimeout(x.context, min(dialTimeout, remaining))
	defer cancel()
	began := time.Now()
	socket, err := dialer.Dial(ctx, f.exchange.Address)
	if err == nil {
		err = settle(socket, time.Since(began)+settleMargin)
	}
	if err != nil {
		x.logger.Debug("backend server not reached", "server", f.exchange.Server, "address", f.exchange.Address, "error", err)
		x.end(f, reducer.ExchangeRefused{
			Attempt: f.exchange.Attempt, Server: f.exchange.Server, Reason: reducer.ExchangeUnreachable,
		})
		return
	}
	c := &connection{
		exchanger: x, socket: socket, place: place{f.exchange.Server, f.exchange.Address},
		reader: bufio.NewReaderSize(socket, bufferSize), writer: bufio.NewWriterSize(socket, bufferSize),
	}
	x.mutex.Lock()
	x.open[c] = struct{}{}
	cancelled := f.cancelled
	if !cancelled {
		x.assign(c, f)
	}
	x.mutex.Unlock()
	if cancelled {
		x.end(f, reducer.ExchangeRefused{
			Attempt: f.exchange.Attempt, Server: f.exchange.Server, Reason: reducer.ExchangeUnreachable,
		})
		x.keep(c, defaultIdle)
	}
	x.group.Go(c.run)
	if !cancelled {
		x.write(c, f)
	}
}

// settle waits whether the server resets a new connection, on which nothing has been sent. It
// closes a connection that can't be used.
func settle(socket net.Conn, span time.Duration) error {
	if err := socket.SetReadDeadline(time.Now().Add(span)); err != nil {
		socket.Close()
		return fmt.Errorf("set the deadline of a new connection: %w", err)
	}
	var unasked [1]byte
	n, err := socket.Read(unasked[:])
	if n > 0 {
		err = errUnasked
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		socket.Close()
		return fmt.Errorf("new connection: %w", err)
	}
	if err := socket.SetReadDeadline(time.Time{}); err != nil {
		socket.Close()
		return fmt.Errorf("clear the deadline of a new connection: %w", err)
	}
	return nil
}

// write sends an attempt's request. A failure closes the connection, which ends the
// attempt as lost: some of the request may have reached the server.
func (x *Exchanger) write(c *connection, f *flight) {
	defer close(f.written)
	remaining := f.exchange.Deadline.Since(x.now())
	err := x.codec.Write(c.writer, f.exchange, remaining)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		x.logger.Debug("request not written", "server", f.exchange.Server, "error", err)
		c.socket.Close()
	}
}

// end reports how an attempt ended.
func (x *Exchanger) end(f *flight, event reducer.RequestEvent) {
	x.mutex.Lock()
	delete(x.flights, f.exchange.Attempt)
	if f.timer != nil {
		f.timer.Stop()
	}
	x.mutex.Unlock()
	x.deliver(event)
}

// keep makes a connection idle for as long as its server keeps it open.
func (x *Exchanger) keep(c *connection, idle time.Duration) {
	now := time.Now()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	c.flight = nil
	c.used = now
	c.expires = now.Add(idle)
	x.idle[c.place] = append(x.idle[c.place], c)
}

// forget closes a connection and takes it out of the idle ones.
func (x *Exchanger) forget(c *connection) {
	c.socket.Close()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.open, c)
	x.removeIdle(c)
}

func (x *Exchanger) removeIdle(c *connection) {
	list := slices.DeleteFunc(x.idle[c.place], func(other *connection) bool { return other == c })
	if len(list) == 0 {
		delete(x.idle, c.place)
		return
	}
	x.idle[c.place] = list
}

// flightOf returns the attempt that runs on a connection. An idle connection is given
// to no attempt from then on.
func (x *Exchanger) flightOf(c *connection) *flight {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.flight == nil {
		x.removeIdle(c)
	}
	return c.flight
}

// distrust closes the idle connections to a server after one has failed: they may be
// as dead, which only the next attempt would show.
func (x *Exchanger) distrust(at place) {
	x.mutex.Lock()
	list := x.idle[at]
	delete(x.idle, at)
	x.mutex.Unlock()
	for _, c := range list {
		c.socket.Close()
	}
}

// connection is a connection to a backend server.
type connection struct {
	exchanger *Exchanger
	socket    net.Conn
	place     place
	reader    *bufio.Reader
	writer    *bufio.Writer
	// flight is the attempt that runs on the connection; nil while it is idle.
	flight *flight
	// used is when the last answer came; it is zero before the first.
	used    time.Time
	expires time.Time
}

// run reads answers until the connection ends or can't be used again.
func (c *connection) run() {
	defer c.exchanger.forget(c)
	for {
		_, err := c.reader.Peek(1)
		f := c.exchanger.flightOf(c)
		if f == nil {
			if err == nil {
				c.exchanger.logger.Info("bytes that nobody asked for; connection closed", "server", c.place.server)
			}
			return
		}
		if !c.answer(f, err) {
			return
		}
	}
}

// answer reads the answer of an attempt and reports whether the connection goes on.
func (c *connection) answer(f *flight, err error) bool {
	x := c.exchanger
	var reply Reply
	if err == nil {
		reply, err = x.codec.Read(c.reader, f.exchange)
	}
	if err != nil {
		x.forget(c)
		x.distrust(c.place)
		x.end(f, reducer.ExchangeLost{
			Attempt: f.exchange.Attempt, Server: f.exchange.Server, Reason: err.Error(), Unproven: c.used.IsZero(),
		})
		return false
	}
	idle := defaultIdle
	if reply.Idle > 0 {
		idle = reply.Idle - idleMargin
	}
	x.end(f, reply.Event)
	if !reply.Reusable || idle <= 0 || c.reader.Buffered() > 0 || !f.waitWritten() {
		return false
	}
	x.keep(c, idle)
	return true
}

// waitWritten reports whether the request has been written. A server may answer before
// it has read all of it.
func (f *flight) waitWritten() bool {
	select {
	case <-f.written:
		return true
	default:
	}
	patience := time.NewTimer(writePatience)
	defer patience.Stop()
	select {
	case <-f.written:
		return true
	case <-patience.C:
		return false
	}
}
