package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/internal/ranger"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// ChangeMembers adds or removes a control host. If the context ends first, it returns the
// context's error, and the change may still take effect. A change whose sender has gone, or may have gone, by the time it is
// handled is dropped.
func (h *Host) ChangeMembers(ctx context.Context, o reducer.Operation) (reducer.ReplyOperator, error) {
	ticket := h.newTicket()
	return h.runOperation(ctx, ticket, reducer.MembersRequested{Ticket: ticket, Operation: o, Age: ranger.Age(ctx)})
}
