package demonstrator

import (
	"fmt"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// RegionName is the name of a region.
type RegionName string

// The names of the regions.
const (
	HangarRegion      RegionName = "hangar"
	CoOperativeRegion RegionName = "co-operative"
)

// The kinds of work of every customer of a region, one per rank.
const (
	UrgentWork     identifier.WorkKind = "lookup"
	StandardWork   identifier.WorkKind = "history"
	DeferrableWork identifier.WorkKind = "archive"
)

// WorkKinds are the kinds of work by rank.
var WorkKinds = [identifier.RankCount]identifier.WorkKind{UrgentWork, StandardWork, DeferrableWork}

// RegionCustomer describes one customer of a region and its services.
type RegionCustomer struct {
	Customer    identifier.CustomerID
	Services    int
	Servers     int
	Slots       identifier.Slots
	Connections identifier.Connections
	// ConnectionSetup is the setup time of a new connection.
	ConnectionSetup time.Duration
}

// Region describes the network and the customers of a region. Experiments vary and
// measure the load of the first customer; the others get a constant background load.
type Region struct {
	Name RegionName
	// DomainDelay is the one-way network latency between failure domains.
	DomainDelay time.Duration
	// ClientDelay is the one-way network latency between clients and entry hosts.
	ClientDelay time.Duration
	Customers   []RegionCustomer
	// Timeouts are the clients' timeouts, by rank.
	Timeouts [identifier.RankCount]time.Duration
	// MinCoverage is the minimum coverage of an answer, by rank.
	MinCoverage [identifier.RankCount]float64
}

const (
	// regionHostsPerDomain is the number of entry hosts in each failure domain.
	regionHostsPerDomain = 2
	// regionServiceTime is the mean service time of the backend servers.
	regionServiceTime = 6 * time.Millisecond
	// RegionFloor is the share of capacity that is guaranteed to each of the standard
	// and deferrable ranks.
	RegionFloor = 0.1
)

// UnknownRegionError reports a region name that does not exist.
type UnknownRegionError struct {
	Name RegionName
}

// Error returns a message with the valid names.
func (e *UnknownRegionError) Error() string {
	return fmt.Sprintf("unknown region %q; the regions are %s and %s", e.Name, HangarRegion, CoOperativeRegion)
}

// FindRegion returns the region with a name, or an *UnknownRegionError.
func FindRegion(name RegionName) (Region, error) {
	switch name {
	case HangarRegion:
		return hangar(), nil
	case CoOperativeRegion:
		return coOperative(), nil
	}
	return Region{}, &UnknownRegionError{Name: name}
}

func hangar() Region {
	return Region{
		Name:        HangarRegion,
		DomainDelay: 1500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		Customers: []RegionCustomer{
			{"release-desk", 10, 3, 3, 30, 6 * time.Millisecond},
			{"parts-trace", 15, 3, 3, 30, 6 * time.Millisecond},
			{"audit-portal", 1, 7, 6, 100, time.Millisecond},
			{"crew-roster", 1, 3, 6, 100, time.Millisecond},
		},
		Timeouts:    [identifier.RankCount]time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond},
		MinCoverage: [identifier.RankCount]float64{0.9, 0.9, 1},
	}
}

func coOperative() Region {
	return Region{
		Name:        CoOperativeRegion,
		DomainDelay: 500 * time.Microsecond,
		ClientDelay: 3 * time.Millisecond,
		Customers: []RegionCustomer{
			{"member-desk", 10, 3, 2, 25, 6 * time.Millisecond},
			{"transfer-ledger", 15, 3, 2, 25, 6 * time.Millisecond},
			{"statement-batch", 1, 15, 2, 35, time.Millisecond},
			{"audit-view", 1, 8, 2, 35, time.Millisecond},
		},
		Timeouts:    [identifier.RankCount]time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond},
		MinCoverage: [identifier.RankCount]float64{1, 1, 1},
	}
}

// Capacity returns how many queries per second the customer's slots can serve when
// all times are multiplied by the scale.
func (c RegionCustomer) Capacity(scale float64) float64 {
	return float64(c.Servers*int(c.Slots)) / (regionServiceTime.Seconds() * scale)
}

// ServiceNames returns the customer's services, in the order of their ranges.
func (c RegionCustomer) ServiceNames() []identifier.ServiceID {
	var names []identifier.ServiceID
	for i := range c.Services {
		names = append(names, identifier.ServiceID(fmt.Sprintf("%s-%d", c.Customer, i+1)))
	}
	return names
}

// Plan returns the deployment of the region with all times multiplied by the
// scale: service times, connection setup times, network latencies and timeouts.
func (r Region) Plan(scale float64) Plan {
	p := Plan{
		Domains:        []identifier.DomainID{"fd-1", "fd-2", "fd-3"},
		HostsPerDomain: regionHostsPerDomain,
		DomainDelay:    Scaled(r.DomainDelay, scale),
		Epoch:          1,
		Versions:       []identifier.IndexVersion{1},
		Seed:           1,
		Customers:      loader.CustomersFile{Version: 1, Templates: []configurer.Template{r.template(scale)}},
	}
	for _, customer := range r.Customers {
		partition := configurer.EvenPartition(p.Epoch, customer.ServiceNames())
		p.Customers.Customers = append(p.Customers.Customers, configurer.Customer{
			ID: customer.Customer, Template: identifier.TemplateID(r.Name), Partition: partition,
		})
		for _, shard := range partition.Shards {
			p.Services = append(p.Services, Service{
				Service: shard.Service, Range: shard.Range, Servers: customer.Servers, Slots: customer.Slots,
				Connections: customer.Connections, Queue: int(customer.Connections),
				ServiceTime: Scaled(regionServiceTime, scale), ConnectionSetup: Scaled(customer.ConnectionSetup, scale),
			})
		}
	}
	return p
}

func (r Region) template(scale float64) configurer.Template {
	t := configurer.Template{
		ID:      identifier.TemplateID(r.Name),
		Budgets: configurer.Budgets{Hedge: 0.05, Retry: 0.1},
	}
	floors := [identifier.RankCount]float64{1 - 2*RegionFloor, RegionFloor, RegionFloor}
	for i, kind := range WorkKinds {
		rank := identifier.Rank(i)
		timeout := Scaled(r.Timeouts[i], scale).Milliseconds()
		t.Works = append(t.Works, configurer.Work{Kind: kind, Rank: rank.String()})
		t.Ranks = append(t.Ranks, configurer.RankParameters{
			Rank: rank.String(), TimeoutMillis: timeout, MinCoverage: r.MinCoverage[i],
			Floor: floors[i], TargetMillis: timeout / 2, Objective: 0.99,
		})
	}
	return t
}

// Scaled returns the duration multiplied by the scale.
func Scaled(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) * scale)
}
