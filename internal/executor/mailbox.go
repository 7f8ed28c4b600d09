package executor

import "sync"

// mailbox is the queue of one goroutine, such as that of a state's events.
// Senders never block, so states can send to each other without deadlock;
// admission bounds what is queued.
type mailbox[T any] struct {
	mutex  sync.Mutex
	events []T
	// taken is the slice that the last take returned; the next one reuses it.
	taken  []T
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

// take returns all queued events, or none. The slice is valid until the next call.
func (m *mailbox[T]) take() []T {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.taken)
	m.events, m.taken = m.taken[:0], m.events
	return m.taken
}

func (m *mailbox[T]) close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
}
