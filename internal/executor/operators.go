package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// Change carries out an operator's change. It returns the context's error when
// that ends first; the change may have been accepted then.
func (h *Host) Change(ctx context.Context, c registrar.Change) (reducer.ReplyOperator, error) {
	ticket := reducer.Ticket(h.tickets.Add(1))
	return h.operate(ctx, ticket, reducer.ChangeRequested{Ticket: ticket, Change: c})
}

// Read reads templates or customers. It returns the context's error when that ends first.
func (h *Host) Read(ctx context.Context, read reducer.ObjectsRead) (reducer.ReplyOperator, error) {
	ticket := reducer.Ticket(h.tickets.Add(1))
	return h.operate(ctx, ticket, reducer.ObjectsRequested{Ticket: ticket, Read: read})
}

func (h *Host) operate(ctx context.Context, t reducer.Ticket, event reducer.Event) (reducer.ReplyOperator, error) {
	reply := make(chan reducer.ReplyOperator, 1)
	h.mutex.Lock()
	h.operators[t] = reply
	h.mutex.Unlock()
	h.Deliver(event)
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		h.takeOperator(t)
		return reducer.ReplyOperator{}, ctx.Err()
	}
}

func (h *Host) replyOperator(r reducer.ReplyOperator) {
	if c := h.takeOperator(r.Ticket); c != nil {
		c <- r
	}
}

func (h *Host) takeOperator(t reducer.Ticket) chan reducer.ReplyOperator {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	c := h.operators[t]
	delete(h.operators, t)
	return c
}
