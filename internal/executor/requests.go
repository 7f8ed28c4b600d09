package executor

import (
	"context"

	"github.com/lagooncleat/lagooncleat/internal/ranger"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Request runs a client's request and returns its outcome. If the context ends first, it
// abandons the request and returns the context's error.
func (h *Host) Request(ctx context.Context, arrived reducer.RequestArrived) (reducer.RequestOutcome, error) {
	outcome, err := h.requests.sendAndWait(ctx, arrived.Request, func() { h.Deliver(arrived) })
	if err != nil {
		h.Deliver(reducer.RequestAbandoned{Request: arrived.Request})
	}
	return outcome, err
}

// BodyLimit returns the maximum size of a request body according to the declaration, or 0 if
// it is unknown.
func (h *Host) BodyLimit() identifier.Bytes {
	return h.ClientLimits().MaxBodySize
}

// ClientLimits returns the declaration's limits on clients, or zero values without a declaration.
func (h *Host) ClientLimits() declarer.Limits {
	if fleet := h.View().Fleet; fleet != nil {
		return fleet.Declaration.Limits
	}
	return declarer.Limits{}
}

// BeginStop marks the host as stopping, so that clients are asked to reconnect to other hosts.
func (h *Host) BeginStop() {
	h.stopping.Store(true)
}

// Stopping reports whether BeginStop has been called.
func (h *Host) Stopping() bool {
	return h.stopping.Load()
}

// Withdraw removes a leaving backend server from the server list. It returns the context's
// error if the context ends first. A withdrawal whose sender has gone by the time it is handled is dropped.
func (h *Host) Withdraw(ctx context.Context, server identifier.ServerID) (Lease, error) {
	ticket := h.newTicket()
	return h.leases.sendAndWait(ctx, ticket, func() {
		h.Deliver(reducer.ServerWithdrawn{Ticket: ticket, Server: server, Age: ranger.Age(ctx)})
	})
}

// Declare commits an operator's declaration. If the context ends first, it returns the
// context's error, and the declaration may have been accepted.
func (h *Host) Declare(ctx context.Context, source declarer.Source) (reducer.ReplyOperator, error) {
	ticket := h.newTicket()
	return h.runOperation(ctx, ticket, reducer.DeclarationRequested{Ticket: ticket, Source: source})
}

// Evacuate commits an operator's order to begin or end the evacuation of a failure domain. If the context ends
// first, it returns the context's error, and the order may have been accepted. An order whose sender has gone by the
// time it is handled is dropped.
func (h *Host) Evacuate(ctx context.Context, domain identifier.DomainID, ended bool) (reducer.ReplyOperator, error) {
	ticket := h.newTicket()
	return h.runOperation(ctx, ticket, reducer.EvacuationRequested{
		Ticket: ticket, Domain: domain, Ended: ended, Age: ranger.Age(ctx),
	})
}

// Declaration performs a linearizable read of the declaration. It returns the context's
// error if the context ends first.
func (h *Host) Declaration(ctx context.Context) (reducer.ReplyOperator, error) {
	ticket := h.newTicket()
	return h.runOperation(ctx, ticket, reducer.DeclarationReadRequested{Ticket: ticket})
}
