package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// ChangeMembers adds or removes a control host. It returns the context's error
// when that ends first; the change may be carried out then.
func (h *Host) ChangeMembers(ctx context.Context, o reducer.Operation) (reducer.ReplyOperator, error) {
	ticket := reducer.Ticket(h.tickets.Add(1))
	return h.operate(ctx, ticket, reducer.MembersRequested{Ticket: ticket, Operation: o})
}
