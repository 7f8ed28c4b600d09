package executor

import (
	"context"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	// answerGrace is how long after its deadline a call may still be answered before its
	// connection is closed; the backend server ends it at the deadline by itself.
	answerGrace = 50 * time.Millisecond
	// cancelTimeout bounds the wait for a cancelled call to end before its
	// connection is closed.
	cancelTimeout = 100 * time.Millisecond
)

// flight is a call in flight.
type flight struct {
	call    reducer.Call
	context context.Context
	close   context.CancelFunc
}

// call runs a call on its own goroutine; the result comes back as an event.
func (h *Host) call(e reducer.Call) {
	remaining := e.Deadline.Since(h.clock.now())
	ctx, cancel := context.WithTimeout(h.context, remaining.Duration()+answerGrace)
	h.mutex.Lock()
	h.calls[e.Attempt] = flight{call: e, context: ctx, close: cancel}
	h.mutex.Unlock()
	h.group.Go(func() {
		defer cancel()
		result := h.dependencies.Caller.Do(ctx, e, remaining)
		h.mutex.Lock()
		delete(h.calls, e.Attempt)
		h.mutex.Unlock()
		h.Deliver(result)
	})
}

// cancelCall asks the backend server to end a call, which keeps the connection. If
// the server does not, the call's connection is closed.
func (h *Host) cancelCall(id identifier.AttemptID) {
	h.mutex.Lock()
	f, ok := h.calls[id]
	h.mutex.Unlock()
	if !ok {
		return
	}
	h.group.Go(func() {
		defer f.close()
		ctx, cancel := context.WithTimeout(f.context, cancelTimeout)
		defer cancel()
		if err := h.dependencies.Caller.Cancel(ctx, f.call); err != nil {
			return
		}
		<-ctx.Done()
	})
}
