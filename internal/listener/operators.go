package listener

import (
	"maps"
	"net/http"
	"slices"

	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// HostViewer returns the published view and the clock of a host, ends quarantines, and explains its routes.
// executor.Host implements it.
type HostViewer interface {
	View() *reducer.View
	Now() identifier.Instant
	QuarantineReleaser
	RouteExplainer
}

// operatorHandler serves the HTTP interface for operators and for the platform's load balancer.
type operatorHandler struct {
	host   identifier.HostID
	viewer HostViewer
	meter  *meter.Meter
	ready  func() bool
}

// NewOperators returns the HTTP handler of the interface for operators. The ready function
// reports whether the host accepts new callers.
func NewOperators(host identifier.HostID, v HostViewer, r OperationRunner, m *meter.Meter, ready func() bool) http.Handler {
	o := &operatorHandler{host: host, viewer: v, meter: m, ready: ready}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", NewMetrics(m))
	mux.HandleFunc("GET /live", o.live)
	mux.HandleFunc("GET /ready", o.readiness)
	mux.HandleFunc("GET /v1/status", o.status)
	mux.HandleFunc("GET /v1/burn", o.serveBurn)
	(&configurationHandler{host: host, runner: r}).register(mux)
	mux.HandleFunc("GET /v1/route", (&routeHandler{host: host, explainer: v}).explain)
	(&quarantineHandler{releaser: v}).register(mux)
	return mux
}

// NewMetrics returns the HTTP handler that writes the metrics in the Prometheus text format, at
// /metrics.
func NewMetrics(m *meter.Meter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { m.Write(w) })
	return mux
}

func (o *operatorHandler) live(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Live bool `json:"live"`
	}{true})
}

func (o *operatorHandler) readiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	ready := o.ready()
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready bool `json:"ready"`
	}{ready})
}

func (o *operatorHandler) status(w http.ResponseWriter, _ *http.Request) {
	type server struct {
		Server  identifier.ServerID  `json:"server"`
		Service identifier.ServiceID `json:"service"`
		Domain  identifier.DomainID  `json:"failure-domain"`
		Owner   identifier.HostID    `json:"owner"`
		Load    int                  `json:"load"`
	}
	v := o.viewer.View()
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
		Control       controlStatus       `json:"control"`
		Members       []member            `json:"control-members"`
		Hosts         []identifier.HostID `json:"hosts"`
		Servers       []server            `json:"servers"`
	}{o.host, o.ready(), v.Configuration, newControlStatus(o.host, v.Control), membersOf(v.ControlMembers), hosts, servers})
}
