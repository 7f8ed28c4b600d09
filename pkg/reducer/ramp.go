package reducer

import (
	"slices"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/ramper"
)

// startShare returns the share of work of a server that is new in the list, or whose incarnation is. It begins a
// ramp if the servers of the service state their loads; otherwise the share is 0. A server that is listed for
// the first time may have run for long, unless it says that it is starting.
func (sl *serverList) startShare(previous *ListedServer, a leaser.Announcement) identifier.Ratio {
	if previous != nil && previous.Share > 0 {
		return sl.ramper.Start(a.Server)
	}
	sl.ramper.Remove(a.Server)
	if previous != nil || a.State != leaser.Starting {
		return 0
	}
	for _, l := range sl.servers {
		if l.Announcement.Service == a.Service && l.Share > 0 {
			return sl.ramper.Start(a.Server)
		}
	}
	return 0
}

// updateShare adds the measurements of one host to the ramp of a server. A server that states its load for the
// first time has the full share.
func (s *State) updateShare(server *ListedServer, m Measurement) {
	sl := &s.control.serverList
	if server.Share == 0 && !m.StatesLoad {
		return
	}
	share, ramping := sl.ramper.Add(m.Server, m.Tally.Answers, m.Tally.Poor)
	if share == server.Share {
		return
	}
	sl.revision++
	server.Share, server.Revision = share, sl.revision
	if ramping {
		s.log(MembershipSubsystem, Info, "share of a new backend server has changed", Field{"server", string(m.Server)},
			Field{"share", strconv.FormatFloat(float64(share), 'f', -1, 64)})
	}
}

// isRamped reports whether the hosts of this failure domain together find the share of work of a server
// that is new. A host that no control host informs judges for itself.
func (s *State) isRamped(b *Backend) bool {
	return b.Share > 0 && s.traffic.view.Fleet.ControlHost != ""
}

// drawRamp returns a random number if any server of a service gets only a share of its work. The piece may go to the
// servers with a higher share.
func (s *State) drawRamp(id identifier.ServiceID) identifier.Ratio {
	if !slices.ContainsFunc(s.traffic.view.Fleet.Backends[id], func(b Backend) bool {
		return b.Share < ramper.FullShare && s.isRamped(&b)
	}) {
		return 0
	}
	return identifier.Ratio(s.random.Float64())
}
