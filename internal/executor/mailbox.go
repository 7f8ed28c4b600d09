package executor

import "sync"

// mailbox is the queue of one goroutine, such as that of a state's events. Senders never block, so states
// can send to each other without deadlock; admission bounds what is queued.
type mailbox[T any] struct {
	mutex  sync.Mutex
	events []T
	closed bool
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

// put queues an event; a closed mailbox drops it.
func (m *mailbox[T]) put(e T) {
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
func (m *mailbox[T]) take(spare []T) []T {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	events := m.events
	m.events = spare[:0]
	return events
}

func (m *mailbox[T]) close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
}
