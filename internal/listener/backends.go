package listener

import (
	"context"
	"net/http"

	"github.com/lagooncleat/lagooncleat/internal/executor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Announcer handles the announcements of backend servers. executor.Host implements it.
type Announcer interface {
	Announce(ctx context.Context, announced reducer.ServerAnnounced) (executor.Lease, error)
}

// serverStates maps the state names of the wire format to leaser states.
var serverStates = map[string]leaser.ServerState{
	"serving":  leaser.Serving,
	"starting": leaser.Starting,
	"draining": leaser.Draining,
}

// backendHandler serves the HTTP interface for backend servers.
type backendHandler struct {
	announcer Announcer
}

// NewBackends returns the HTTP handler of the interface for backend servers.
func NewBackends(a Announcer) http.Handler {
	b := &backendHandler{announcer: a}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announcements", b.announce)
	return mux
}

func (b *backendHandler) announce(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Server      identifier.ServerID    `json:"server"`
		Incarnation identifier.Incarnation `json:"incarnation"`
		Sequence    identifier.Sequence    `json:"sequence"`
		Service     identifier.ServiceID   `json:"service"`
		Domain      identifier.DomainID    `json:"failure-domain"`
		Address     identifier.Address     `json:"address"`
		Slots       identifier.Slots       `json:"slots"`
		Connections identifier.Connections `json:"connections"`
		State       string                 `json:"state"`
		Holdings    []leaser.Holding       `json:"holdings"`
		Load        int                    `json:"load"`
	}
	if failure := readJSON(w, r, &body); failure != nil {
		writeFailure(w, "", *failure)
		return
	}
	state, known := serverStates[body.State]
	if !known || body.Server == "" || body.Service == "" || body.Address == "" || body.Slots <= 0 || body.Connections <= 0 {
		writeFailure(w, "", *malformedRequest(
			"server, service, address, slots, connections and state (serving, starting or draining) must be set"))
		return
	}
	lease, err := b.announcer.Announce(r.Context(), reducer.ServerAnnounced{Announcement: leaser.Announcement{
		Server: body.Server, Incarnation: body.Incarnation, Sequence: body.Sequence,
		Service: body.Service, Domain: body.Domain, Address: body.Address,
		Slots: body.Slots, Connections: body.Connections, State: state,
		Holdings: body.Holdings, Load: body.Load,
	}})
	if err != nil {
		writeFailure(w, "", reducer.Failed{Kind: abandonedKind, Ran: reducer.RanNo, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Lease identifier.Micros `json:"lease-us"`
		Owner identifier.HostID `json:"owner"`
	}{lease.Term, lease.Owner})
}
