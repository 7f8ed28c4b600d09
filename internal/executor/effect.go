package executor

import (
	"fmt"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// execute executes an effect of the loop's state.
func (h *Host) execute(l *loop, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Wake:
		l.wakeAt(e.At)
	case reducer.Send:
		h.send(e)
	case reducer.Reconnect:
		h.sender.Reconnect(e.Host)
	case reducer.Log:
		h.log(e)
	case reducer.Count:
		h.dependencies.Metrics.Count(e)
	case reducer.Observe:
		h.dependencies.Metrics.Observe(h.clock.now(), e)
	case reducer.RecordDuration:
		h.dependencies.Metrics.RecordDuration(e)
	case reducer.PublishView:
		h.publish(e.View)
	case reducer.PublishPermissions:
		h.permissions.Store(e.Permissions)
	case reducer.GrantLease:
		h.leases.resolve(e.Ticket, Lease{Term: e.Term, Owner: e.Owner, Address: e.Address, Declined: e.Declined})
	case reducer.Call:
		h.call(e)
	case reducer.CancelCall:
		h.cancelCall(e.Attempt)
	case reducer.StoreRecords:
		h.pendingRecords.put(e)
	case reducer.StoreServerList:
		h.pendingServerLists.put(e)
	case reducer.ConfirmCaller:
		h.Deliver(reducer.CallerConfirmed{Ticket: e.Ticket, Waiting: h.operations.isWaiting(e.Ticket) || h.leases.isWaiting(e.Ticket)})
	case reducer.ReplyOperator:
		h.operations.resolve(e.Ticket, e)
	case reducer.Exchange:
		h.dependencies.Exchanger.Exchange(e)
	case reducer.CancelExchange:
		h.dependencies.Exchanger.Cancel(e.Attempt, e.Grace)
	case reducer.ReplyRequest:
		h.requests.resolve(e.Request, e.Outcome)
	case reducer.ReplyRoute:
		h.routes.resolve(e.Ticket, e.Explanation)
	case reducer.Reply:
		h.queries.resolve(e.Request, e.Outcome)
	default:
		panic(fmt.Sprintf("executor: unknown effect %T", effect))
	}
}

// send sends an event to another host, or delivers one that is addressed to this host.
func (h *Host) send(e reducer.Send) {
	if e.To == h.parameters.Reducer.Host {
		h.Deliver(e.Event)
		return
	}
	h.sender.Send(e.To, e.Event)
}

// publish stores the view of the control state and passes it to the traffic states.
func (h *Host) publish(v *reducer.View) {
	h.view.Store(v)
	for _, l := range h.traffic {
		l.mailbox.put(reducer.ViewPublished{View: v})
	}
}

func (h *Host) log(e reducer.Log) {
	fields := make([]any, 0, 2*len(e.Fields))
	for _, f := range e.Fields {
		fields = append(fields, f.Name, f.Value)
	}
	h.dependencies.Loggers.Logger(e.Subsystem).Log(logLevel(e.Level), e.Message, fields...)
}

func logLevel(l reducer.LogLevel) hclog.Level {
	switch l {
	case reducer.Debug:
		return hclog.Debug
	case reducer.Info:
		return hclog.Info
	case reducer.Warn:
		return hclog.Warn
	}
	return hclog.Error
}
