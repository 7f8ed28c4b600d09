// Package declarer holds whole configurations as operators declare them: the routes
// that requests match, the services that answer them and the limits on clients.
//
// A declaration replaces everything before it. Versions only rise: of two
// declarations the one of the higher version counts, and one that is not higher
// than the one held changes nothing.
//
// # Usage
//
//	if err := d.Check(); err != nil {
//		return err
//	}
package declarer

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// RouteID names a route of a declaration.
type RouteID string

// Weight is a share of a split route's requests, relative to the weights beside it.
type Weight float64

// Target is a service that a route sends requests to, and its weight among the others.
type Target struct {
	Service identifier.ServiceID `msgpack:"s"`
	Weight  Weight               `msgpack:"w"`
}

// Route says which requests it matches and how they are served.
type Route struct {
	ID RouteID `msgpack:"i"`
	// Hostname and PathPrefix select the requests of the route.
	Hostname   string `msgpack:"h"`
	PathPrefix string `msgpack:"p"`
	// Repeatable requests may run more than once.
	Repeatable bool `msgpack:"r"`
	// Timeout is the longest time that a request may be kept waiting, in microseconds.
	Timeout identifier.Micros `msgpack:"t"`
	// Objective is the time within which an answer has its full worth, in microseconds.
	Objective identifier.Micros `msgpack:"o"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `msgpack:"y"`
	// Attempts is the most servers of one service that a request may be sent to.
	Attempts int `msgpack:"a"`
	// Targets are the services that share the requests; a plain route has one.
	Targets []Target `msgpack:"g"`
	// Shards are the services that each hold a part of the answer; it is empty
	// on a route whose requests go to one service.
	Shards []identifier.ServiceID `msgpack:"d"`
	// Greatest is how many records the answer of a sharded route keeps.
	Greatest int `msgpack:"k"`
	// MinCoverage is the least share of the shards that an answer must hold.
	MinCoverage identifier.Ratio `msgpack:"c"`
}

// Services returns every service that the route names.
func (r *Route) Services() []identifier.ServiceID {
	if len(r.Shards) > 0 {
		return r.Shards
	}
	services := make([]identifier.ServiceID, 0, len(r.Targets))
	for _, t := range r.Targets {
		services = append(services, t.Service)
	}
	return services
}

// Service is a service that routes may name.
type Service struct {
	ID identifier.ServiceID `msgpack:"i"`
	// HealthPath is where a server of the service answers health checks.
	HealthPath string `msgpack:"h"`
	// Connections is the most connections that one server takes from all hosts together.
	Connections identifier.Connections `msgpack:"c"`
	// Protocol and TLS describe how its servers are spoken to.
	Protocol string `msgpack:"p"`
	TLS      bool   `msgpack:"t"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	Header        identifier.Bytes  `msgpack:"h"`
	Body          identifier.Bytes  `msgpack:"b"`
	HeaderTimeout identifier.Micros `msgpack:"t"`
	IdleTimeout   identifier.Micros `msgpack:"i"`
}

// Declaration is one version of the whole configuration. It is immutable once checked.
type Declaration struct {
	Version  identifier.Version `msgpack:"v"`
	Routes   []Route            `msgpack:"r"`
	Services []Service          `msgpack:"s"`
	Limits   Limits             `msgpack:"l"`
}

// InvalidError reports what is wrong with a declaration.
type InvalidError struct {
	// Object names the route or service at fault; it is empty for the whole.
	Object string
	Reason string
}

// Error names the object and says why it is invalid.
func (e *InvalidError) Error() string {
	if e.Object == "" {
		return "declaration: " + e.Reason
	}
	return fmt.Sprintf("declaration: %s: %s", e.Object, e.Reason)
}

// Check returns an *InvalidError for the first thing that is wrong, or nil.
func (d *Declaration) Check() error {
	if d.Version == 0 {
		return &InvalidError{Reason: "the version must be above 0"}
	}
	services := map[identifier.ServiceID]bool{}
	for i := range d.Services {
		if d.Services[i].ID == "" {
			return &InvalidError{Reason: "a service has no name"}
		}
		services[d.Services[i].ID] = true
	}
	type place struct{ hostname, prefix string }
	taken := map[place]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		at := place{r.Hostname, r.PathPrefix}
		if taken[at] {
			return &InvalidError{Object: string(r.ID), Reason: "another route has the same hostname and path prefix"}
		}
		taken[at] = true
	}
	return nil
}

func (r *Route) check(known map[identifier.ServiceID]bool) error {
	fault := func(reason string) error { return &InvalidError{Object: string(r.ID), Reason: reason} }
	if r.Timeout <= 0 {
		return fault("the timeout must be above 0")
	}
	services := r.Services()
	if len(services) == 0 {
		return fault("the route names no service")
	}
	for _, id := range services {
		if !known[id] {
			return fault(fmt.Sprintf("service %q is not declared", id))
		}
	}
	if len(r.Shards) > 0 {
		return nil
	}
	var sum Weight
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return fault("a weight is negative")
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return fault("the weights add up to 0")
	}
	return nil
}
