// Package demonstrator runs a whole deployment in one process: entry hosts and
// fake backend servers, on loopback.
//
// The demo, the load tool and tests use it.
//
// # Usage
//
//	d, err := demonstrator.New(demonstrator.Demo(), loggers)
//	defer d.Close()
//	address := d.Hosts[0].Address(demonstrator.Callers)
package demonstrator

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/logger"
	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/internal/runner"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// The listeners of an entry host.
const (
	Callers        = runner.Callers
	BackendServers = runner.BackendServers
	Operators      = runner.Operators
)

const fakerSubsystem reducer.Subsystem = "faker"

// anyLoopbackPort makes a listener choose a free port on loopback.
const anyLoopbackPort identifier.Address = "127.0.0.1:0"

// Service describes the backend servers of one service. They are assigned to the
// failure domains in turn.
type Service struct {
	Service         identifier.ServiceID
	Range           identifier.HashRange
	Servers         int
	Slots           identifier.Slots
	Connections     identifier.Connections
	Queue           int
	ServiceTime     time.Duration
	ConnectionSetup time.Duration
}

// Plan is the description of a deployment.
type Plan struct {
	Domains []identifier.DomainID
	// HostsPerDomain is the number of entry hosts in each failure domain.
	HostsPerDomain int
	// DomainDelay is the one-way network latency between entry hosts of different
	// failure domains. If it is above 0, their connections run through relays.
	DomainDelay time.Duration
	Customers   loader.CustomersFile
	Services    []Service
	Epoch       identifier.Epoch
	Versions    []identifier.IndexVersion
	Seed        uint64
	// Observe, if set, is called with the body of each attempt that a backend server
	// runs. It must be safe for concurrent use.
	Observe func(body []byte)
}

// Deployment holds the running entry hosts, backend servers and relays of a plan.
type Deployment struct {
	Hosts   []*runner.Runner
	Servers []*faker.Server
	Links   []Link
}

// Link is the relay for the connections that one entry host opens to another.
type Link struct {
	From, To loader.Peer
	Relay    *relayer.Relay
}

// Demo returns the plan of the demo: three failure domains with one entry host
// each, and four services with three backend servers each.
func Demo() Plan {
	services := []identifier.ServiceID{"demo-1", "demo-2", "demo-3", "demo-4"}
	partition := configurer.EvenPartition(1, services)
	p := Plan{
		Domains:        []identifier.DomainID{"fd-1", "fd-2", "fd-3"},
		HostsPerDomain: 1,
		Epoch:          1,
		Versions:       []identifier.IndexVersion{1},
		Seed:           1,
		Customers: loader.CustomersFile{
			Version: 1,
			Templates: []configurer.Template{{
				ID:    "demo",
				Works: []configurer.Work{{Kind: "lookup", Rank: "urgent"}, {Kind: "batch", Rank: "deferrable"}},
				Ranks: []configurer.RankParameters{
					{Rank: "urgent", TimeoutMillis: 2000, MinCoverage: 0.9, Floor: 0.5, TargetMillis: 100, Objective: 0.99},
					{Rank: "standard", TimeoutMillis: 5000, MinCoverage: 0.9, Floor: 0.1, TargetMillis: 500, Objective: 0.99},
					{Rank: "deferrable", TimeoutMillis: 60000, MinCoverage: 1, Floor: 0.1, TargetMillis: 5000, Objective: 0.9},
				},
				Budgets: configurer.Budgets{Hedge: 0.05, Retry: 0.1},
			}},
			Customers: []configurer.Customer{{ID: "demo", Template: "demo", Partition: partition}},
		},
	}
	for _, s := range partition.Shards {
		p.Services = append(p.Services, Service{
			Service: s.Service, Range: s.Range, Servers: 3, Slots: 3, Connections: 30, Queue: 3,
			ServiceTime: 5 * time.Millisecond, ConnectionSetup: 6 * time.Millisecond,
		})
	}
	return p
}

// New starts a deployment. If it returns an error, it has closed what it started.
func New(p Plan, loggers *logger.Set) (*Deployment, error) {
	d := &Deployment{}
	if err := d.startHosts(p, loggers); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startServers(p, loggers.Logger(fakerSubsystem)); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Close stops all servers, hosts and relays without a graceful shutdown.
func (d *Deployment) Close() {
	for _, s := range d.Servers {
		s.Close()
	}
	for _, h := range d.Hosts {
		h.Kill()
	}
	for _, l := range d.Links {
		l.Relay.Close()
	}
}

// SetDomainCondition sets the condition of all links between a failure domain and the others.
func (d *Deployment) SetDomainCondition(domain identifier.DomainID, c relayer.Condition) {
	for _, l := range d.Links {
		if (l.From.Domain == domain) != (l.To.Domain == domain) {
			l.Relay.SetCondition(c)
		}
	}
}

// relayPeers starts a relay for each peer in a remote failure domain, and returns the
// peers with the addresses of the relays. Without a domain delay it returns the peers
// unchanged.
func (d *Deployment) relayPeers(p Plan, self loader.Peer, peers []loader.Peer) ([]loader.Peer, error) {
	if p.DomainDelay == 0 {
		return peers, nil
	}
	relayed := slices.Clone(peers)
	for i, peer := range peers {
		if peer.Domain == self.Domain {
			continue
		}
		relay, err := relayer.New(relayer.Parameters{Target: peer.Address, Delay: p.DomainDelay})
		if err != nil {
			return nil, err
		}
		d.Links = append(d.Links, Link{From: self, To: peer, Relay: relay})
		relayed[i].Address = relay.Address()
	}
	return relayed, nil
}

func (d *Deployment) startHosts(p Plan, loggers *logger.Set) error {
	var peers []loader.Peer
	var listeners []runner.Listeners
	for _, domain := range p.Domains {
		for i := range p.HostsPerDomain {
			hostListeners, err := runner.OpenListeners(loader.Listen{
				Callers: anyLoopbackPort, BackendServers: anyLoopbackPort, Operators: anyLoopbackPort, Peers: anyLoopbackPort,
			})
			if err != nil {
				return err
			}
			listeners = append(listeners, hostListeners)
			host := identifier.HostID(fmt.Sprintf("%s-host-%d", domain, i+1))
			peers = append(peers, loader.Peer{Host: host, Domain: domain, Address: hostListeners.Address(runner.Peers)})
		}
	}
	for i, self := range peers {
		relayed, err := d.relayPeers(p, self, slices.Concat(peers[:i], peers[i+1:]))
		if err != nil {
			return err
		}
		host, err := runner.New(loader.Settings{
			Clients:       loader.DefaultClients(),
			Host:          self.Host,
			Domain:        self.Domain,
			Peers:         relayed,
			TrafficStates: loader.DefaultTrafficStates,
			Shutdown:      loader.Shutdown{TimeoutMillis: loader.DefaultShutdownTimeoutMillis},
		}, p.Customers, listeners[i], loggers)
		if err != nil {
			return err
		}
		d.Hosts = append(d.Hosts, host)
	}
	return nil
}

func (d *Deployment) startServers(p Plan, l hclog.Logger) error {
	for _, service := range p.Services {
		for i := range service.Servers {
			domain := i % len(p.Domains)
			s, err := faker.New(faker.Parameters{
				Server:          identifier.ServerID(fmt.Sprintf("%s-%d", service.Service, i+1)),
				Incarnation:     1,
				Service:         service.Service,
				Domain:          p.Domains[domain],
				Listen:          anyLoopbackPort,
				Announce:        d.announcementAddresses(p, domain),
				Slots:           service.Slots,
				Connections:     service.Connections,
				Queue:           service.Queue,
				ServiceTime:     service.ServiceTime,
				ConnectionSetup: service.ConnectionSetup,
				Holdings:        []leaser.Holding{{Epoch: p.Epoch, Range: service.Range, Versions: p.Versions}},
				Observe:         p.Observe,
				Seed:            p.Seed + uint64(len(d.Servers)),
			}, l)
			if err != nil {
				return err
			}
			d.Servers = append(d.Servers, s)
		}
	}
	return nil
}

// NewServers starts only the backend servers of a plan. They send no announcements.
func NewServers(p Plan, loggers *logger.Set) (*Deployment, error) {
	p.HostsPerDomain = 0
	d := &Deployment{}
	if err := d.startServers(p, loggers.Logger(fakerSubsystem)); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// announcementAddresses returns the addresses at which the entry hosts of a failure
// domain accept announcements.
func (d *Deployment) announcementAddresses(p Plan, domain int) []identifier.Address {
	var addresses []identifier.Address
	for _, h := range d.Hosts[domain*p.HostsPerDomain : (domain+1)*p.HostsPerDomain] {
		addresses = append(addresses, h.Address(BackendServers))
	}
	return addresses
}
