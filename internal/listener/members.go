package listener

import (
	"net/http"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// member is a member of the replicated log in a reply.
type member struct {
	Host    identifier.HostID    `json:"host"`
	Replica identifier.ReplicaID `json:"replica"`
	Voter   bool                 `json:"voter"`
}

func membersOf(m replicator.Membership) []member {
	members := make([]member, 0, len(m))
	for _, x := range m {
		members = append(members, member{x.Host, x.Replica, x.Voter})
	}
	return members
}

// registerMembers adds the routes that add and remove control hosts.
func (c *configurationHandler) registerMembers(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/control-members/{host}", func(w http.ResponseWriter, r *http.Request) {
		c.changeMembers(w, r, reducer.AddMember{Host: identifier.HostID(r.PathValue("host"))})
	})
	mux.HandleFunc("DELETE /v1/control-members/{host}", func(w http.ResponseWriter, r *http.Request) {
		c.changeMembers(w, r, reducer.RemoveMember{Host: identifier.HostID(r.PathValue("host"))})
	})
}

func (c *configurationHandler) changeMembers(w http.ResponseWriter, r *http.Request, o reducer.Operation) {
	reply, err := c.runner.ChangeMembers(r.Context(), o)
	if err != nil {
		writeFailure(w, "", reducer.Failed{Kind: abandonedKind, Ran: reducer.RanMaybe, Message: err.Error()})
		return
	}
	if _, ok := reply.Reply.(reducer.OrderUnproven); ok {
		refuseOrder(w)
		return
	}
	status, result := http.StatusOK, "done"
	decided, ok := reply.Reply.(reducer.MembersDecided)
	switch {
	case !ok:
		status, result = http.StatusGatewayTimeout, "unknown"
		decided.Refusal = "the change was not committed in time; it may be later, and sending it again is safe"
	case decided.Refusal != "":
		status, result = http.StatusConflict, "refused"
	}
	writeJSON(w, status, struct {
		Result  string        `json:"result"`
		Reason  string        `json:"reason,omitempty"`
		Members []member      `json:"control-members"`
		Control controlStatus `json:"control"`
	}{result, decided.Refusal, membersOf(decided.Members), newControlStatus(c.host, reply.Control)})
}
