package loader

import "cmp"

// Default values of the limits on clients. A request within a declaration's limits of 16 KB for its head and
// 256 KB for its body holds at most 2 MB, and a usual one about 30 KB with its connection.
const (
	// DefaultClientsMegabytes leaves half of an entry host's 184 MB to the garbage collector: the heap
	// may grow to twice what is in use.
	DefaultClientsMegabytes = 40
	// DefaultConnections is a third of an entry host's 4,100 descriptors; most others are for servers.
	DefaultConnections = 1400
	// defaultClientNumerator and defaultClientDenominator are what one IP address may use of both: many
	// clients may stand behind one address.
	defaultClientNumerator   = 3
	defaultClientDenominator = 4
)

// DefaultClients returns the limits of settings that name none.
func DefaultClients() Clients { return Clients{}.withDefaults() }

// withDefaults fills in the limits that are left out.
func (c Clients) withDefaults() Clients {
	c.MemoryMegabytes = cmp.Or(c.MemoryMegabytes, DefaultClientsMegabytes)
	c.ClientMemoryMegabytes = cmp.Or(c.ClientMemoryMegabytes, max(1, c.MemoryMegabytes*defaultClientNumerator/defaultClientDenominator))
	c.Connections = cmp.Or(c.Connections, DefaultConnections)
	c.ClientConnections = cmp.Or(c.ClientConnections, max(1, c.Connections*defaultClientNumerator/defaultClientDenominator))
	return c
}

// checkClients validates the limits on clients and on memory.
func (d *document) checkClients(s Settings) {
	c := s.Clients
	if c.MemoryMegabytes < 0 || c.ClientMemoryMegabytes < 0 || c.Connections < 0 || c.ClientConnections < 0 {
		d.addFault("clients", "limits must not be negative")
	}
	if s.MemoryLimitMegabytes < 0 {
		d.addFault("memory-limit-mb", "must not be negative")
	}
}
