package listener

import (
	"context"
	"net/http"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// RouteExplainer explains where a request would go. executor.Host implements it.
type RouteExplainer interface {
	ExplainRoute(ctx context.Context, asked reducer.RouteAsked) (reducer.RouteExplanation, error)
}

// RouteReply is the answer to the question where a request would go now. It names no key.
type RouteReply struct {
	Host        identifier.HostID       `json:"host"`
	Declined    reducer.DeclineReason   `json:"declined,omitempty"`
	Version     identifier.Version      `json:"configuration-version"`
	Route       declarer.RouteID        `json:"route"`
	Public      bool                    `json:"public"`
	Customer    identifier.CustomerID   `json:"customer"`
	Rank        string                  `json:"rank,omitempty"`
	Homes       [][]identifier.RegionID `json:"homes,omitempty"`
	Proof       RouteProof              `json:"proof"`
	Quota       RouteQuota              `json:"quota"`
	ControlHost identifier.HostID       `json:"control-host"`
	Evacuated   []identifier.DomainID   `json:"evacuated,omitempty"`
	Services    []RouteService          `json:"services"`
	Delegations []RouteDelegation       `json:"delegations,omitempty"`
}

// RouteProof is the proof of the declaration.
type RouteProof struct {
	Required  bool              `json:"required"`
	Proven    bool              `json:"proven"`
	Age       identifier.Micros `json:"age-us"`
	Remaining identifier.Micros `json:"remaining-us"`
}

// RouteQuota is the quota of the customer.
type RouteQuota struct {
	Required  bool                `json:"required"`
	Rate      identifier.Rate     `json:"rate"`
	Burst     float64             `json:"burst"`
	DeniedFor identifier.Micros   `json:"denied-for-us"`
	Asked     []identifier.HostID `json:"asked,omitempty"`
}

// RouteService is a service that the request, or a part of it, goes to.
type RouteService struct {
	Service identifier.ServiceID `json:"service"`
	Weight  declarer.Weight      `json:"weight,omitempty"`
	Next    bool                 `json:"next"`
	Servers []RouteServer        `json:"servers"`
}

// RouteServer is a server with what the host knows of it, in the order in which servers would be chosen.
type RouteServer struct {
	Server       identifier.ServerID    `json:"server"`
	Address      identifier.Address     `json:"address"`
	Domain       identifier.DomainID    `json:"failure-domain"`
	PassedOver   string                 `json:"passed-over,omitempty"`
	Silent       bool                   `json:"silent,omitempty"`
	Degraded     bool                   `json:"degraded,omitempty"`
	Stalled      bool                   `json:"stalled,omitempty"`
	Starting     bool                   `json:"starting,omitempty"`
	Cost         float64                `json:"cost-us"`
	LastResort   bool                   `json:"last-resort,omitempty"`
	Cold         identifier.Ratio       `json:"cold,omitempty"`
	Rejection    identifier.Ratio       `json:"rejection,omitempty"`
	Share        identifier.Ratio       `json:"share,omitempty"`
	Latency      identifier.Micros      `json:"latency-us,omitempty"`
	LatencyAge   identifier.Micros      `json:"latency-age-us,omitempty"`
	Load         *RouteLoad             `json:"load,omitempty"`
	InFlight     int                    `json:"in-flight"`
	Connections  identifier.Connections `json:"connections"`
	Failures     int                    `json:"failures,omitempty"`
	BackedOffFor identifier.Micros      `json:"backed-off-for-us,omitempty"`
	PausedFor    identifier.Micros      `json:"paused-for-us,omitempty"`
	Leaving      bool                   `json:"leaving,omitempty"`
	Limit        *identifier.Rate       `json:"limit,omitempty"`
	SaidAge      identifier.Micros      `json:"said-age-us,omitempty"`
	RoundTrip    identifier.Micros      `json:"round-trip-us,omitempty"`
}

// RouteLoad is the load that a server stated, and how old that is.
type RouteLoad struct {
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	Slots   identifier.Slots  `json:"slots"`
	Pace    identifier.Ratio  `json:"pace,omitempty"`
	Age     identifier.Micros `json:"age-us"`
}

// RouteDelegation is a group of services whose parts one of the hosts would be asked to gather.
type RouteDelegation struct {
	Domain   identifier.DomainID    `json:"failure-domain"`
	Hosts    []identifier.HostID    `json:"hosts"`
	Services []identifier.ServiceID `json:"services"`
}

// routeHandler serves the part of the operators' interface that explains routes.
type routeHandler struct {
	host      identifier.HostID
	explainer RouteExplainer
}

// explain answers where a request to the hostname and path, of the customer if there is one, would go now.
func (h *routeHandler) explain(w http.ResponseWriter, r *http.Request) {
	asked := reducer.RouteAsked{
		Hostname: r.FormValue("hostname"), Path: r.FormValue("path"), Customer: identifier.CustomerID(r.FormValue("customer")),
	}
	if asked.Hostname == "" || asked.Path == "" {
		http.Error(w, "hostname and path must be set", http.StatusBadRequest)
		return
	}
	x, err := h.explainer.ExplainRoute(r.Context(), asked)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, newRouteReply(h.host, x))
}

func newRouteReply(host identifier.HostID, x reducer.RouteExplanation) RouteReply {
	reply := RouteReply{
		Host: host, Declined: x.Declined, Version: x.Version, Route: x.Route, Public: x.Public, Customer: x.Customer,
		Homes: x.Homes, Proof: RouteProof(x.Proof), Quota: RouteQuota(x.Quota), ControlHost: x.ControlHost,
		Evacuated: x.Evacuated, Services: []RouteService{},
	}
	if x.Route != "" {
		reply.Rank = x.Rank.String()
	}
	for i := range x.Services {
		service := RouteService{Service: x.Services[i].Service, Weight: x.Services[i].Weight, Next: x.Services[i].Next, Servers: []RouteServer{}}
		for n := range x.Services[i].Candidates {
			service.Servers = append(service.Servers, newRouteServer(&x.Services[i].Candidates[n]))
		}
		reply.Services = append(reply.Services, service)
	}
	for _, d := range x.Delegations {
		reply.Delegations = append(reply.Delegations, RouteDelegation(d))
	}
	return reply
}

func newRouteServer(c *reducer.CandidateExplanation) RouteServer {
	m := &c.Measured
	server := RouteServer{
		Server: c.Server, Address: c.Address, Domain: c.Domain, PassedOver: c.PassedOver, Silent: c.Silent, Degraded: c.Degraded,
		Stalled: c.Stalled, Starting: c.Starting, Cost: m.Cost, LastResort: m.Restricted, Cold: m.Cold, Rejection: c.Rejection,
		Share: c.Share, Latency: m.Latency, LatencyAge: m.LatencyAge, InFlight: c.Open, Connections: c.Connections,
		Failures: m.Failures, BackedOffFor: max(c.BackedOffFor, m.BackedOffFor), PausedFor: c.PausedFor, Leaving: c.Said.Leaving,
		SaidAge: c.SaidAge, RoundTrip: c.RoundTrip,
	}
	if m.Load.Stated() {
		server.Load = &RouteLoad{Running: m.Load.Running, Waiting: m.Load.Waiting, Slots: m.Load.Slots, Pace: m.Load.Pace, Age: m.LoadAge}
	}
	if c.Said.Limited {
		server.Limit = &c.Said.Limit
	}
	return server
}
