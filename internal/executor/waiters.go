package executor

import (
	"context"
	"sync"
)

// waiters passes results to the goroutines that wait for them, by key. It is safe for
// concurrent use.
type waiters[K comparable, V any] struct {
	mutex    sync.Mutex
	channels map[K]chan V
}

func newWaiters[K comparable, V any]() *waiters[K, V] {
	return &waiters[K, V]{channels: map[K]chan V{}}
}

// sendAndWait calls send, which must lead to a resolve call for the key, and returns the
// value passed to resolve. It returns the context's error if the context ends first.
func (w *waiters[K, V]) sendAndWait(ctx context.Context, key K, send func()) (V, error) {
	result := make(chan V, 1)
	w.mutex.Lock()
	w.channels[key] = result
	w.mutex.Unlock()
	send()
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		w.remove(key)
		var zero V
		return zero, ctx.Err()
	}
}

// resolve passes the value to the goroutine that waits for the key, if there is one.
func (w *waiters[K, V]) resolve(key K, value V) {
	if c := w.remove(key); c != nil {
		c <- value
	}
}

// count returns the number of waiting goroutines.
func (w *waiters[K, V]) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.channels)
}

// remove removes a key and returns its channel, or nil if nothing waits for the key.
func (w *waiters[K, V]) remove(key K) chan V {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.channels[key]
	delete(w.channels, key)
	return c
}
