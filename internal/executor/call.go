package executor

import (
	"context"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	// deadlineGrace is how long after its deadline a call may still be answered before its
	// connection is closed. The backend server itself ends the call at the deadline.
	deadlineGrace = 50 * time.Millisecond
	// cancelTimeout limits the wait for a cancelled call to end before its
	// connection is closed.
	cancelTimeout = 100 * time.Millisecond
)

// inFlightCall is a call that has not ended.
type inFlightCall struct {
	call    reducer.Call
	context context.Context
	close   context.CancelFunc
}

// call runs a call on its own goroutine. The result is delivered as an event.
func (h *Host) call(e reducer.Call) {
	remaining := e.Deadline.Since(h.clock.now())
	ctx, cancel := context.WithTimeout(h.context, remaining.Duration()+deadlineGrace)
	h.mutex.Lock()
	h.calls[e.Attempt] = inFlightCall{call: e, context: ctx, close: cancel}
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

// cancelCall asks the backend server to end a call, which keeps the connection open. If
// that fails or takes longer than cancelTimeout, the call's connection is closed.
func (h *Host) cancelCall(id identifier.AttemptID) {
	h.mutex.Lock()
	c, ok := h.calls[id]
	h.mutex.Unlock()
	if !ok {
		return
	}
	h.group.Go(func() {
		defer c.close()
		ctx, cancel := context.WithTimeout(c.context, cancelTimeout)
		defer cancel()
		if err := h.dependencies.Caller.Cancel(ctx, c.call); err != nil {
			return
		}
		<-ctx.Done()
	})
}
