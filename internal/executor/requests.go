package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Request runs a client's request and returns how it ended. It returns the
// context's error when the client gives up first.
func (h *Host) Request(ctx context.Context, arrived reducer.RequestArrived) (reducer.RequestOutcome, error) {
	outcome, err := h.requests.ask(ctx, arrived.Request, func() { h.Deliver(arrived) })
	if err != nil {
		h.Deliver(reducer.RequestAbandoned{Request: arrived.Request})
	}
	return outcome, err
}

// BodyLimit returns the most bytes of a request's body that the declaration allows; 0 is unknown.
func (h *Host) BodyLimit() identifier.Bytes {
	if f := h.View().Fleet; f != nil {
		return f.Declaration.Limits.Body
	}
	return 0
}

// BeginStop asks clients to turn to other hosts from now on.
func (h *Host) BeginStop() {
	h.stopping.Store(true)
}

// Stopping reports whether clients are asked to turn to other hosts.
func (h *Host) Stopping() bool {
	return h.stopping.Load()
}

// Withdraw takes a backend server that leaves off the list. It returns the
// context's error when that ends first.
func (h *Host) Withdraw(ctx context.Context, server identifier.ServerID) (Lease, error) {
	ticket := h.ticket()
	return h.leases.ask(ctx, ticket, func() {
		h.Deliver(reducer.ServerWithdrawn{Ticket: ticket, Server: server})
	})
}

// Declare commits an operator's declaration. It returns the context's error when
// that ends first; the declaration may have been accepted then.
func (h *Host) Declare(ctx context.Context, source declarer.Source) (reducer.ReplyOperator, error) {
	ticket := h.ticket()
	return h.operate(ctx, ticket, reducer.DeclarationRequested{Ticket: ticket, Source: source})
}

// Declaration reads the declaration as of now. It returns the context's error when
// that ends first.
func (h *Host) Declaration(ctx context.Context) (reducer.ReplyOperator, error) {
	ticket := h.ticket()
	return h.operate(ctx, ticket, reducer.DeclarationReadRequested{Ticket: ticket})
}
