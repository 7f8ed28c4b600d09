package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/internal/ranger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// Change commits a change of templates or customers. If the context ends first, it returns
// the context's error, and the change may have been accepted.
func (h *Host) Change(ctx context.Context, c registrar.Change) (reducer.ReplyOperator, error) {
	ticket := h.newTicket()
	return h.runOperation(ctx, ticket, reducer.ChangeRequested{Ticket: ticket, Change: c})
}

// ReadObjects reads templates or customers. It returns the context's error if the context ends first.
func (h *Host) ReadObjects(ctx context.Context, read reducer.ObjectsRead) (reducer.ReplyOperator, error) {
	ticket := h.newTicket()
	return h.runOperation(ctx, ticket, reducer.ObjectsRequested{Ticket: ticket, Read: read})
}

// ExplainRoute returns where a request would go now. It returns the context's error if the context ends first.
func (h *Host) ExplainRoute(ctx context.Context, asked reducer.RouteAsked) (reducer.RouteExplanation, error) {
	asked.Ticket = h.newTicket()
	return h.routes.sendAndWait(ctx, asked.Ticket, func() { h.Deliver(asked) })
}

// ReleaseQuarantine lets a request that has crashed servers run again, unless it crashes another one meanwhile or the
// context has ended by the time the release is handled. It returns the context's error if the context ends first.
func (h *Host) ReleaseQuarantine(ctx context.Context, f identifier.Fingerprint) (reducer.ReplyOperator, error) {
	ticket := h.newTicket()
	return h.runOperation(ctx, ticket, reducer.QuarantineReleased{Ticket: ticket, Fingerprint: f, Age: ranger.Age(ctx)})
}

// runOperation delivers the event and waits for the reply to its ticket.
func (h *Host) runOperation(ctx context.Context, t reducer.Ticket, event reducer.Event) (reducer.ReplyOperator, error) {
	return h.operations.sendAndWait(ctx, t, func() { h.Deliver(event) })
}
