// Package messenger carries events between entry hosts over TCP.
//
// Each host dials every peer that it sends to and keeps one connection in each
// direction. A frame is a length of four bytes, big-endian, and the bytes of one
// event; the first frame of a connection holds the sender's id. Events to one peer
// arrive in the order they were sent, or not at all: an event that was never
// written to a connection comes back as undeliverable, and when a connection ends,
// which may lose what was on its way, both sides deliver reducer.PeerDisconnected.
//
// # Usage
//
//	m := messenger.New(messenger.Parameters{Host: "h-1", Peers: peers}, deliver, logger)
//	go m.Serve(listener)
//	m.Send("h-2", event)
//	defer m.Close()
package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/dialer"
	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	// maxFrame bounds the bytes of one event.
	maxFrame = 16 << 20
	// queueLength bounds the frames that wait for one peer; more come back as undeliverable.
	queueLength = 4096
	// dialTimeout bounds the time to connect to a peer: several round trips between regions. A
	// host without power answers nothing, and is dialled again when it may be back.
	dialTimeout = 300 * time.Millisecond
	// redialDelay separates the attempts to connect to a peer.
	redialDelay = 100 * time.Millisecond
	// writeTimeout bounds the time to write a batch of frames.
	writeTimeout = 2 * time.Second
	// forgetAfter is how long a peer that is in no settings is kept while it can't be reached.
	forgetAfter = 30 * time.Second
	bufferSize  = 8 << 10
	headerSize  = 4
)

// Parameters are this host's id and the addresses of its peers.
type Parameters struct {
	Host  identifier.HostID
	Peers map[identifier.HostID]identifier.Address
}

// Messenger sends events to peers and delivers those that arrive.
type Messenger struct {
	deliver func(reducer.Event)
	logger  hclog.Logger
	host    identifier.HostID
	peers   map[identifier.HostID]identifier.Address
	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// mutex guards queues and connections.
	mutex       sync.Mutex
	queues      map[identifier.HostID]chan reducer.Event
	connections map[net.Conn]struct{}
}

// New returns a Messenger that connects to its peers in the background. It
// calls deliver, from several goroutines, for each event that arrives.
func New(p Parameters, deliver func(reducer.Event), logger hclog.Logger) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Messenger{
		deliver:     deliver,
		logger:      logger,
		host:        p.Host,
		peers:       p.Peers,
		queues:      map[identifier.HostID]chan reducer.Event{},
		context:     ctx,
		cancel:      cancel,
		connections: map[net.Conn]struct{}{},
	}
	for id := range p.Peers {
		m.queue(id)
	}
	return m
}

// queue returns the queue of a peer, which is made when the peer is first sent to. A
// host that is in no settings is named by its address.
func (m *Messenger) queue(to identifier.HostID) (chan reducer.Event, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if queue, ok := m.queues[to]; ok {
		return queue, true
	}
	address, listed := m.peers[to]
	if !listed {
		if _, err := netip.ParseAddrPort(string(to)); err != nil || m.context.Err() != nil {
			return nil, false
		}
		address = identifier.Address(to)
	}
	queue := make(chan reducer.Event, queueLength)
	m.queues[to] = queue
	m.group.Go(func() { m.write(to, address, queue) })
	return queue, true
}

// forgetPeer drops the queue of a peer that is in no settings and can't be reached.
func (m *Messenger) forgetPeer(id identifier.HostID, unreachableSince time.Time) bool {
	if _, listed := m.peers[id]; listed || time.Since(unreachableSince) < forgetAfter {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.queues, id)
	return true
}

// Send queues an event for the peer. The event comes back as undeliverable when
// the queue is full or the peer unknown.
func (m *Messenger) Send(to identifier.HostID, event reducer.Event) {
	queue, ok := m.queue(to)
	if !ok {
		m.logger.Warn("event for an unknown peer", "peer", to)
		m.bounce(event)
		return
	}
	select {
	case queue <- event:
	default:
		m.logger.Warn("queue for peer is full", "peer", to)
		m.bounce(event)
	}
}

// bounce delivers what follows from an event that was never written.
func (m *Messenger) bounce(event reducer.Event) {
	if answer, ok := reducer.Undeliverable(event); ok {
		m.deliver(answer)
	}
}

// Serve accepts peers' connections until the listener or the messenger is closed.
func (m *Messenger) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("messenger: accept: %w", err)
		}
		if !m.track(c) {
			return nil
		}
		m.group.Go(func() { m.read(c) })
	}
}

// Close ends all connections and waits for their goroutines.
func (m *Messenger) Close() {
	m.cancel()
	m.mutex.Lock()
	for c := range m.connections {
		c.Close()
	}
	m.mutex.Unlock()
	m.group.Wait()
}

func (m *Messenger) track(c net.Conn) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.context.Err() != nil {
		c.Close()
		return false
	}
	m.connections[c] = struct{}{}
	return true
}

func (m *Messenger) forget(c net.Conn) {
	c.Close()
	m.mutex.Lock()
	delete(m.connections, c)
	m.mutex.Unlock()
}

// write connects to a peer, again after each failure, and sends what is queued.
func (m *Messenger) write(id identifier.HostID, address identifier.Address, queue chan reducer.Event) {
	reached := time.Now()
	for m.context.Err() == nil {
		c, err := m.dial(address)
		if err != nil {
			m.discard(queue)
			if m.forgetPeer(id, reached) {
				m.discard(queue)
				return
			}
			continue
		}
		if !m.track(c) {
			return
		}
		m.logger.Debug("connected to peer", "peer", id)
		if err := m.drain(c, queue); err != nil {
			m.logger.Debug("connection to peer ended", "peer", id, "error", err)
		}
		m.forget(c)
		reached = time.Now()
		m.deliver(reducer.PeerDisconnected{Host: id})
	}
}

func (m *Messenger) dial(address identifier.Address) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(m.context, dialTimeout)
	defer cancel()
	return dialer.Dial(ctx, address)
}

// discard returns what is queued for an unreachable peer until it is time to dial again.
func (m *Messenger) discard(queue chan reducer.Event) {
	pause := time.NewTimer(redialDelay)
	defer pause.Stop()
	for {
		select {
		case event := <-queue:
			m.bounce(event)
		case <-pause.C:
			return
		case <-m.context.Done():
			return
		}
	}
}

// drain writes queued frames and flushes whenever the queue is empty.
func (m *Messenger) drain(c net.Conn, queue chan reducer.Event) error {
	w := bufio.NewWriterSize(c, bufferSize)
	if err := writeFrame(w, []byte(m.host)); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for {
		select {
		case event := <-queue:
			if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			if err := m.writeBatch(w, event, queue); err != nil {
				return err
			}
		case <-m.context.Done():
			return m.context.Err()
		}
	}
}

// writeBatch writes an event and all that are queued behind it.
func (m *Messenger) writeBatch(w *bufio.Writer, first reducer.Event, queue chan reducer.Event) error {
	if err := m.writeEvent(w, first); err != nil {
		return err
	}
	for {
		select {
		case event := <-queue:
			if err := m.writeEvent(w, event); err != nil {
				return err
			}
		default:
			return w.Flush()
		}
	}
}

func (m *Messenger) writeEvent(w io.Writer, event reducer.Event) error {
	data, err := encoder.Encode(event)
	if err != nil {
		m.logger.Error("event dropped", "error", err)
		return nil
	}
	return writeFrame(w, data)
}

func writeFrame(w io.Writer, data []byte) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(data)))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err := w.Write(data)
	return err
}

// read delivers the frames of one connection until it ends.
func (m *Messenger) read(c net.Conn) {
	defer m.forget(c)
	r := bufio.NewReaderSize(c, bufferSize)
	name, err := readFrame(r)
	if err != nil {
		m.logger.Debug("connection ended before its first frame", "error", err)
		return
	}
	peer := identifier.HostID(name)
	defer m.deliver(reducer.PeerDisconnected{Host: peer})
	for {
		data, err := readFrame(r)
		if err != nil {
			m.logger.Debug("connection from peer ended", "peer", peer, "error", err)
			return
		}
		event, err := encoder.Decode(data)
		if err != nil {
			m.logger.Warn("event from peer rejected", "peer", peer, "error", err)
			continue
		}
		m.deliver(event)
	}
}

// FrameTooLargeError reports a frame whose length is over the limit.
type FrameTooLargeError struct {
	Size identifier.Bytes
}

// Error gives the size and the limit in bytes.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("messenger: frame of %d bytes is over the limit of %d", e.Size, maxFrame)
}

func readFrame(r io.Reader) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return nil, &FrameTooLargeError{Size: identifier.Bytes(size)}
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}
