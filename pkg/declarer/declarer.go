// Package declarer defines declarations. A declaration is a complete configuration: the
// routes that requests match, the services that answer them, the customers that send them and
// the limits on clients.
//
// A declaration holds the digests of the customers' keys, never the keys themselves.
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
	"slices"

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
	// Public means that requests need no key, even if the declaration has customers.
	Public bool `msgpack:"u"`
	// Homes are the regions that may see the requests; empty means all.
	Homes []identifier.RegionID `msgpack:"e"`
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
	// WarmUp is how long a server stays cold after its start, and WarmUpRate how many requests a second a
	// cold server takes from all entry hosts together; 0 means no limit.
	WarmUp     identifier.Micros `msgpack:"w"`
	WarmUpRate identifier.Rate   `msgpack:"r"`
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
	// Customers are those that may send requests, each with its keys.
	Customers []Customer `msgpack:"c"`
	// KeysRequired is set if the declaration lists its customers, even if the list is empty. Else requests need no key.
	KeysRequired bool `msgpack:"q"`
}

// InvalidError is returned for an invalid declaration.
type InvalidError struct {
	// Object is the path of the invalid field, as in routes[2].timeout. It is empty if the error doesn't
	// concern a single field.
	Object string
	// Name is the ID of the route, service or customer, if it has one.
	Name   string
	Reason string
}

// Error returns a message with the field and the name, if any, and the reason.
func (e *InvalidError) Error() string {
	message := "declaration: "
	if e.Object != "" {
		message += e.Object + ": "
	}
	if e.Name != "" {
		message += e.Name + ": "
	}
	return message + e.Reason
}

// Check validates the declaration. It returns an *InvalidError for the first violation.
func (d *Declaration) Check() error {
	if d.Version == 0 {
		return &InvalidError{Object: "version", Reason: "the version must be above 0"}
	}
	services := map[identifier.ServiceID]bool{}
	for i := range d.Services {
		if err := d.Services[i].check(fmt.Sprintf("services[%d]", i)); err != nil {
			return err
		}
		services[d.Services[i].ID] = true
	}
	type routeKey struct{ hostname, prefix string }
	seen := map[routeKey]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		object := fmt.Sprintf("routes[%d]", i)
		if err := r.check(object, services); err != nil {
			return err
		}
		key := routeKey{r.Hostname, r.PathPrefix}
		if seen[key] {
			return &InvalidError{Object: object + ".path-prefix", Name: string(r.ID), Reason: "another route has the same hostname and path prefix"}
		}
		seen[key] = true
	}
	return d.checkCustomers()
}

// CheckHomes validates the homes of routes and customers. It returns an *InvalidError for the first
// region that is not known.
func (d *Declaration) CheckHomes(known []identifier.RegionID) error {
	for i := range d.Routes {
		if err := checkHomes(fmt.Sprintf("routes[%d]", i), string(d.Routes[i].ID), d.Routes[i].Homes, known); err != nil {
			return err
		}
	}
	for i := range d.Customers {
		if err := checkHomes(fmt.Sprintf("customers[%d]", i), string(d.Customers[i].ID), d.Customers[i].Homes, known); err != nil {
			return err
		}
	}
	return nil
}

func checkHomes(object, name string, homes, known []identifier.RegionID) error {
	for i, home := range homes {
		if !slices.Contains(known, home) {
			return &InvalidError{Object: fmt.Sprintf("%s.homes[%d]", object, i), Name: name, Reason: fmt.Sprintf("region %q is unknown", home)}
		}
	}
	return nil
}

func (s *Service) check(object string) error {
	switch {
	case s.ID == "":
		return &InvalidError{Object: object + ".id", Reason: "a service has no name"}
	case s.WarmUp < 0:
		return &InvalidError{Object: object + ".warm-up", Name: string(s.ID), Reason: "the warm-up is negative"}
	case !isRate(float64(s.WarmUpRate)):
		return &InvalidError{Object: object + ".warm-up-rate", Name: string(s.ID), Reason: "the rate is not a number of 0 or more"}
	}
	return nil
}

func (r *Route) check(object string, declared map[identifier.ServiceID]bool) error {
	invalid := func(field, reason string) error {
		return &InvalidError{Object: object + field, Name: string(r.ID), Reason: reason}
	}
	if r.Timeout <= 0 {
		return invalid(".timeout", "the timeout must be above 0")
	}
	services := r.Services()
	if len(services) == 0 {
		return invalid("", "the route names no service")
	}
	for _, id := range services {
		if !declared[id] {
			return invalid("", fmt.Sprintf("service %q is not declared", id))
		}
	}
	if len(r.Shards) > 0 {
		return nil
	}
	var total Weight
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return invalid(".targets", "a weight is negative")
		}
		total += t.Weight
	}
	if total <= 0 {
		return invalid(".targets", "the weights add up to 0")
	}
	return nil
}
