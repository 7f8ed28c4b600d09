// Package messenger sends events between hosts over TCP.
//
// Each host dials every peer that it sends to, so there is one connection for each
// direction. A frame is a 4-byte big-endian length followed by one encoded event.
// The first frame of a connection holds the ID of the sending host, the second introduces its process. An event that exceeds the
// maximum frame travels in several frames; the highest bit of the length is set in all but the last.
//
// Events to one peer arrive in the order they were sent, or not at all. For an event that
// was not sent because the peer is unknown or unreachable or its queue is full, the
// Messenger delivers the event that reducer.Undeliverable returns, if there is one. When a
// connection ends, events in transit may be lost, and both sides deliver
// reducer.PeerDisconnected.
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
	// maxFrameSize limits the size of a frame, in bytes.
	maxFrameSize = 16 << 20
	// partSize is the size of the parts of an event that exceeds maxFrameSize, in bytes.
	partSize = 1 << 20
	// maxEventSize limits the size of an encoded event, in bytes.
	maxEventSize = 64 << 20
	// morePartsFlag is set in the length of a frame whose event continues in the next frame.
	morePartsFlag = 1 << 31
	// maxQueuedEvents limits the queue of one peer. Further events are undeliverable.
	maxQueuedEvents = 4096
	// dialTimeout limits the time to connect to a peer, and allows several round trips
	// between regions. A host that lost power doesn't respond at all; a short timeout lets
	// the next dial reach it soon after it is back.
	dialTimeout = 300 * time.Millisecond
	// redialDelay is the pause between a failed dial and the next.
	redialDelay = 100 * time.Millisecond
	// writeTimeout limits the time to write a batch of frames, without the time to encode them.
	writeTimeout = 2 * time.Second
	// unconfiguredPeerTimeout is how long an unreachable peer that is not in the settings is
	// kept before it is removed.
	unconfiguredPeerTimeout = 30 * time.Second
	bufferSize              = 8 << 10
	headerSize              = 4
)

// Parameters holds the ID of this host, that of its process, and the addresses of its peers.
type Parameters struct {
	Host    identifier.HostID
	Process identifier.ProcessID
	Peers   map[identifier.HostID]identifier.Address
}

// Messenger sends events to peers and delivers the events received from them.
type Messenger struct {
	deliver func(reducer.Event)
	// encode is encoder.Encode, unless a test replaces it.
	encode  func(reducer.Event) ([]byte, error)
	logger  hclog.Logger
	host    identifier.HostID
	process identifier.ProcessID
	peers   map[identifier.HostID]identifier.Address
	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// mutex guards queues, processes and connections.
	mutex  sync.Mutex
	queues map[identifier.HostID]*peerQueue
	// processes holds the latest process that each peer with a queue has introduced, while its connection is open.
	processes   map[identifier.HostID]identifier.ProcessID
	connections map[net.Conn]struct{}
}

// peerQueue holds the events for a peer. A value in replace ends the connection to it.
type peerQueue struct {
	events  chan reducer.Event
	replace chan struct{}
	// next is the event that goes before those in events, or nil. Only the send loop uses it.
	next reducer.Event
}

// errReplaced ends a connection that Reconnect replaces.
var errReplaced = errors.New("connection replaced")

// New returns a Messenger that connects to its peers in the background. It calls
// deliver for each event received, from several goroutines at once.
func New(p Parameters, deliver func(reducer.Event), logger hclog.Logger) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Messenger{
		deliver:     deliver,
		encode:      encoder.Encode,
		logger:      logger,
		host:        p.Host,
		process:     p.Process,
		peers:       p.Peers,
		queues:      map[identifier.HostID]*peerQueue{},
		processes:   map[identifier.HostID]identifier.ProcessID{},
		context:     ctx,
		cancel:      cancel,
		connections: map[net.Conn]struct{}{},
	}
	for id := range p.Peers {
		m.queueOf(id)
	}
	return m
}

// queueOf returns the queue of a peer, and starts the peer's send loop on the first call.
// The ID of a host that is not in the settings is its address.
func (m *Messenger) queueOf(to identifier.HostID) (*peerQueue, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if queue, ok := m.queues[to]; ok {
		return queue, true
	}
	address, configured := m.peers[to]
	if !configured {
		if _, err := netip.ParseAddrPort(string(to)); err != nil || m.context.Err() != nil {
			return nil, false
		}
		address = identifier.Address(to)
	}
	queue := &peerQueue{events: make(chan reducer.Event, maxQueuedEvents), replace: make(chan struct{}, 1)}
	m.queues[to] = queue
	m.group.Go(func() { m.sendLoop(to, address, queue) })
	return queue, true
}

// removeUnreachable removes the queue of a peer that is not in the settings and has been
// unreachable for unconfiguredPeerTimeout. It reports whether it did.
func (m *Messenger) removeUnreachable(id identifier.HostID, unreachableSince time.Time) bool {
	if _, configured := m.peers[id]; configured || time.Since(unreachableSince) < unconfiguredPeerTimeout {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.queues, id)
	delete(m.processes, id)
	return true
}

// Send queues an event for the peer. If the queue is full or the peer is unknown, it reports
// the event as undeliverable.
func (m *Messenger) Send(to identifier.HostID, event reducer.Event) {
	queue, ok := m.queueOf(to)
	if !ok {
		m.logger.Warn("unknown peer; event not sent", "peer", to)
		m.reportUndeliverable(to, event)
		return
	}
	select {
	case queue.events <- event:
	default:
		m.logger.Warn("send queue of peer is full; event not sent", "peer", to)
		m.reportUndeliverable(to, event)
	}
}

// Reconnect replaces the connection to a peer, if there is one. Without it, the next event would be lost if the peer
// has lost power since it was last sent one: the connection still looks open.
func (m *Messenger) Reconnect(to identifier.HostID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if queue, ok := m.queues[to]; ok {
		select {
		case queue.replace <- struct{}{}:
		default:
		}
	}
}

// reportUndeliverable delivers the event that reports the given event as never sent, if
// there is one for its type.
func (m *Messenger) reportUndeliverable(to identifier.HostID, event reducer.Event) {
	if report, ok := reducer.Undeliverable(to, event); ok {
		m.deliver(report)
	}
}

// Serve accepts connections from peers until the listener or the Messenger is closed.
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
		m.group.Go(func() { m.receiveLoop(c) })
	}
}

// Close closes all connections and waits for their goroutines to return.
func (m *Messenger) Close() {
	m.cancel()
	m.mutex.Lock()
	for c := range m.connections {
		c.Close()
	}
	m.mutex.Unlock()
	m.group.Wait()
}

// track registers a connection for Close. It closes the connection and returns false when
// the Messenger is already closed.
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

// untrack closes a connection and removes it.
func (m *Messenger) untrack(c net.Conn) {
	c.Close()
	m.mutex.Lock()
	delete(m.connections, c)
	m.mutex.Unlock()
}

// sendLoop connects to a peer, reconnects after each failure, and sends the queued events.
// It returns when the Messenger is closed or the peer is removed.
func (m *Messenger) sendLoop(id identifier.HostID, address identifier.Address, queue *peerQueue) {
	lastReached := time.Now()
	for m.context.Err() == nil {
		// Whoever asks for another connection gets the one that is dialed now.
		select {
		case <-queue.replace:
		default:
		}
		c, err := m.dial(address)
		if err != nil {
			m.rejectQueued(id, queue)
			if m.removeUnreachable(id, lastReached) {
				m.rejectQueued(id, queue)
				return
			}
			continue
		}
		if !m.track(c) {
			return
		}
		process := m.processOf(id)
		m.logger.Debug("connected to peer", "peer", id, "process", process)
		if err := m.writeQueued(c, queue); err != nil {
			m.logger.Debug("connection to peer ended", "peer", id, "error", err)
			if !errors.Is(err, errReplaced) && m.processOf(id) != process {
				// The connection may have been made to a later process before that introduced itself.
				process = 0
			}
		}
		m.untrack(c)
		lastReached = time.Now()
		m.deliver(reducer.PeerDisconnected{Host: id, Process: process})
	}
}

// processOf returns the process that a peer has introduced last, or 0 if its connection has ended.
func (m *Messenger) processOf(id identifier.HostID) identifier.ProcessID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.processes[id]
}

// recordProcess records the process that a peer has introduced, if this host sends events to the peer.
func (m *Messenger) recordProcess(id identifier.HostID, process identifier.ProcessID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, ok := m.queues[id]; ok {
		m.processes[id] = process
	}
}

// forgetProcess forgets the process that a peer has introduced on a connection that has ended.
func (m *Messenger) forgetProcess(id identifier.HostID, process identifier.ProcessID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.processes[id] == process {
		delete(m.processes, id)
	}
}

func (m *Messenger) dial(address identifier.Address) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(m.context, dialTimeout)
	defer cancel()
	return dialer.Dial(ctx, address)
}

// rejectQueued reports the events queued for an unreachable peer as undeliverable, until it
// is time to redial.
func (m *Messenger) rejectQueued(to identifier.HostID, queue *peerQueue) {
	if queue.next != nil {
		m.reportUndeliverable(to, queue.next)
		queue.next = nil
	}
	redial := time.NewTimer(redialDelay)
	defer redial.Stop()
	for {
		select {
		case event := <-queue.events:
			m.reportUndeliverable(to, event)
		case <-redial.C:
			return
		case <-m.context.Done():
			return
		}
	}
}

// writeQueued writes the queued events to a connection, and flushes whenever the queue is
// empty.
func (m *Messenger) writeQueued(c net.Conn, queue *peerQueue) error {
	w := bufio.NewWriterSize(c, bufferSize)
	if err := writeFrame(w, []byte(m.host)); err != nil {
		return err
	}
	introduction := m.encodeEvent(reducer.ProcessIntroduced{Host: m.host, Process: m.process})
	if err := writeFrame(w, introduction); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if event := queue.next; event != nil {
		queue.next = nil
		if err := m.writeBatch(c, w, event, queue.events); err != nil {
			return err
		}
	}
	for {
		select {
		case event := <-queue.events:
			select {
			case <-queue.replace:
				queue.next = event
				return errReplaced
			default:
			}
			if err := m.writeBatch(c, w, event, queue.events); err != nil {
				return err
			}
		case <-queue.replace:
			return errReplaced
		case <-m.context.Done():
			return m.context.Err()
		}
	}
}

// writeBatch writes an event and all events queued after it, then flushes. The write timeout doesn't include
// the time to encode the events, since that of a large event can exceed it.
func (m *Messenger) writeBatch(c net.Conn, w *bufio.Writer, first reducer.Event, queue chan reducer.Event) error {
	deadline := time.Now().Add(writeTimeout)
	for event := first; ; {
		began := time.Now()
		data := m.encodeEvent(event)
		deadline = deadline.Add(time.Since(began))
		if err := c.SetWriteDeadline(deadline); err != nil {
			return err
		}
		if len(data) > maxFrameSize {
			if err := writeParts(c, w, data); err != nil {
				return err
			}
			deadline = time.Now().Add(writeTimeout)
		} else if len(data) > 0 {
			if err := writeFrame(w, data); err != nil {
				return err
			}
		}
		select {
		case event = <-queue:
		default:
			return w.Flush()
		}
	}
}

// encodeEvent returns the encoding of an event, or nil if the event must be dropped.
func (m *Messenger) encodeEvent(event reducer.Event) []byte {
	data, err := m.encode(event)
	if err != nil {
		m.logger.Error("failed to encode event; event dropped", "error", err)
		return nil
	}
	if len(data) > maxEventSize {
		m.logger.Error("event exceeds the size limit; event dropped", "bytes", len(data), "limit", maxEventSize)
		return nil
	}
	return data
}

// writeParts writes an event that exceeds the maximum frame. Each part gets the whole write timeout, and so
// does what the caller writes next.
func writeParts(c net.Conn, w io.Writer, data []byte) error {
	for len(data) > partSize {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := writePart(w, data[:partSize], morePartsFlag); err != nil {
			return err
		}
		data = data[partSize:]
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(w, data)
}

func writeFrame(w io.Writer, data []byte) error {
	return writePart(w, data, 0)
}

// writePart writes a frame whose length has the flags set.
func writePart(w io.Writer, data []byte, flags uint32) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(data))|flags)
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err := w.Write(data)
	return err
}

// receiveLoop delivers the events received on a connection until it ends.
func (m *Messenger) receiveLoop(c net.Conn) {
	defer m.untrack(c)
	r := bufio.NewReaderSize(c, bufferSize)
	name, err := readFrame(r)
	if err != nil {
		m.logger.Debug("connection ended before the peer sent its host ID", "error", err)
		return
	}
	peer, process := identifier.HostID(name), identifier.ProcessID(0)
	defer func() {
		m.forgetProcess(peer, process)
		m.deliver(reducer.PeerDisconnected{Host: peer, Process: process})
	}()
	for {
		data, err := readFrame(r)
		if err != nil {
			m.logger.Debug("connection from peer ended", "peer", peer, "error", err)
			return
		}
		event, err := encoder.Decode(data)
		if err != nil {
			m.logger.Warn("failed to decode event from peer; event dropped", "peer", peer, "error", err)
			continue
		}
		if e, ok := event.(reducer.ProcessIntroduced); ok {
			process = e.Process
			m.recordProcess(peer, process)
		}
		m.deliver(event)
	}
}

// FrameTooLargeError reports a frame or event that exceeds its size limit, both in bytes.
type FrameTooLargeError struct {
	Size, Limit identifier.Bytes
}

// Error returns a message with the size and the limit in bytes.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("messenger: %d bytes exceed the limit of %d bytes", e.Size, e.Limit)
}

// readFrame returns the content of a frame, or of several that hold one event.
func readFrame(r io.Reader) ([]byte, error) {
	var content []byte
	for {
		data, more, err := readPart(r)
		if err != nil {
			return nil, err
		}
		if !more && content == nil {
			return data, nil
		}
		if size := len(content) + len(data); size > maxEventSize {
			return nil, &FrameTooLargeError{Size: identifier.Bytes(size), Limit: maxEventSize}
		}
		if content = append(content, data...); !more {
			return content, nil
		}
	}
}

// readPart returns the content of one frame, and whether the event continues in the next one.
func readPart(r io.Reader) ([]byte, bool, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, false, err
	}
	length := binary.BigEndian.Uint32(header[:])
	size := length &^ morePartsFlag
	if size > maxFrameSize {
		return nil, false, &FrameTooLargeError{Size: identifier.Bytes(size), Limit: maxFrameSize}
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, length&morePartsFlag != 0, err
}
