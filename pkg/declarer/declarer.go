// Package declarer defines declarations. A declaration is a complete configuration: the
// routes that requests match, the services that answer them and the limits on clients.
//
// Each declaration replaces the previous one entirely. Versions only increase: a
// declaration whose version is not above the current one is ignored.
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

// RouteID identifies a route of a declaration.
type RouteID string

// Weight is the share of a route's requests that a target gets, relative to the weights
// of the route's other targets.
type Weight float64

// Target is a service that a route sends requests to, with its weight.
type Target struct {
	Service identifier.ServiceID `msgpack:"s"`
	Weight  Weight               `msgpack:"w"`
}

// Route defines which requests it matches and how they are served.
type Route struct {
	ID RouteID `msgpack:"i"`
	// Hostname and PathPrefix select the requests that the route matches. PathPrefix must end
	// with a slash, or the route matches no request.
	Hostname   string `msgpack:"h"`
	PathPrefix string `msgpack:"p"`
	// Repeatable means that a request may run more than once.
	Repeatable bool `msgpack:"r"`
	// Timeout is the time limit for answering a request, in microseconds.
	Timeout identifier.Micros `msgpack:"t"`
	// TargetLatency is the latency that answers should not exceed, in microseconds.
	TargetLatency identifier.Micros `msgpack:"o"`
	// Priority is the urgency of the route's requests; 0 is the most urgent.
	Priority int `msgpack:"y"`
	// MaxAttempts is the maximum number of servers of one service that a request is sent to.
	MaxAttempts int `msgpack:"a"`
	// Targets are the services that the requests are divided among, by weight.
	Targets []Target `msgpack:"g"`
	// Shards are the services that each request is sent to; each of them returns a part of the
	// answer. It is empty if each request goes to one of the targets.
	Shards []identifier.ServiceID `msgpack:"d"`
	// TopK is the number of greatest records that the answer of a sharded route keeps.
	TopK int `msgpack:"k"`
	// MinCoverage is the minimum fraction of the shards that an answer must cover.
	MinCoverage identifier.Ratio `msgpack:"c"`
}

// Services returns the services that the route refers to.
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

// Service is a service that routes can refer to.
type Service struct {
	ID identifier.ServiceID `msgpack:"i"`
	// HealthPath is the path at which the service's servers answer health checks.
	HealthPath string `msgpack:"h"`
	// MaxConnections is the maximum number of connections to one server from all entry hosts.
	MaxConnections identifier.Connections `msgpack:"c"`
	// Protocol and TLS define how to connect to the service's servers.
	Protocol string `msgpack:"p"`
	TLS      bool   `msgpack:"t"`
}

// Limits are the limits on the size of client requests and on the time to send them.
type Limits struct {
	MaxHeaderSize identifier.Bytes  `msgpack:"h"`
	MaxBodySize   identifier.Bytes  `msgpack:"b"`
	HeaderTimeout identifier.Micros `msgpack:"t"`
	IdleTimeout   identifier.Micros `msgpack:"i"`
}

// Declaration is one version of the complete configuration. It must not be modified after Check.
type Declaration struct {
	Version  identifier.Version `msgpack:"v"`
	Routes   []Route            `msgpack:"r"`
	Services []Service          `msgpack:"s"`
	Limits   Limits             `msgpack:"l"`
}

// InvalidError is returned for an invalid declaration.
type InvalidError struct {
	// Object is the id of the invalid route. It is empty if the error doesn't concern a single
	// route.
	Object string
	Reason string
}

// Error returns a message with the object, if any, and the reason.
func (e *InvalidError) Error() string {
	if e.Object == "" {
		return "declaration: " + e.Reason
	}
	return fmt.Sprintf("declaration: %s: %s", e.Object, e.Reason)
}

// Check validates the declaration. It returns an *InvalidError for the first violation.
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
	type routeKey struct{ hostname, prefix string }
	seen := map[routeKey]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := routeKey{r.Hostname, r.PathPrefix}
		if seen[key] {
			return &InvalidError{Object: string(r.ID), Reason: "another route has the same hostname and path prefix"}
		}
		seen[key] = true
	}
	return nil
}

func (r *Route) check(declared map[identifier.ServiceID]bool) error {
	invalid := func(reason string) error { return &InvalidError{Object: string(r.ID), Reason: reason} }
	if r.Timeout <= 0 {
		return invalid("the timeout must be above 0")
	}
	services := r.Services()
	if len(services) == 0 {
		return invalid("the route names no service")
	}
	for _, id := range services {
		if !declared[id] {
			return invalid(fmt.Sprintf("service %q is not declared", id))
		}
	}
	if len(r.Shards) > 0 {
		return nil
	}
	var total Weight
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return invalid("a weight is negative")
		}
		total += t.Weight
	}
	if total <= 0 {
		return invalid("the weights add up to 0")
	}
	return nil
}
