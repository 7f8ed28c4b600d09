package listener

import (
	"maps"
	"net/http"
	"slices"

	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Views gives the latest view of a host and takes events into it; the executor's Host does.
type Views interface {
	View() *reducer.View
	Now() identifier.Instant
	Deliverer
}

// operators is the interface for operators and for the platform's balancer.
type operators struct {
	host  identifier.HostID
	views Views
	meter *meter.Meter
	ready func() bool
}

// NewOperators returns the handler of the operators' interface. The function
// tells whether the host takes new callers.
func NewOperators(host identifier.HostID, v Views, c Operations, m *meter.Meter, ready func() bool) http.Handler {
	o := &operators{host: host, views: v, meter: m, ready: ready}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", o.metrics)
	mux.HandleFunc("GET /live", o.live)
	mux.HandleFunc("GET /ready", o.readiness)
	mux.HandleFunc("GET /v1/status", o.status)
	mux.HandleFunc("GET /v1/burn", o.burn)
	(&configuration{host: host, operations: c}).register(mux)
	(&quarantine{deliverer: v}).register(mux)
	return mux
}

func (o *operators) metrics(w http.ResponseWriter, _ *http.Request) {
	o.meter.Write(w)
}

func (o *operators) live(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Live bool `json:"live"`
	}{true})
}

func (o *operators) readiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	ready := o.ready()
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready bool `json:"ready"`
	}{ready})
}

func (o *operators) status(w http.ResponseWriter, _ *http.Request) {
	type server struct {
		Server  identifier.ServerID  `json:"server"`
		Service identifier.ServiceID `json:"service"`
		Domain  identifier.DomainID  `json:"failure-domain"`
		Owner   identifier.HostID    `json:"owner"`
		Load    int                  `json:"load"`
	}
	v := o.views.View()
	servers := []server{}
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		s := v.Servers[id]
		servers = append(servers, server{s.Server, s.Service, s.Domain, s.Owner, s.Load})
	}
	hosts := []identifier.HostID{}
	for _, h := range v.Hosts {
		hosts = append(hosts, h.ID)
	}
	writeJSON(w, http.StatusOK, struct {
		Host          identifier.HostID   `json:"host"`
		Ready         bool                `json:"ready"`
		Configuration identifier.Version  `json:"configuration-version"`
		Control       control             `json:"control"`
		Members       []member            `json:"control-members"`
		Hosts         []identifier.HostID `json:"hosts"`
		Servers       []server            `json:"servers"`
	}{o.host, o.ready(), v.Configuration, controlOf(o.host, v.Control), membersOf(v.ControlMembers), hosts, servers})
}
