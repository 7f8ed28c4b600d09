package executor

import (
	"context"
	"sync"

	"github.com/lagooncleat/lagooncleat/internal/ranger"
)

// waiters passes results to the goroutines that wait for them, by key. It is safe for
// concurrent use.
type waiters[K comparable, V any] struct {
	mutex   sync.Mutex
	waiting map[K]waiter[V]
}

// waiter is a goroutine that waits for a result until its context ends.
type waiter[V any] struct {
	context context.Context
	result  chan V
}

func newWaiters[K comparable, V any]() *waiters[K, V] {
	return &waiters[K, V]{waiting: map[K]waiter[V]{}}
}

// sendAndWait calls send, which must lead to a resolve call for the key, and returns the
// value passed to resolve. It returns the context's error if the context ends first.
func (w *waiters[K, V]) sendAndWait(ctx context.Context, key K, send func()) (V, error) {
	result := make(chan V, 1)
	w.mutex.Lock()
	w.waiting[key] = waiter[V]{ctx, result}
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

// isWaiting reports whether a goroutine waits for the key and the connection of its context is open.
func (w *waiters[K, V]) isWaiting(key K) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	x, ok := w.waiting[key]
	return ok && x.context.Err() == nil && !ranger.Closed(x.context)
}

// count returns the number of waiting goroutines.
func (w *waiters[K, V]) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.waiting)
}

// remove removes a key and returns its channel, or nil if nothing waits for the key.
func (w *waiters[K, V]) remove(key K) chan V {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.waiting[key].result
	delete(w.waiting, key)
	return c
}
