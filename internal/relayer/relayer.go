// Package relayer is a TCP relay that stands between two processes and does
// what a network does: it adds one-way delay, withholds bytes and cuts
// connections.
//
// A Relay forwards each connection to one target. Its Condition is data, set
// from code while connections live. Every goroutine blocks on a read, a timer
// or a change of the condition.
//
// # Usage
//
//	r, err := relayer.New(relayer.Parameters{Target: "127.0.0.1:7104", Delay: 1500 * time.Microsecond})
//	defer r.Close()
//	r.Set(relayer.Frozen{Forward: true, Backward: true})
//	r.Set(relayer.Flowing{})
package relayer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// loopback takes a free port.
	loopback = "127.0.0.1:0"
	// chunkSize bounds the bytes that are read at once.
	chunkSize = 32 << 10
	// chunkQueue bounds the chunks on their way in one direction of a connection.
	chunkQueue = 1024
	// dialTimeout bounds the time to connect to the target.
	dialTimeout = time.Second
)

// Condition is the state of the network between the two processes. It is sealed.
type Condition interface{ isCondition() }

type (
	// Flowing forwards all bytes.
	Flowing struct{}
	// Frozen withholds the bytes of the chosen directions, as a silent network
	// partition does; they arrive late when the relay flows again.
	Frozen struct {
		// Forward is the direction from the dialling process to the target.
		Forward bool
		// Backward is the direction from the target to the dialling process.
		Backward bool
	}
	// Cut ends all connections and refuses new ones.
	Cut struct{}
)

func (Flowing) isCondition() {}
func (Frozen) isCondition()  {}
func (Cut) isCondition()     {}

// Parameters describe a Relay.
type Parameters struct {
	Target identifier.Address
	// Listen is where the relay listens; empty takes a free port of loopback.
	Listen identifier.Address
	// Delay is added in each direction.
	Delay time.Duration
}

// Relay forwards the connections that it accepts to its target.
type Relay struct {
	parameters Parameters
	listener   net.Listener
	context    context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup

	mutex     sync.Mutex
	condition Condition
	// changed is closed and replaced whenever the condition changes.
	changed     chan struct{}
	connections map[net.Conn]struct{}
}

// New starts a relay.
func New(p Parameters) (*Relay, error) {
	if p.Listen == "" {
		p.Listen = loopback
	}
	l, err := net.Listen("tcp", string(p.Listen))
	if err != nil {
		return nil, fmt.Errorf("relayer: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		parameters: p, listener: l, context: ctx, cancel: cancel,
		condition: Flowing{}, changed: make(chan struct{}), connections: map[net.Conn]struct{}{},
	}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() identifier.Address {
	return identifier.Address(r.listener.Addr().String())
}

// Set changes the condition, also of the connections that live.
func (r *Relay) Set(c Condition) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.condition = c
	close(r.changed)
	r.changed = make(chan struct{})
	if _, cut := c.(Cut); cut {
		r.endConnections()
	}
}

// Close ends all connections and the relay.
func (r *Relay) Close() {
	r.cancel()
	r.listener.Close()
	r.mutex.Lock()
	r.endConnections()
	r.mutex.Unlock()
	r.group.Wait()
}

func (r *Relay) endConnections() {
	for c := range r.connections {
		c.Close()
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.forward(c) })
	}
}

// track registers a connection, or closes it when the relay is cut or closed.
func (r *Relay) track(c net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, cut := r.condition.(Cut); cut || r.context.Err() != nil {
		c.Close()
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

func (r *Relay) forget(c net.Conn) {
	c.Close()
	r.mutex.Lock()
	delete(r.connections, c)
	r.mutex.Unlock()
}

// forward connects to the target and copies both directions until one ends.
func (r *Relay) forward(from net.Conn) {
	if !r.track(from) {
		return
	}
	defer r.forget(from)
	dialer := net.Dialer{Timeout: dialTimeout}
	to, err := dialer.DialContext(r.context, "tcp", string(r.parameters.Target))
	if err != nil || !r.track(to) {
		return
	}
	defer r.forget(to)
	var group sync.WaitGroup
	group.Go(func() { r.pump(from, to, true) })
	group.Go(func() { r.pump(to, from, false) })
	group.Wait()
}

// chunk is bytes on their way and the time at which they arrive.
type chunk struct {
	data []byte
	due  time.Time
}

// pump copies one direction with its delay, then ends both connections.
func (r *Relay) pump(from, to net.Conn, forward bool) {
	ctx, cancel := context.WithCancel(r.context)
	defer cancel()
	chunks := make(chan chunk, chunkQueue)
	var group sync.WaitGroup
	group.Go(func() {
		defer cancel()
		defer from.Close()
		defer to.Close()
		r.write(ctx, to, chunks, forward)
	})
	r.read(ctx, from, chunks)
	close(chunks)
	group.Wait()
}

func (r *Relay) read(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{bytes.Clone(buffer[:n]), time.Now().Add(r.parameters.Delay)}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write delivers chunks when they are due and the direction flows.
func (r *Relay) write(ctx context.Context, to net.Conn, chunks <-chan chunk, forward bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for c := range chunks {
		timer.Reset(time.Until(c.due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if !r.awaitFlow(ctx, forward) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// awaitFlow blocks while the direction is frozen. It reports false when the
// connection is to end.
func (r *Relay) awaitFlow(ctx context.Context, forward bool) bool {
	for {
		r.mutex.Lock()
		condition, changed := r.condition, r.changed
		r.mutex.Unlock()
		switch c := condition.(type) {
		case Flowing:
			return true
		case Cut:
			return false
		case Frozen:
			if (forward && !c.Forward) || (!forward && !c.Backward) {
				return true
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
