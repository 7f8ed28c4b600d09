package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// Change carries out an operator's change. It returns the context's error when
// that ends first; the change may have been accepted then.
func (h *Host) Change(ctx context.Context, c registrar.Change) (reducer.ReplyOperator, error) {
	ticket := h.ticket()
	return h.operate(ctx, ticket, reducer.ChangeRequested{Ticket: ticket, Change: c})
}

// Read reads templates or customers. It returns the context's error when that ends first.
func (h *Host) Read(ctx context.Context, read reducer.ObjectsRead) (reducer.ReplyOperator, error) {
	ticket := h.ticket()
	return h.operate(ctx, ticket, reducer.ObjectsRequested{Ticket: ticket, Read: read})
}

func (h *Host) operate(ctx context.Context, t reducer.Ticket, event reducer.Event) (reducer.ReplyOperator, error) {
	return h.operators.ask(ctx, t, func() { h.Deliver(event) })
}
