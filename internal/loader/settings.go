// Package loader reads settings, templates, customers and changes from YAML files
// and validates them completely before they are used.
//
// Every fault is reported with its file, line, field and reason. An unknown field
// is a fault.
//
// # Usage
//
//	settings, err := loader.LoadSettings("h-1.yaml")
//	var faults *loader.FaultsError
//	if errors.As(err, &faults) {
//		...
//	}
package loader

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Settings holds the settings of one host.
type Settings struct {
	// Host is the host's ID, unique in the deployment.
	Host identifier.HostID `yaml:"host"`
	// Domain is the host's failure domain.
	Domain identifier.DomainID `yaml:"failure-domain"`
	// Fleet is set for a host in a fleet, where hosts discover each other through seeds and
	// operators declare the routes. It is nil in a deployment whose settings list all hosts.
	Fleet *Fleet `yaml:"fleet"`
	// Listen holds the addresses on which the host listens.
	Listen Listen `yaml:"listen"`
	// Peers are the other entry hosts.
	Peers []Peer `yaml:"peers"`
	// Customers is the path of the file with the initial templates and customers, relative to
	// the settings file.
	Customers string `yaml:"customers"`
	// Control lists the control hosts and gives this host the control role.
	Control Control `yaml:"control"`
	// TrafficStates is the number of goroutines that reduce traffic; 0 means the default of 2.
	// Hosts in a fleet ignore it and use 1.
	TrafficStates int `yaml:"traffic-states"`
	// Logs sets the levels and the format of the log.
	Logs Logs `yaml:"logs"`
	// Shutdown sets the timing of a graceful shutdown.
	Shutdown Shutdown `yaml:"shutdown"`
	// Clients limits what the requests that arrive at this host may hold.
	Clients Clients `yaml:"clients"`
	// MemoryLimitMegabytes is the size of the process from which the garbage collector runs more often, in
	// MB; 0 means no limit.
	MemoryLimitMegabytes int64 `yaml:"memory-limit-mb"`
}

// Listen holds the addresses of the listeners.
type Listen struct {
	// Callers is the address for queries from callers, or for clients' requests in a fleet.
	Callers identifier.Address `yaml:"callers"`
	// BackendServers is the address for announcements from backend servers. In a fleet,
	// operators send declarations to it too.
	BackendServers identifier.Address `yaml:"backend-servers"`
	// Operators is the address for operators' requests, metrics and health checks.
	Operators identifier.Address `yaml:"operators"`
	// Peers is the address for other hosts.
	Peers identifier.Address `yaml:"peers"`
	// Readiness is the address for the load balancer's readiness checks of an entry host in a
	// fleet.
	Readiness identifier.Address `yaml:"readiness"`
	// Metrics is a further address for metrics alone. It is optional.
	Metrics identifier.Address `yaml:"metrics"`
}

// FleetDuty is the role of a host in a fleet.
type FleetDuty string

// The roles in a fleet.
const (
	// FleetEntry is the role of an entry host, which serves clients.
	FleetEntry FleetDuty = "entry"
	// FleetControl is the role of a control host, which maintains the replicated log and the
	// server list.
	FleetControl FleetDuty = "control"
)

// Fleet holds the settings of a host in a fleet.
type Fleet struct {
	// Duty is the role of the host.
	Duty FleetDuty `yaml:"duty"`
	// Seeds are the announcement addresses of some control hosts.
	Seeds []identifier.Address `yaml:"seeds"`
	// PeerPort is the port for peers, the same on all hosts. A host's ID is its IP address and
	// this port.
	PeerPort uint16 `yaml:"peer-port"`
	// Founder is set only for the first start of a fleet, when all data folders are empty.
	Founder bool `yaml:"founder"`
	// AnnouncementIntervalMillis is the time between two announcements of a backend server, in
	// milliseconds.
	AnnouncementIntervalMillis int64 `yaml:"announcement-interval-ms"`
	// ExtraAttempts limits the attempts beyond the first for each piece, by all entry hosts
	// together. Control hosts lend a fraction of the slack to the entry hosts that need it.
	ExtraAttempts struct {
		// Share is the number of extra attempts allowed, as a fraction of the first attempts.
		Share identifier.Ratio `yaml:"share"`
		// Slack is the number of extra attempts allowed in each window, in addition to Share.
		Slack int `yaml:"slack"`
		// WindowMillis is the length of a window, in milliseconds; 0 disables lending.
		WindowMillis int64 `yaml:"window-ms"`
	} `yaml:"extra-attempts"`
	// DetourMillis is how much longer a backend server in the local failure domain may take
	// before one in a remote domain is preferred, in milliseconds.
	DetourMillis float64 `yaml:"detour-ms"`
	// RevocationMillis is the time after which a key that a declaration withdraws must not be used on any host,
	// also one that is cut off, in milliseconds. With 0, hosts that are cut off go on using it.
	RevocationMillis int64 `yaml:"revocation-ms"`
	// Quota is by how much customers may exceed their quotas in a window. Without a window, quotas are not
	// enforced.
	Quota struct {
		WindowMillis int64 `yaml:"window-ms"`
		// Overage is a fraction of the quota, and Slack a number of requests.
		Overage identifier.Ratio `yaml:"overage"`
		Slack   float64          `yaml:"slack"`
	} `yaml:"quota"`
	// Regions holds the region of each failure domain of the deployment. Routes and customers name regions
	// as their homes. It is optional.
	Regions map[identifier.DomainID]identifier.RegionID `yaml:"regions"`
	// EvacuationMillis is how soon an acknowledged order to evacuate a failure domain is in force, in
	// milliseconds; 0 disables the orders.
	EvacuationMillis float64 `yaml:"evacuation-ms"`
	// WarmUp is by how much servers that are cold may get more than the rate that the declaration sets for them, in
	// any second. Without it, that rate has no effect.
	WarmUp struct {
		// Overage is a factor of the rate, and Slack a number of requests.
		Overage identifier.Ratio `yaml:"overage"`
		Slack   float64          `yaml:"slack"`
	} `yaml:"warm-up"`
}

// Control holds the settings of the hosts that maintain the replicated log.
type Control struct {
	// DataFolder is the path of the data folder, relative to the settings file. It gives this
	// host the control role.
	DataFolder string `yaml:"data-folder"`
	// Hosts are the IDs of the control hosts, the same list on every host. If it is empty,
	// templates and customers come from the customers file only.
	Hosts []identifier.HostID `yaml:"hosts"`
}

// Peer holds the settings of another entry host.
type Peer struct {
	// Host is the peer's ID.
	Host identifier.HostID `yaml:"host"`
	// Domain is the peer's failure domain.
	Domain identifier.DomainID `yaml:"failure-domain"`
	// Address is the address on which the peer listens for other entry hosts.
	Address identifier.Address `yaml:"address"`
}

// Logs holds the settings of the log. Levels are trace, debug, info, warn, error and off.
type Logs struct {
	// Level is the level of all subsystems that are not in Subsystems; the default is info.
	Level string `yaml:"level"`
	// Subsystems maps names of subsystems to the levels that override Level.
	Subsystems map[string]string `yaml:"subsystems"`
	// JSON writes each line as a JSON object.
	JSON bool `yaml:"json"`
}

// Shutdown holds the settings of a graceful shutdown.
type Shutdown struct {
	// BalancerDelayMillis is how long the listeners stay open after the readiness check fails, in
	// milliseconds.
	BalancerDelayMillis int64 `yaml:"balancer-delay-ms"`
	// TimeoutMillis limits the wait for requests in flight, in milliseconds; 0 means the default
	// of 30000.
	TimeoutMillis int64 `yaml:"timeout-ms"`
}

// Clients holds the limits on what requests hold from their first byte until their answer is written, and
// on connections. They apply to the listener for callers and to that for backend servers, each; every
// other listener has an eighth of them. 0 means the default.
type Clients struct {
	// MemoryMegabytes limits the memory of all clients together, in MB.
	MemoryMegabytes int64 `yaml:"memory-mb"`
	// ClientMemoryMegabytes limits the memory of the clients at one IP address, in MB.
	ClientMemoryMegabytes int64 `yaml:"client-memory-mb"`
	// Connections limits the connections of all clients together.
	Connections int `yaml:"connections"`
	// ClientConnections limits the connections from one IP address.
	ClientConnections int `yaml:"client-connections"`
}

// CustomersFile holds the templates and customers of a configuration.
type CustomersFile struct {
	// Version is the version of the configuration; it must be above 0.
	Version identifier.Version `yaml:"version"`
	// Templates are the templates that the customers refer to.
	Templates []configurer.Template `yaml:"templates"`
	// Customers are the customers, each with the ID of its template.
	Customers []configurer.Customer `yaml:"customers"`
}
