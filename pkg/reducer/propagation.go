package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

const (
	// PullInterval separates the questions of a host whether there is a newer configuration.
	PullInterval = 500 * identifier.Millisecond
	// StartupTimeout bounds how long a starting host waits for the versions of the hosts it asks.
	StartupTimeout = 700 * identifier.Millisecond
	// StartupPeers bounds how many hosts besides the control hosts a starting host asks.
	StartupPeers = 8
	// ControlSilence is how long a host counts as in touch after it has heard a
	// control host that is.
	ControlSilence = 3 * identifier.Second
)

// Events that spread the configuration.
type (
	// ConfigurationWanted asks another host for what follows a version.
	ConfigurationWanted struct {
		configurationEvent
		Host    identifier.HostID  `msgpack:"h"`
		Version identifier.Version `msgpack:"v"`
	}
	// RevisionsSent carries the revisions that follow a version, or none when there is none.
	RevisionsSent struct {
		configurationEvent
		Host identifier.HostID `msgpack:"h"`
		// Version is the sender's version.
		Version   identifier.Version   `msgpack:"v"`
		Revisions []registrar.Revision `msgpack:"r"`
		// InTouch is set by a control host that is in touch with its quorum.
		InTouch bool `msgpack:"i"`
	}
	// ContentsSent carries a whole configuration.
	ContentsSent struct {
		configurationEvent
		Host     identifier.HostID  `msgpack:"h"`
		Contents registrar.Contents `msgpack:"c"`
		InTouch  bool               `msgpack:"i"`
	}
)

// startup is a host's search for the highest version that it can reach.
type startup struct {
	waiting bool
	asked   map[identifier.HostID]bool
	// highest is the highest version heard of.
	highest identifier.Version
	timeout identifier.Instant
}

// startSpread asks for the highest version within reach, and from then on for
// newer ones. A host without control hosts takes its configuration from a file.
func (s *State) startSpread() {
	if len(s.parameters.ControlHosts) == 0 {
		return
	}
	s.control.startup = startup{
		waiting: true,
		asked:   map[identifier.HostID]bool{},
		timeout: s.now.Add(StartupTimeout),
	}
	for _, h := range s.startupHosts() {
		s.control.startup.asked[h] = true
		s.pullFrom(h)
	}
	s.schedule(s.now.Add(StartupTimeout), startupDue{})
	s.schedule(s.now.Add(PullInterval), pullDue{})
}

// startupHosts returns the other control hosts and some of the other entry hosts.
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
	return append(hosts, others[:min(len(others), StartupPeers)]...)
}

func (s *State) isControlHost(h identifier.HostID) bool {
	if _, ok := s.parameters.Duty.(ControlDuty); ok && h == s.parameters.Host {
		return true
	}
	return slices.Contains(s.controlHosts(), h)
}

// controlHosts returns the hosts that keep the replicated log, as far as this host knows.
func (s *State) controlHosts() []identifier.HostID {
	if len(s.control.roster.controls) == 0 {
		return slices.Clone(s.parameters.ControlHosts)
	}
	return sortedKeys(s.control.roster.controls)
}

// pull asks the next control host for a newer configuration, and now and then another host.
func (s *State) pull() {
	s.control.pulls++
	hosts := slices.DeleteFunc(slices.Clone(s.parameters.ControlHosts), func(h identifier.HostID) bool {
		return h == s.parameters.Host
	})
	if len(s.parameters.Peers) > 0 {
		hosts = append(hosts, s.parameters.Peers[s.random.IntN(len(s.parameters.Peers))].ID)
	}
	if len(hosts) > 0 {
		s.pullFrom(hosts[s.control.pulls%len(hosts)])
	}
	s.publishControlStatus()
	s.schedule(s.now.Add(PullInterval), pullDue{})
}

func (s *State) pullFrom(h identifier.HostID) {
	s.emit(Send{To: h, Event: ConfigurationWanted{Host: s.parameters.Host, Version: s.control.catalog.Version()}})
}

// sendConfiguration answers a host that wants what follows its version.
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

// pushRevisions sends new revisions to the entry hosts that this control host
// serves. The entry hosts divide evenly among the control hosts, so that no host
// sends to all; a host whose control host is gone pulls.
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
	s.hearVersion(e.Host, e.Version, e.InTouch)
	if missing && s.control.catalog.Version() < e.Version {
		s.pullFrom(e.Host)
	}
}

// receiveContents loads a whole configuration, unless this host has one as high.
func (s *State) receiveContents(e ContentsSent) {
	if e.Contents.Version > s.control.catalog.Version() {
		s.logFaults(s.control.catalog.Load(e.Contents))
	}
	s.hearVersion(e.Host, e.Contents.Version, e.InTouch)
}

// hearVersion notes another host's version and puts what has come in force.
func (s *State) hearVersion(host identifier.HostID, version identifier.Version, inTouch bool) {
	if inTouch {
		s.control.touched = s.now
	}
	start := &s.control.startup
	start.highest = max(start.highest, version)
	if version <= s.control.catalog.Version() {
		delete(start.asked, host)
	}
	s.enforce()
	s.proposeImport()
}

// finishStartup ends the startup when this host holds the highest version heard
// of and every host asked has answered or the time is over.
func (s *State) finishStartup() {
	start := &s.control.startup
	if !start.waiting || s.control.catalog.Version() == 0 || s.control.catalog.Version() < start.highest {
		return
	}
	if s.settledStartup() {
		start.waiting = false
	}
}

// settledStartup reports whether every host asked at the start has answered or the time is over.
func (s *State) settledStartup() bool {
	return len(s.control.startup.asked) == 0 || s.now >= s.control.startup.timeout
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
	// The host that took the last operation leads, as far as is known, while it lives.
	if target := s.control.operations.target; s.hears(target) {
		status.Leader = target
	}
	status.InTouch = s.control.touched > 0 && s.now.Since(s.control.touched) <= ControlSilence
	return status
}

// hears reports whether a heartbeat of the host has arrived of late.
func (s *State) hears(host identifier.HostID) bool {
	_, ok := s.control.heard[host]
	return ok
}

// publishControlStatus publishes a view when what this host knows of the log has changed.
func (s *State) publishControlStatus() {
	status := s.controlStatus()
	if status != s.control.status {
		s.control.status = status
		s.publish()
	}
}
