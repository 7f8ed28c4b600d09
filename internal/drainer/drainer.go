// Package drainer shuts down an HTTP server without cutting off requests that have just arrived.
//
// http.Server.Shutdown closes each connection on which no handler runs, also one on which the next
// request has begun to arrive, and drops a request whose head has been read since the shutdown began.
// Its clients get no answer to a request that was accepted. A Drainer lets the server answer such
// requests, and closes each connection after its answer.
//
// # Usage
//
//	d := drainer.New(listener)
//	server := &http.Server{Handler: handler, ConnState: d.ConnState}
//	go server.Serve(d)
//	err := d.Drain(ctx, server)
//	server.Close()
package drainer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Drainer is the listener of an HTTP server. It is safe for concurrent use.
type Drainer struct {
	net.Listener
	draining atomic.Bool

	mutex sync.Mutex
	// busy is the number of connections on which a request runs or has begun to arrive.
	busy int
	// becameIdle is closed and replaced whenever busy falls to 0.
	becameIdle chan struct{}
}

// New returns a Drainer that accepts connections from the listener.
func New(l net.Listener) *Drainer {
	return &Drainer{Listener: l, becameIdle: make(chan struct{})}
}

// connection is a connection whose next request may have been read in part.
type connection struct {
	net.Conn
	drainer *Drainer
	// waiting is set while no handler runs on the connection, and busy once something was read
	// since then.
	waiting, busy atomic.Bool
	// spared is set once an attempt to close the connection was ignored.
	spared atomic.Bool
}

// Accept waits for the next connection.
func (d *Drainer) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, drainer: d}, nil
}

// ConnState must be the server's http.Server.ConnState.
func (d *Drainer) ConnState(c net.Conn, state http.ConnState) {
	if x, ok := c.(*connection); ok {
		if state == http.StateIdle {
			x.setBusy(false)
		}
		x.waiting.Store(state == http.StateIdle)
	}
}

// Drain closes the listener and the idle connections, and waits until the requests that have begun to
// arrive are answered. It returns the context's error if the context ends first. The server must be
// closed afterwards.
func (d *Drainer) Drain(ctx context.Context, s *http.Server) error {
	d.draining.Store(true)
	if err := d.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("drainer: close the listener: %w", err)
	}
	// Each answer now ends its connection, and idle connections are closed.
	s.SetKeepAlivesEnabled(false)
	for {
		d.mutex.Lock()
		busy, becameIdle := d.busy, d.becameIdle
		d.mutex.Unlock()
		if busy == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drainer: %d connections with a request are open: %w", busy, ctx.Err())
		case <-becameIdle:
		}
	}
}

// NetConn returns the underlying connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Read records that a part of a request has arrived.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

// Close closes the connection. While the server drains, it ignores the first call for a connection on
// which the next request has begun to arrive.
func (c *connection) Close() error {
	if c.drainer.draining.Load() && c.waiting.Load() && c.busy.Load() && !c.spared.Swap(true) {
		return nil
	}
	c.setBusy(false)
	return c.Conn.Close()
}

func (c *connection) setBusy(busy bool) {
	if c.busy.Swap(busy) == busy {
		return
	}
	d := c.drainer
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if busy {
		d.busy++
		return
	}
	if d.busy--; d.busy == 0 {
		close(d.becameIdle)
		d.becameIdle = make(chan struct{})
	}
}
