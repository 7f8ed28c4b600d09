// Package relayer implements a TCP relay that simulates network conditions between two
// processes: one-way delay, withheld bytes and broken connections.
//
// A Relay forwards each connection to one target. Its Condition may change while
// connections are open. No goroutine polls: each blocks on I/O, a channel, a timer or a
// change of the condition.
//
// # Usage
//
//	r, err := relayer.New(relayer.Parameters{Target: "127.0.0.1:7104", Delay: 1500 * time.Microsecond})
//	defer r.Close()
//	r.SetCondition(relayer.Stalled{Forward: true, Backward: true})
//	r.SetCondition(relayer.Forwarding{})
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
	// loopbackAddress selects a free port.
	loopbackAddress = "127.0.0.1:0"
	// chunkSize is the maximum number of bytes in a chunk.
	chunkSize = 32 << 10
	// maxQueuedChunks limits the chunks queued in one direction of a connection.
	maxQueuedChunks = 1024
	// dialTimeout limits the time to connect to the target.
	dialTimeout = time.Second
)

// Condition is the state of the network between the two processes. It is sealed: only the
// types of this package implement it.
type Condition interface{ isCondition() }

type (
	// Forwarding forwards all bytes.
	Forwarding struct{}
	// Stalled withholds the bytes of the selected directions, like a network partition
	// that drops packets without a reset. The bytes are delivered once a later condition
	// forwards their direction.
	Stalled struct {
		// Forward withholds bytes from the dialling process to the target.
		Forward bool
		// Backward withholds bytes from the target to the dialling process.
		Backward bool
	}
	// Disconnected closes all connections, and new ones as soon as they are accepted.
	Disconnected struct{}
)

func (Forwarding) isCondition()   {}
func (Stalled) isCondition()      {}
func (Disconnected) isCondition() {}

// Parameters holds the settings of a Relay.
type Parameters struct {
	Target identifier.Address
	// Listen is the address to listen on. If it is empty, the relay uses a free loopback port.
	Listen identifier.Address
	// Delay is the one-way delay, added in each direction.
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

// New starts a Relay in the condition Forwarding.
func New(p Parameters) (*Relay, error) {
	if p.Listen == "" {
		p.Listen = loopbackAddress
	}
	l, err := net.Listen("tcp", string(p.Listen))
	if err != nil {
		return nil, fmt.Errorf("relayer: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		parameters: p, listener: l, context: ctx, cancel: cancel,
		condition: Forwarding{}, changed: make(chan struct{}), connections: map[net.Conn]struct{}{},
	}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() identifier.Address {
	return identifier.Address(r.listener.Addr().String())
}

// SetCondition changes the condition of new and open connections.
func (r *Relay) SetCondition(c Condition) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.condition = c
	close(r.changed)
	r.changed = make(chan struct{})
	if _, disconnected := c.(Disconnected); disconnected {
		r.closeConnections()
	}
}

// Close closes the listener and all connections and waits for their goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.listener.Close()
	r.mutex.Lock()
	r.closeConnections()
	r.mutex.Unlock()
	r.group.Wait()
}

// closeConnections must be called with the lock held.
func (r *Relay) closeConnections() {
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

// track registers a connection and reports true. If the relay is disconnected or
// closed, it closes the connection instead and reports false.
func (r *Relay) track(c net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, disconnected := r.condition.(Disconnected); disconnected || r.context.Err() != nil {
		c.Close()
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

// untrack closes a connection and unregisters it.
func (r *Relay) untrack(c net.Conn) {
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
	defer r.untrack(from)
	dialer := net.Dialer{Timeout: dialTimeout}
	to, err := dialer.DialContext(r.context, "tcp", string(r.parameters.Target))
	if err != nil || !r.track(to) {
		return
	}
	defer r.untrack(to)
	var group sync.WaitGroup
	group.Go(func() { r.copyDirection(from, to, true) })
	group.Go(func() { r.copyDirection(to, from, false) })
	group.Wait()
}

// chunk is a block of bytes and the earliest time of its delivery.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDirection copies one direction with the delay, then closes both connections.
func (r *Relay) copyDirection(from, to net.Conn, forward bool) {
	ctx, cancel := context.WithCancel(r.context)
	defer cancel()
	chunks := make(chan chunk, maxQueuedChunks)
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

// read queues the bytes of a connection as chunks until the connection ends.
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

// write writes each chunk once it is due and its direction is not stalled.
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
		if !r.waitUntilForwarding(ctx, forward) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// waitUntilForwarding blocks while the direction is stalled. It reports false when the
// connection must be closed.
func (r *Relay) waitUntilForwarding(ctx context.Context, forward bool) bool {
	for {
		r.mutex.Lock()
		condition, changed := r.condition, r.changed
		r.mutex.Unlock()
		switch c := condition.(type) {
		case Forwarding:
			return true
		case Disconnected:
			return false
		case Stalled:
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
