package executor

import (
	"context"
	"sync"
)

// waiters matches answers to the connections that wait for them. It is safe for
// concurrent use.
type waiters[K comparable, V any] struct {
	mutex    sync.Mutex
	channels map[K]chan V
}

func newWaiters[K comparable, V any]() *waiters[K, V] {
	return &waiters[K, V]{channels: map[K]chan V{}}
}

// ask calls the function, which must lead to an answer for the key, and waits for
// it. It returns the context's error when that ends first.
func (w *waiters[K, V]) ask(ctx context.Context, key K, send func()) (V, error) {
	answer := make(chan V, 1)
	w.mutex.Lock()
	w.channels[key] = answer
	w.mutex.Unlock()
	send()
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		w.take(key)
		var none V
		return none, ctx.Err()
	}
}

// answer hands the value to whoever waits for the key, if anybody still does.
func (w *waiters[K, V]) answer(key K, value V) {
	if c := w.take(key); c != nil {
		c <- value
	}
}

// count returns how many wait.
func (w *waiters[K, V]) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.channels)
}

func (w *waiters[K, V]) take(key K) chan V {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.channels[key]
	delete(w.channels, key)
	return c
}
