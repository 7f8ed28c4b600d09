package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

// Duty is the role of a host in its deployment. The interface is sealed: only types of this
// package implement it.
type Duty interface{ isDuty() }

type (
	// CombinedDuty is the role of a host whose settings list all other hosts: it serves
	// callers, owns backend servers and, with a disk, stores the replicated log.
	CombinedDuty struct{}
	// EntryDuty is the role of a host without a disk that serves clients by the routes of a
	// declaration and receives everything else from control hosts.
	EntryDuty struct {
		// Seeds are the control hosts that the settings name.
		Seeds []identifier.HostID
		// ExtraAttempts limits the attempts beyond the first for each piece.
		ExtraAttempts ExtraAttempts
		// Detour is how much longer, in microseconds, an attempt within the local failure
		// domain may take than one to a remote domain before the remote one is preferred.
		Detour identifier.Micros
		// Revocation is the time after which a key that a declaration withdraws must not be used on any host,
		// in microseconds. If it is 0, hosts that are cut off go on using it.
		Revocation identifier.Micros
		// Quotas is set if the quotas of customers are enforced.
		Quotas bool
		// Regions holds the region of each failure domain; it may be empty.
		Regions map[identifier.DomainID]identifier.RegionID
		// WarmUp is set if cold servers get no attempts beyond their limits.
		WarmUp bool
	}
	// ControlDuty is the role of a host that stores the replicated log and the server list
	// and serves both to entry hosts.
	ControlDuty struct {
		// Seeds are the control hosts that the settings name; this host may be one of them.
		Seeds []identifier.HostID
		// Founder is set at the first start of the whole deployment, when all disks are empty.
		Founder bool
		// Announcements is the address at which this host accepts announcements of backend servers.
		Announcements identifier.Address
		// AnnouncementInterval is the time between the announcements of a backend server,
		// in microseconds.
		AnnouncementInterval identifier.Micros
		// ExtraAttempts is as in EntryDuty; if its Window is 0, this host lends no extra attempts.
		ExtraAttempts ExtraAttempts
		// Quotas is by how much customers may exceed their quotas. If its Window is 0, they have none.
		Quotas permitter.Tolerance
		// Regions is as in EntryDuty. If it is set, there are no other failure domains.
		Regions map[identifier.DomainID]identifier.RegionID
		// WarmUp is by how much cold servers may get more than their limits. If its Window is 0, they have none.
		WarmUp permitter.Tolerance
	}
)

// ExtraAttempts limits the attempts beyond the first for each piece that all entry hosts
// together send to a service.
type ExtraAttempts struct {
	// Share is the number of extra attempts allowed for each first attempt.
	Share identifier.Ratio
	// Slack is the number of additional attempts allowed in each Window, by all hosts together.
	Slack  int
	Window identifier.Micros
}

func (CombinedDuty) isDuty() {}
func (EntryDuty) isDuty()    {}
func (ControlDuty) isDuty()  {}

// seeds returns the control hosts that the settings name.
func (s *State) seeds() []identifier.HostID {
	switch d := s.parameters.Duty.(type) {
	case EntryDuty:
		return d.Seeds
	case ControlDuty:
		return d.Seeds
	}
	return s.parameters.ControlHosts
}

// leaseTerm returns how long a backend server's lease lasts after an announcement.
func (s *State) leaseTerm() identifier.Micros {
	if d, ok := s.parameters.Duty.(ControlDuty); ok && d.AnnouncementInterval > 0 {
		return d.AnnouncementInterval * announcementsPerLease
	}
	return LeaseTerm
}
