package reducer

import (
	"maps"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

const (
	// ProcessRetention is how long after the last message from a process messages from an earlier one of its host are
	// recognized as such. A process that seems earlier after that is a later one whose host's clock was set back.
	ProcessRetention = 60 * identifier.Second
	// IntroductionInterval is the time between requests to a delegate that has not introduced its process. Hosts of
	// earlier versions never do.
	IntroductionInterval = 2 * identifier.Second
)

// StaleMessagesCounter counts the messages from processes that have ended, and the answers to requests of earlier
// processes of this host.
const StaleMessagesCounter Counter = "stale-messages"

// ProcessIntroduced names the process of a host. It is the first event on each connection between hosts.
type ProcessIntroduced struct {
	processEvent
	Host    identifier.HostID    `msgpack:"h"`
	Process identifier.ProcessID `msgpack:"p"`
	// Asks is set if the receiver is to introduce its own process.
	Asks bool `msgpack:"a"`
}

// peerProcess is the latest known process of another host.
type peerProcess struct {
	id identifier.ProcessID
	// heardAt is when its last message was received.
	heardAt identifier.Instant
	// disconnected is set once a connection to the process has ended, which has ended what depended on it.
	disconnected bool
}

// receiveIntroduction records the process of another host and introduces this one if asked to.
func (s *State) receiveIntroduction(e ProcessIntroduced) {
	if e.Process == 0 || e.Host == s.parameters.Host {
		return
	}
	before := s.processes[e.Host].id
	if !s.hearProcess(identifier.Process{Host: e.Host, ID: e.Process}) || !s.isControl() {
		return
	}
	if e.Asks {
		s.emit(Send{To: e.Host, Event: ProcessIntroduced{Host: s.parameters.Host, Process: s.parameters.Process}})
	}
	if before == 0 && slices.ContainsFunc(s.control.serverList.delegates, func(h router.Host) bool { return h.ID == e.Host }) {
		s.publish()
	}
}

// hearProcess records a message from a process of another host. It reports false for one from an earlier process than the
// latest known one, which has ended.
func (s *State) hearProcess(p identifier.Process) bool {
	known := s.processes[p.Host]
	if p.ID < known.id && s.now.Since(known.heardAt) < ProcessRetention {
		s.count(StaleMessagesCounter, "", 0)
		return false
	}
	if known.id == p.ID {
		known.heardAt = s.now
		s.processes[p.Host] = known
		return true
	}
	s.processes[p.Host] = peerProcess{id: p.ID, heardAt: s.now}
	if known.id != 0 {
		s.endProcess(identifier.Process{Host: p.Host, ID: known.id}, known.disconnected)
	}
	return true
}

// endProcess ends what depends on a process of another host that a later one has replaced. A loss of power ends no
// connection, so the connection to the host may still lead to the earlier process.
func (s *State) endProcess(p identifier.Process, disconnected bool) {
	s.removeGathered(func(requester identifier.Process) bool { return requester == p })
	if disconnected {
		return
	}
	s.handleDisconnection(p.Host)
	if s.isControl() {
		s.log(MembershipSubsystem, Info, "process of a host was replaced", Field{"host", string(p.Host)}, Field{"process", p.ID.String()})
		s.emit(Reconnect{Host: p.Host})
	}
}

// handleDisconnectedProcess handles the end of a connection to another host. A connection to an earlier process ends
// nothing of a later one.
func (s *State) handleDisconnectedProcess(e PeerDisconnected) {
	known := s.processes[e.Host]
	if e.Process != 0 && e.Process < known.id {
		return
	}
	if known.id != 0 {
		known.disconnected = true
		s.processes[e.Host] = known
	}
	s.handleDisconnection(e.Host)
}

// handleDisconnection ends what depends on messages from or to another host: some may have been lost.
func (s *State) handleDisconnection(host identifier.HostID) {
	s.failAttemptsAt(func(owner identifier.HostID) bool { return owner == host })
	s.repeatPermitRequests(func(arbiter identifier.HostID) bool { return arbiter == host })
	s.control.crashSyncPending[host] = true
	s.dropAttemptsFrom(func(submitter identifier.HostID) bool { return submitter == host })
	s.removeGathered(func(requester identifier.Process) bool { return requester.Host == host })
	s.endDelegationsTo(host)
	s.control.serverList.forgetSentList(host)
}

// forgetProcesses removes the processes to which no connection is left and that have not been heard for ProcessRetention,
// except those of the hosts.
func (s *State) forgetProcesses(kept []router.Host) {
	maps.DeleteFunc(s.processes, func(id identifier.HostID, p peerProcess) bool {
		return p.disconnected && s.now.Since(p.heardAt) >= ProcessRetention && !slices.ContainsFunc(kept, func(h router.Host) bool { return h.ID == id })
	})
}

// introducedDelegates returns the delegates whose process is known. Hosts of earlier versions introduce none; they would
// take the requests of two processes of this host for one.
func (s *State) introducedDelegates() []router.Host {
	var hosts []router.Host
	for _, h := range s.control.serverList.delegates {
		if s.processes[h.ID].id != 0 {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// askForProcesses asks the delegates whose process is unknown to introduce it.
func (s *State) askForProcesses() {
	sl := &s.control.serverList
	for _, h := range sl.delegates {
		if at, asked := sl.processAsked[h.ID]; s.processes[h.ID].id != 0 || asked && s.now.Since(at) < IntroductionInterval {
			continue
		}
		sl.processAsked[h.ID] = s.now
		s.emit(Send{To: h.ID, Event: ProcessIntroduced{Host: s.parameters.Host, Process: s.parameters.Process, Asks: true}})
	}
}
