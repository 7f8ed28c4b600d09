package executor

import (
	"sync"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// mailbox is the queue of one state's events. Senders never block, so states
// can send to each other without deadlock; admission bounds what is queued.
type mailbox struct {
	mutex  sync.Mutex
	events []reducer.Event
	closed bool
	signal chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{signal: make(chan struct{}, 1)}
}

// put queues an event; a closed mailbox drops it.
func (m *mailbox) put(e reducer.Event) {
	m.mutex.Lock()
	if !m.closed {
		m.events = append(m.events, e)
	}
	m.mutex.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns all queued events and leaves the mailbox with the spare slice.
func (m *mailbox) take(spare []reducer.Event) []reducer.Event {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	events := m.events
	m.events = spare[:0]
	return events
}

func (m *mailbox) close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
}
