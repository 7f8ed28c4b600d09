package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// ChangeMembers adds or removes a control host. If the context ends first, it returns the
// context's error, and the change may still take effect. A change whose sender has gone by the time it is handled is
// dropped.
func (h *Host) ChangeMembers(ctx context.Context, o reducer.Operation) (reducer.ReplyOperator, error) {
	ticket := reducer.Ticket(h.tickets.Add(1))
	return h.runOperation(ctx, ticket, reducer.MembersRequested{Ticket: ticket, Operation: o})
}
