package loader

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// FakeServers are the settings of the fake backend server program.
type FakeServers struct {
	// Announce are the backend listeners of entry hosts, the first first.
	Announce []identifier.Address `yaml:"announce"`
	// Servers are the servers that the process runs.
	Servers []FakeServer `yaml:"servers"`
}

// FakeServer is one fake backend server.
type FakeServer struct {
	// Server is the server's id.
	Server identifier.ServerID `yaml:"server"`
	// Incarnation counts its starts.
	Incarnation identifier.Incarnation `yaml:"incarnation"`
	// Service is the service that it belongs to.
	Service identifier.ServiceID `yaml:"service"`
	// Domain is its failure domain.
	Domain identifier.DomainID `yaml:"failure-domain"`
	// Listen is its address for attempts.
	Listen identifier.Address `yaml:"listen"`
	// Slots is how many attempts run at once.
	Slots identifier.Slots `yaml:"slots"`
	// Connections is its connection cap.
	Connections identifier.Connections `yaml:"connections"`
	// Queue is how many attempts may wait for a slot.
	Queue int `yaml:"queue"`
	// ServiceMillis is the mean service time, in milliseconds.
	ServiceMillis float64 `yaml:"service-ms"`
	// SetupMillis is the cost of a new connection, in milliseconds.
	SetupMillis float64 `yaml:"connection-setup-ms"`
	// Epoch is the partitioning that it knows.
	Epoch identifier.Epoch `yaml:"epoch"`
	// Range is the hash range that it holds.
	Range identifier.HashRange `yaml:"range"`
	// Versions are the index versions that it holds.
	Versions []identifier.IndexVersion `yaml:"versions"`
	// Seed feeds its service times.
	Seed uint64 `yaml:"seed"`
}

// LoadFakeServers reads and checks the settings of fake backend servers.
func LoadFakeServers(file string) (FakeServers, error) {
	var f FakeServers
	d, err := read(file, &f)
	if err != nil {
		return FakeServers{}, err
	}
	for i, a := range f.Announce {
		d.checkAddress(fmt.Sprintf("announce[%d]", i), a)
	}
	for i, s := range f.Servers {
		field := fmt.Sprintf("servers[%d]", i)
		d.require(field+".server", string(s.Server))
		d.require(field+".service", string(s.Service))
		d.checkAddress(field+".listen", s.Listen)
		if s.Slots <= 0 || s.Connections <= 0 {
			d.fault(field, "slots and connections must be above 0")
		}
	}
	return f, d.err()
}
