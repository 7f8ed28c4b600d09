package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// overdueIntervals is the number of announcement intervals without an announcement after which a server
// that shares its address with another one is taken to have ended. An announcement that is lost once
// arrives before.
const overdueIntervals = 2

// occupy records that a server is listed at the address.
func (sl *serverList) occupy(address identifier.Address, id identifier.ServerID) {
	occupants := sl.addresses[address]
	if slices.Contains(occupants, id) {
		return
	}
	sl.addresses[address] = append(occupants, id)
	if len(occupants) > 0 {
		sl.contested[address] = true
	}
}

// vacate records that a server is no longer listed at the address.
func (sl *serverList) vacate(address identifier.Address, id identifier.ServerID) {
	occupants := slices.DeleteFunc(sl.addresses[address], func(x identifier.ServerID) bool { return x == id })
	sl.addresses[address] = occupants
	if len(occupants) < 2 {
		delete(sl.contested, address)
	}
	if len(occupants) == 0 {
		delete(sl.addresses, address)
	}
}

// overdue reports whether a listed server has missed overdueIntervals announcements.
func (s *State) overdue(id identifier.ServerID) bool {
	term := s.leaseTerm()
	announced := s.control.leases.Expiry(id).Add(-term)
	return s.now.Since(announced) >= term/announcementsPerLease*overdueIntervals
}

// isDeclared reports whether the declaration in force names the service.
func (s *State) isDeclared(service identifier.ServiceID) bool {
	if d := s.control.serverList.declaration; d != nil {
		return slices.ContainsFunc(d.Services, func(x declarer.Service) bool { return x.ID == service })
	}
	return s.declaredService(service) != nil
}

// declaredService returns a service of the committed declaration, on a control host; nil if it names none.
func (s *State) declaredService(service identifier.ServiceID) *declarer.Service {
	d := &s.control.declared
	source := s.control.replicated.source.Source
	if source.Version != d.version {
		d.version, d.services = source.Version, map[identifier.ServiceID]*declarer.Service{}
		declaration, err := s.interpret(source)
		if err != nil {
			s.log(ConfigurationSubsystem, Error, "cannot interpret declaration", Field{"reason", err.Error()})
			return nil
		}
		for i := range declaration.Services {
			d.services[declaration.Services[i].ID] = &declaration.Services[i]
		}
	}
	return d.services[service]
}

// declaredServices are the services that the declaration with the version names, on a control host.
type declaredServices struct {
	version  identifier.Version
	services map[identifier.ServiceID]*declarer.Service
}

// outranks reports whether only the first of two services is declared: an announcement for a service that
// no declaration names may come from another program.
func (s *State) outranks(a, b identifier.ServiceID) bool {
	return a != b && s.isDeclared(a) && !s.isDeclared(b)
}

// settleAddress lists as displaced the servers at an address that are overdue while another one
// announces itself there, and returns them. A server that keeps announcing itself stays: two servers
// can't run at one address, but only the address itself tells which one does.
func (s *State) settleAddress(address identifier.Address) []identifier.ServerID {
	occupants := s.control.serverList.addresses[address]
	if len(occupants) < 2 {
		return nil
	}
	var displaced []identifier.ServerID
	for _, id := range slices.Clone(occupants) {
		if s.overdue(id) && s.isOccupied(address, s.control.serverList.servers[id].Announcement) {
			s.displace(id)
			displaced = append(displaced, id)
		}
	}
	return displaced
}

// isOccupied reports whether another server announces itself at the address and may replace the one of
// the announcement.
func (s *State) isOccupied(address identifier.Address, a leaser.Announcement) bool {
	return slices.ContainsFunc(s.control.serverList.addresses[address], func(other identifier.ServerID) bool {
		return other != a.Server && !s.overdue(other) &&
			!s.outranks(a.Service, s.control.serverList.servers[other].Announcement.Service)
	})
}

// displace lists a server as displaced. Its lease ends, so that it is listed again once it announces
// itself.
func (s *State) displace(id identifier.ServerID) {
	a := s.control.serverList.servers[id].Announcement
	if latest, ok := s.control.leases.Latest(id); ok {
		a = latest
	}
	s.log(MembershipSubsystem, Info, "another backend server has the address", Field{"server", string(id)},
		Field{"address", string(a.Address)})
	s.control.leases.Remove(id)
	s.control.serverList.update(s.now, a, Displaced)
}

// settleAddresses settles the addresses at which several servers are listed, and returns the displaced
// ones.
func (s *State) settleAddresses() []identifier.ServerID {
	var displaced []identifier.ServerID
	for _, address := range sortedKeys(s.control.serverList.contested) {
		displaced = append(displaced, s.settleAddress(address)...)
	}
	if len(displaced) > 0 {
		s.notifySubscribers()
	}
	return displaced
}

// isLateAtAddress reports whether the first announcement of a server is from before the start of
// another server at its address.
func (s *State) isLateAtAddress(a leaser.Announcement) bool {
	if _, ok := s.control.serverList.servers[a.Server]; ok || !s.isOccupied(a.Address, a) {
		return false
	}
	return slices.ContainsFunc(s.control.serverList.addresses[a.Address], func(other identifier.ServerID) bool {
		return s.control.serverList.servers[other].Announcement.Incarnation > a.Incarnation
	})
}

// contradicts reports whether an announcement can't come from the server that is listed under its ID: an
// incarnation keeps its service, address and failure domain.
func (s *State) contradicts(a leaser.Announcement, known *ListedServer) bool {
	if s.outranks(known.Announcement.Service, a.Service) {
		return known.Standing != Left
	}
	if a.Incarnation != known.Announcement.Incarnation || sameOrigin(a, known.Announcement) {
		return false
	}
	_, leased := s.control.leases.Latest(a.Server)
	return leased && !s.outranks(a.Service, known.Announcement.Service)
}

// sameOrigin reports whether two announcements agree in what an incarnation of a server keeps.
func sameOrigin(a, other leaser.Announcement) bool {
	return a.Service == other.Service && a.Address == other.Address && a.Domain == other.Domain
}
