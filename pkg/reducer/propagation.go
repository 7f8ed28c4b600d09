package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

const (
	// PullInterval is the time between a host's requests for a newer configuration.
	PullInterval = 500 * identifier.Millisecond
	// StartupTimeout limits how long a starting host waits for the versions of the hosts it
	// queries.
	StartupTimeout = 700 * identifier.Millisecond
	// MaxStartupPeers limits how many hosts besides the control hosts a starting host queries.
	MaxStartupPeers = 8
	// ControlTimeout is how long a host counts as in touch after the last message from a
	// control host that is in touch with its quorum.
	ControlTimeout = 3 * identifier.Second
)

// Events that propagate the configuration.
type (
	// ConfigurationWanted requests from another host the changes after a version.
	ConfigurationWanted struct {
		configurationEvent
		Host    identifier.HostID  `msgpack:"h"`
		Version identifier.Version `msgpack:"v"`
	}
	// RevisionsSent carries the revisions after the version of the receiver; there may be none.
	RevisionsSent struct {
		configurationEvent
		Host identifier.HostID `msgpack:"h"`
		// Version is the sender's version.
		Version   identifier.Version   `msgpack:"v"`
		Revisions []registrar.Revision `msgpack:"r"`
		// InTouch is set by a control host that is in touch with its quorum.
		InTouch bool `msgpack:"i"`
	}
	// ContentsSent carries a complete configuration.
	ContentsSent struct {
		configurationEvent
		Host     identifier.HostID  `msgpack:"h"`
		Contents registrar.Contents `msgpack:"c"`
		InTouch  bool               `msgpack:"i"`
	}
)

// startup tracks a starting host's search for the highest version that other hosts have.
type startup struct {
	waiting    bool
	unanswered map[identifier.HostID]bool
	// highestVersion is the highest version reported by another host.
	highestVersion identifier.Version
	timeout        identifier.Instant
}

// startPropagation requests the configuration from other hosts, and from then on
// periodically requests a newer one. A host without control hosts takes its configuration
// from a file.
func (s *State) startPropagation() {
	if len(s.parameters.ControlHosts) == 0 {
		return
	}
	s.control.startup = startup{
		waiting:    true,
		unanswered: map[identifier.HostID]bool{},
		timeout:    s.now.Add(StartupTimeout),
	}
	for _, h := range s.startupHosts() {
		s.control.startup.unanswered[h] = true
		s.pullFrom(h)
	}
	s.schedule(s.now.Add(StartupTimeout), startupDue{})
	s.schedule(s.now.Add(PullInterval), pullDue{})
}

// startupHosts returns the other control hosts and a random sample of the other entry hosts.
func (s *State) startupHosts() []identifier.HostID {
	var hosts, others []identifier.HostID
	for _, p := range s.parameters.Peers {
		if s.isControlHost(p.ID) {
			hosts = append(hosts, p.ID)
		} else {
			others = append(others, p.ID)
		}
	}
	s.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(hosts, others[:min(len(others), MaxStartupPeers)]...)
}

func (s *State) isControlHost(h identifier.HostID) bool {
	if _, ok := s.parameters.Duty.(ControlDuty); ok && h == s.parameters.Host {
		return true
	}
	return slices.Contains(s.controlHosts(), h)
}

// controlHosts returns the hosts that store the replicated log, as known to this host.
func (s *State) controlHosts() []identifier.HostID {
	if len(s.control.serverList.controlHosts) == 0 {
		return slices.Clone(s.parameters.ControlHosts)
	}
	return sortedKeys(s.control.serverList.controlHosts)
}

// pull requests a newer configuration from one host: the control hosts and a random peer
// take turns.
func (s *State) pull() {
	s.control.pullCount++
	hosts := slices.DeleteFunc(slices.Clone(s.parameters.ControlHosts), func(h identifier.HostID) bool {
		return h == s.parameters.Host
	})
	if len(s.parameters.Peers) > 0 {
		hosts = append(hosts, s.parameters.Peers[s.random.IntN(len(s.parameters.Peers))].ID)
	}
	if len(hosts) > 0 {
		s.pullFrom(hosts[s.control.pullCount%len(hosts)])
	}
	s.publishControlStatus()
	s.schedule(s.now.Add(PullInterval), pullDue{})
}

func (s *State) pullFrom(h identifier.HostID) {
	s.emit(Send{To: h, Event: ConfigurationWanted{Host: s.parameters.Host, Version: s.control.catalog.Version()}})
}

// sendConfiguration sends a host the changes after its version: revisions if they are still
// kept, otherwise the complete configuration.
func (s *State) sendConfiguration(e ConfigurationWanted) {
	catalog := s.control.catalog
	answer := RevisionsSent{Host: s.parameters.Host, Version: catalog.Version(), InTouch: s.inTouch()}
	if e.Version >= catalog.Version() {
		s.emit(Send{To: e.Host, Event: answer})
		return
	}
	registry := s.control.replicated.registry
	if revisions, kept := registry.Since(e.Version); kept && registry.Catalog().Version() > e.Version {
		answer.Version = registry.Catalog().Version()
		answer.Revisions = revisions
		s.emit(Send{To: e.Host, Event: answer})
		return
	}
	s.emit(Send{To: e.Host, Event: ContentsSent{Host: s.parameters.Host, Contents: catalog.Contents(), InTouch: s.inTouch()}})
}

// pushRevisions sends new revisions to the entry hosts that this control host serves. The
// entry hosts are divided evenly among the control hosts, so that no host sends to all; an
// entry host whose control host is gone pulls the revisions.
func (s *State) pushRevisions(revisions []registrar.Revision) {
	index := slices.Index(s.parameters.ControlHosts, s.parameters.Host)
	if index < 0 {
		return
	}
	served := 0
	for _, p := range s.parameters.Peers {
		if s.isControlHost(p.ID) {
			continue
		}
		if served%len(s.parameters.ControlHosts) == index {
			s.emit(Send{To: p.ID, Event: RevisionsSent{
				Host: s.parameters.Host, Version: s.control.catalog.Version(), Revisions: revisions, InTouch: s.inTouch(),
			}})
		}
		served++
	}
}

func (s *State) receiveRevisions(e RevisionsSent) {
	missing := len(e.Revisions) == 0 || e.Revisions[0].Version > s.control.catalog.Version()+1
	s.applyRevisions(e.Revisions)
	s.recordVersion(e.Host, e.Version, e.InTouch)
	if missing && s.control.catalog.Version() < e.Version {
		s.pullFrom(e.Host)
	}
}

// receiveContents loads a complete configuration if it is newer than this host's.
func (s *State) receiveContents(e ContentsSent) {
	if e.Contents.Version > s.control.catalog.Version() {
		s.logFaults(s.control.catalog.Load(e.Contents))
	}
	s.recordVersion(e.Host, e.Contents.Version, e.InTouch)
}

// recordVersion records another host's version and activates the newest configuration received.
func (s *State) recordVersion(host identifier.HostID, version identifier.Version, inTouch bool) {
	if inTouch {
		s.control.lastInTouch = s.now
	}
	st := &s.control.startup
	st.highestVersion = max(st.highestVersion, version)
	if version <= s.control.catalog.Version() {
		delete(st.unanswered, host)
	}
	s.activateConfiguration()
	s.proposeImport()
}

// finishStartup completes the startup once this host has the highest version reported and
// every host queried has answered or the timeout has expired.
func (s *State) finishStartup() {
	st := &s.control.startup
	if !st.waiting || s.control.catalog.Version() == 0 || s.control.catalog.Version() < st.highestVersion {
		return
	}
	if s.startupQueriesDone() {
		st.waiting = false
	}
}

// startupQueriesDone reports whether every host queried at startup has answered or the
// timeout has expired.
func (s *State) startupQueriesDone() bool {
	return len(s.control.startup.unanswered) == 0 || s.now >= s.control.startup.timeout
}

// inTouch reports whether this host is a control host in touch with its quorum.
func (s *State) inTouch() bool {
	_, known := s.leader()
	return known
}

func (s *State) controlStatus() ControlStatus {
	status := ControlStatus{Member: s.isControlHost(s.parameters.Host), StorageFailed: s.storageFailed()}
	if status.Member {
		status.Leader, status.InTouch = s.leader()
		return status
	}
	// The last known leader is assumed to lead while its heartbeats arrive.
	if target := s.control.operations.target; s.isLive(target) {
		status.Leader = target
	}
	status.InTouch = s.control.lastInTouch > 0 && s.now.Since(s.control.lastInTouch) <= ControlTimeout
	return status
}

// isLive reports whether a recent heartbeat of the host has arrived.
func (s *State) isLive(host identifier.HostID) bool {
	_, ok := s.control.hostLeases[host]
	return ok
}

// publishControlStatus publishes a view if the control status has changed.
func (s *State) publishControlStatus() {
	status := s.controlStatus()
	if status != s.control.status {
		s.control.status = status
		s.publish()
	}
}
