package loader

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// FakeServers holds the settings of the fake backend server program.
type FakeServers struct {
	// Announce lists entry hosts' addresses for announcements. An announcement goes to the
	// first host that accepts it.
	Announce []identifier.Address `yaml:"announce"`
	// Servers are the fake backend servers that the process runs.
	Servers []FakeServer `yaml:"servers"`
}

// FakeServer holds the settings of one fake backend server.
type FakeServer struct {
	// Server is the server's ID.
	Server identifier.ServerID `yaml:"server"`
	// Incarnation is the number of times that the server has started.
	Incarnation identifier.Incarnation `yaml:"incarnation"`
	// Service is the service that the server belongs to.
	Service identifier.ServiceID `yaml:"service"`
	// Domain is the server's failure domain.
	Domain identifier.DomainID `yaml:"failure-domain"`
	// Listen is the address at which the server accepts attempts.
	Listen identifier.Address `yaml:"listen"`
	// Slots is the maximum number of attempts that run concurrently.
	Slots identifier.Slots `yaml:"slots"`
	// Connections is the maximum number of connections.
	Connections identifier.Connections `yaml:"connections"`
	// Queue plus Slots is the maximum number of attempts that wait for a slot.
	Queue int `yaml:"queue"`
	// ServiceMillis is the mean service time, in milliseconds.
	ServiceMillis float64 `yaml:"service-ms"`
	// ConnectionSetupMillis is the time to set up a new connection, in milliseconds.
	ConnectionSetupMillis float64 `yaml:"connection-setup-ms"`
	// Epoch is the epoch of the partition that the server holds.
	Epoch identifier.Epoch `yaml:"epoch"`
	// Range is the hash range that the server holds.
	Range identifier.HashRange `yaml:"range"`
	// Versions are the index versions that the server holds.
	Versions []identifier.IndexVersion `yaml:"versions"`
	// Seed is the seed of the random service times.
	Seed uint64 `yaml:"seed"`
}

// LoadFakeServers reads and validates the settings of fake backend servers. It returns a
// *FaultsError if the file can be read but is invalid.
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
		d.requireValue(field+".server", string(s.Server))
		d.requireValue(field+".service", string(s.Service))
		d.checkAddress(field+".listen", s.Listen)
		if s.Slots <= 0 || s.Connections <= 0 {
			d.addFault(field, "slots and connections must be above 0")
		}
	}
	return f, d.err()
}
