package executor

import "sync"

// mailbox is the unbounded queue of one goroutine, such as the loop of a state. Senders
// never block, so that states can send to each other without a deadlock. Admission control
// limits the number of queued items.
type mailbox[T any] struct {
	mutex sync.Mutex
	items []T
	// taken is the slice that take returned last. The next take reuses its memory.
	taken  []T
	closed bool
	// signal has a value whenever items may be queued.
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

// put queues an item. A closed mailbox drops it.
func (m *mailbox[T]) put(item T) {
	m.mutex.Lock()
	if !m.closed {
		m.items = append(m.items, item)
	}
	m.mutex.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take removes and returns all queued items. The slice is valid until the next call.
func (m *mailbox[T]) take() []T {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.taken)
	m.items, m.taken = m.taken[:0], m.items
	return m.taken
}

func (m *mailbox[T]) close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
}
