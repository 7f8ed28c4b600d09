package reducer

import (
	"slices"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/ramper"
)

// startRamp begins the ramp of a server that is new in the list, whose incarnation is, or that is cold again, if the servers of its
// service state their loads. A server that is listed for the first time may have run for long, unless it says that
// it is starting. Entry hosts learn the share from their control host.
func (sl *serverList) startRamp(listed, previous *ListedServer) {
	states := previous != nil && previous.Share > 0
	if previous == nil && listed.Announcement.State == leaser.Starting {
		for _, l := range sl.servers {
			states = states || (l.Announcement.Service == listed.Announcement.Service && l.Share > 0)
		}
	}
	if states {
		listed.ramp = ramper.New()
		listed.Share = listed.ramp.Share()
	}
}

// updateShare adds the measurements of one host to the ramp of a server. A server that states its load for the
// first time has the full share.
func (s *State) updateShare(server *ListedServer, m Measurement) {
	share := server.Share
	switch {
	case server.ramp != nil:
		share = server.ramp.Add(m.Tally.Answers, m.Tally.Poor)
		if share == server.Share {
			return
		}
		s.log(MembershipSubsystem, Info, "share of a new backend server has changed", Field{"server", string(m.Server)},
			Field{"share", strconv.FormatFloat(float64(share), 'f', -1, 64)})
	case m.StatesLoad && share == 0:
		share = ramper.FullShare
	default:
		return
	}
	sl := &s.control.serverList
	sl.revision++
	server.Share, server.Revision = share, sl.revision
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
