package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/authenticator"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// startServerList records the seeds and begins to request server lists.
func (s *State) startServerList() {
	s.control.serverList.searchStart = s.now
	s.addSeeds(s.seeds())
	s.pollServerLists()
}

// addSeeds adds seeds to the known control hosts.
func (s *State) addSeeds(seeds []identifier.HostID) {
	for _, id := range seeds {
		s.control.serverList.addControlHost(s.now, router.Host{ID: id})
	}
}

// changeSeeds replaces the seeds after a change of the settings.
func (s *State) changeSeeds(e SeedsChanged) {
	switch d := s.parameters.Duty.(type) {
	case EntryDuty:
		d.Seeds = e.Seeds
		s.parameters.Duty = d
	case ControlDuty:
		d.Seeds = e.Seeds
		s.parameters.Duty = d
	}
	s.addSeeds(e.Seeds)
}

// removeSilentControlHosts removes the control hosts that no other one has reported for ControlHostRetention, except the
// seeds and the members of the replicated log. An entry host that gets no reports keeps all: it may need any of them.
func (s *State) removeSilentControlHosts() {
	sl := &s.control.serverList
	now := s.now
	if _, ok := s.parameters.Duty.(EntryDuty); ok {
		now = sl.reportedAt
	}
	for id, known := range sl.controlHosts {
		if now.Since(known.lastSeen) > ControlHostRetention && !slices.Contains(s.seeds(), id) && !s.isMember(id) {
			delete(sl.controlHosts, id)
			delete(sl.peerSubscribers, id)
			delete(sl.announcementAddresses, id)
			delete(sl.reports, id)
		}
	}
}

// isMember reports whether a host is in the membership of the replicated log, as this control host knows it.
func (s *State) isMember(id identifier.HostID) bool {
	log := s.control.replication.log
	return log != nil && log.Members().HasHost(id)
}

// pollServerLists requests changes from the control host that this entry host subscribes to, or
// from all known ones while it has no subscription. A control host asks the others until it is
// synchronized. It also publishes its status, sends the other control hosts the list of its
// subscribers, and stores the server list.
func (s *State) pollServerLists() {
	sl := &s.control.serverList
	s.removeSilentControlHosts()
	interval := ServerListInterval
	if _, ok := s.parameters.Duty.(EntryDuty); ok && sl.subscribedTo == "" {
		interval = UnsubscribedInterval
	}
	s.schedule(s.now.Add(interval), serverListDue{})
	if _, ok := s.parameters.Duty.(ControlDuty); ok {
		if log := s.control.replication.log; log != nil {
			log.SetProbeTargets(s.controlHosts())
		}
		if !s.control.synchronized {
			s.requestServerLists()
		}
		s.forgetProcesses(nil)
		s.publishControlStatus()
		s.sendSubscribers()
		s.expireRejections()
		s.storeServerList()
		return
	}
	if sl.subscribedTo != "" && s.now.Since(sl.lastReceived) >= PollTimeout {
		s.log(MembershipSubsystem, Warn, "control host is silent; looking for another",
			Field{"host", string(sl.subscribedTo)})
		s.unsubscribe()
	}
	s.lowerHostCounts()
	s.forgetProcesses(sl.delegates)
	s.askForProcesses()
	if sl.subscribedTo != "" {
		s.requestServerList(sl.subscribedTo)
		s.requestLocalIfRemote()
		s.publishControlStatus()
		return
	}
	if s.now.Since(sl.searchStart) >= LocalWaitLimit || !s.requestLocalServerLists() {
		s.requestServerLists()
	}
	s.publishControlStatus()
}

// unsubscribe begins the search for another control host to subscribe to.
func (s *State) unsubscribe() {
	s.control.serverList.subscribedTo = ""
	s.control.serverList.searchStart = s.now
	s.control.serverList.remoteOffered = 0
}

// requestLocalIfRemote asks the control hosts in the local failure domain while this host
// subscribes to a remote one.
func (s *State) requestLocalIfRemote() {
	if s.control.serverList.controlHosts[s.control.serverList.subscribedTo].host.Domain == s.parameters.Domain {
		return
	}
	s.requestLocalServerLists()
}

// requestLocalServerLists asks the control hosts in the local failure domain, and reports whether
// any is known.
func (s *State) requestLocalServerLists() bool {
	known := false
	for _, h := range s.otherControlHosts() {
		if h.Domain == s.parameters.Domain {
			known = true
			s.requestServerList(h.ID)
		}
	}
	return known
}

// requestServerLists asks all control hosts. An entry host asks remote ones whose list it doesn't hold
// only whether it may subscribe to them: whole lists are large, and it needs one.
func (s *State) requestServerLists() {
	_, entry := s.parameters.Duty.(EntryDuty)
	for _, h := range s.otherControlHosts() {
		if _, held := s.control.serverList.positions[h.ID]; entry && !held && h.Domain != s.parameters.Domain {
			s.sendListRequest(h.ID, true)
			continue
		}
		s.requestServerList(h.ID)
	}
}

// requestServerList asks a control host for the changes since the list that this host holds. Without
// one, an entry host asks for the whole list, but not while it waits for that.
func (s *State) requestServerList(id identifier.HostID) {
	sl := &s.control.serverList
	if _, entry := s.parameters.Duty.(EntryDuty); entry && sl.positions[id].Started == 0 {
		if at, ok := sl.listRequested[id]; ok && s.now.Since(at) < ListRequestTimeout {
			return
		}
		sl.listRequested[id] = s.now
	}
	s.sendListRequest(id, false)
}

// requestListOf asks a remote control host that may be subscribed to for its whole list, unless this
// host subscribes to one or waits for the list of another.
func (s *State) requestListOf(e ServerListSent) {
	sl := &s.control.serverList
	suitable := e.InTouch && (e.Synchronized || len(sl.servers) > 0)
	if sl.subscribedTo != "" || !suitable || s.now.Since(sl.remoteListRequested) < ListRequestTimeout || s.awaitsLocal(e.From) {
		return
	}
	sl.remoteListRequested = s.now
	s.sendListRequest(e.From, false)
}

// awaitsLocal reports whether this host, which may subscribe to the remote control host, still waits for a
// local one that runs: after a restart all of them are in touch with their quorum within a round trip.
func (s *State) awaitsLocal(remote identifier.HostID) bool {
	sl := &s.control.serverList
	if sl.controlHosts[remote].host.Domain == s.parameters.Domain || s.now.Since(sl.localReceived) > LocalPreference {
		return false
	}
	if sl.remoteOffered == 0 {
		sl.remoteOffered = s.now
	}
	return s.now.Since(sl.remoteOffered) < LocalPreference
}

func (s *State) sendListRequest(id identifier.HostID, brief bool) {
	s.emit(Send{To: id, Event: ServerListRequested{
		Host:        s.parameters.Host,
		Domain:      s.parameters.Domain,
		Held:        s.control.serverList.positions[id],
		Version:     s.control.version,
		Topology:    s.control.serverList.topologies[id],
		Subscribes:  id == s.control.serverList.subscribedTo,
		Brief:       brief,
		Asked:       s.proofStamp(),
		Evacuations: s.control.serverList.evacuations.Revision,
	}})
}

// receiveServerList handles the server list of a control host.
func (s *State) receiveServerList(e ServerListSent) {
	sl := &s.control.serverList
	s.updateTopology(e)
	if e.Evacuations != nil {
		s.adoptEvacuations(*e.Evacuations)
	}
	if _, ok := s.parameters.Duty.(ControlDuty); ok {
		s.synchronizeServerList(e)
		return
	}
	if sl.controlHosts[e.From].host.Domain == s.parameters.Domain {
		sl.localReceived = s.now
	}
	if e.Brief {
		if sl.subscribedTo == e.From && e.InTouch {
			sl.lastReceived = s.now
		}
		s.requestListOf(e)
		return
	}
	delete(sl.listRequested, e.From)
	held := sl.positions[e.From]
	if held.Started == e.Position.Started && held.Revision > e.Position.Revision {
		// A later message has overtaken this one on another connection.
		return
	}
	if !e.Complete && held.Started != e.Position.Started {
		// The changes apply to a list that this host does not hold.
		delete(sl.positions, e.From)
		return
	}
	// Which servers are merged depends on the declaration.
	changed := e.Source != nil && s.applySource(*e.Source)
	changed = s.mergeServers(e) || changed
	sl.positions[e.From] = e.Position
	changed = s.subscribe(e) || changed
	if sl.subscribedTo == e.From {
		s.emit(Send{To: s.parameters.Host, Event: LendingUpdated{Lending: e.Lending}})
		changed = (sl.place != e.Place && sl.hasLimits()) || changed
		sl.place = e.Place
	}
	if changed {
		s.publish()
	}
	s.receiveProof(e.Proof)
}

// subscribe chooses the control host that this entry host subscribes to: one that is connected to
// its quorum, preferably in the local failure domain. While this host knows no servers, the
// control host must also be synchronized. It reports whether the view must be published.
func (s *State) subscribe(e ServerListSent) bool {
	sl := &s.control.serverList
	synchronized := s.control.synchronized
	if !e.InTouch || (!e.Synchronized && len(sl.servers) == 0) {
		if sl.subscribedTo == e.From {
			s.log(MembershipSubsystem, Warn, "control host is out of touch; looking for another",
				Field{"host", string(e.From)})
			s.unsubscribe()
		}
		return false
	}
	s.control.lastInTouch = s.now
	before := sl.subscribedTo
	local := sl.controlHosts[e.From].host.Domain == s.parameters.Domain
	if sl.subscribedTo == "" || (local && sl.controlHosts[sl.subscribedTo].host.Domain != s.parameters.Domain) {
		s.log(MembershipSubsystem, Info, "control host followed", Field{"host", string(e.From)})
		sl.subscribedTo = e.From
	}
	if sl.subscribedTo == e.From {
		sl.lastReceived = s.now
		s.control.synchronized = s.control.synchronized || e.Complete || sl.positions[e.From].Revision > 0
	}
	if sl.subscribedTo == before {
		return s.control.synchronized != synchronized
	}
	if e.Complete {
		s.mergeServers(e)
	} else {
		// Request the whole list again, with this control host's verdicts on degraded servers.
		delete(sl.positions, e.From)
	}
	s.sendCrashes(e.From)
	return true
}

// updateTopology records the topology. Lower counts of entry hosts take effect only after
// HostCountRetention: a control host that has restarted knows few of them at first.
func (s *State) updateTopology(e ServerListSent) {
	sl := &s.control.serverList
	if e.Topology != nil {
		sl.topologies[e.From] = e.Topology.digest()
		sl.reports[e.From] = e.Topology.ControlHosts
	}
	// An answer without a topology confirms the one that this host holds.
	sl.reportedAt = s.now
	for _, h := range sl.reports[e.From] {
		sl.addControlHost(s.now, h)
	}
	if e.Topology == nil {
		return
	}
	if _, ok := s.parameters.Duty.(EntryDuty); !ok || (sl.subscribedTo != "" && sl.subscribedTo != e.From) {
		return
	}
	sl.countedAt, sl.latestHostCounts = s.now, e.Topology.HostCounts
	sl.hostCounts.Local = max(sl.hostCounts.Local, sl.latestHostCounts.Local)
	sl.hostCounts.Remote = max(sl.hostCounts.Remote, sl.latestHostCounts.Remote)
	for _, h := range e.Topology.Delegates {
		// The connection to a process that has just introduced itself is new.
		if !slices.Contains(sl.delegates, h) && s.now.Since(s.processes[h.ID].heardAt) >= PollTimeout {
			s.emit(Reconnect{Host: h.ID})
		}
	}
	sl.delegates = e.Topology.Delegates
	s.askForProcesses()
	s.publish()
}

// lowerHostCounts lowers the counts of entry hosts to the latest ones after HostCountRetention.
func (s *State) lowerHostCounts() {
	sl := &s.control.serverList
	if sl.countedAt == 0 || sl.hostCounts == sl.latestHostCounts || s.now.Since(sl.countedAt) < HostCountRetention {
		return
	}
	sl.hostCounts = sl.latestHostCounts
	s.publish()
}

// mergeServers merges a control host's list into that of this entry host. Servers that the list
// leaves out are removed only if the sender is synchronized and connected to its quorum, and this host subscribes to no
// other one. It reports whether anything has changed.
func (s *State) mergeServers(e ServerListSent) bool {
	sl := &s.control.serverList
	changed := false
	named := map[identifier.ServerID]bool{}
	for _, l := range e.Servers {
		named[l.Announcement.Server] = true
		changed = s.mergeServer(e.From, l) || changed
		changed = s.updateReported(e.From, l) || changed
	}
	if !e.Complete || !e.InTouch || !e.Synchronized || s.subscribesToOther(e.From) {
		return changed
	}
	for id, l := range sl.servers {
		if !named[id] {
			delete(sl.servers, id)
			sl.vacate(l.Announcement.Address, id)
			changed = true
		}
	}
	return changed
}

// mergeServer records one server unless this host holds newer information. It reports whether anything
// has changed.
func (s *State) mergeServer(from identifier.HostID, l ListedServer) bool {
	return !s.holdsNewer(l) && !s.contestsPresence(from, l) && s.control.serverList.update(s.now, l.Announcement, l.Standing)
}

// contestsPresence reports whether a control host that this host doesn't subscribe to lists a server as silent or displaced that
// the subscribed one lists as present. A host that was frozen takes all servers for silent when it wakes and answers.
func (s *State) contestsPresence(from identifier.HostID, l ListedServer) bool {
	if !s.subscribesToOther(from) || l.Standing != Silent && l.Standing != Displaced {
		return false
	}
	known, ok := s.control.serverList.servers[l.Announcement.Server]
	return ok && known.Standing == Present && known.Announcement.Incarnation == l.Announcement.Incarnation
}

// subscribesToOther reports whether this entry host subscribes to another control host.
func (s *State) subscribesToOther(id identifier.HostID) bool {
	subscribedTo := s.control.serverList.subscribedTo
	return subscribedTo != "" && subscribedTo != id
}

// holdsNewer reports whether this host knows more of a server than another host's list says. Within an
// incarnation of the server, draining and leaving are final. Sequence numbers are not compared, since
// each control host records that of the last change that it received itself.
func (s *State) holdsNewer(l ListedServer) bool {
	known, ok := s.control.serverList.servers[l.Announcement.Server]
	if !ok || l.Announcement.Incarnation > known.Announcement.Incarnation ||
		s.outranks(l.Announcement.Service, known.Announcement.Service) {
		return false
	}
	return l.Announcement.Incarnation < known.Announcement.Incarnation || l.shutdownStage() < known.shutdownStage()
}

// updateReported records what hosts report of a server: whether it is degraded, what it says of
// itself, and its share of work. Only the control host that this host subscribes to counts: others rely on measurements from
// hosts in remote failure domains. It reports whether anything has changed.
func (s *State) updateReported(from identifier.HostID, l ListedServer) bool {
	known, ok := s.control.serverList.servers[l.Announcement.Server]
	if !ok || from != s.control.serverList.subscribedTo ||
		(known.Degraded == l.Degraded && known.Stated == l.Stated && known.Rejection == l.Rejection && known.Share == l.Share) ||
		known.Announcement.Incarnation != l.Announcement.Incarnation {
		return false
	}
	known.Degraded, known.Stated, known.Rejection, known.Share = l.Degraded, l.Stated, l.Rejection, l.Share
	return true
}

// shutdownStage returns how far the server's shutdown has got.
func (l *ListedServer) shutdownStage() ShutdownStage {
	switch {
	case l.Standing == Left:
		return Departed
	case l.Announcement.State == leaser.Draining:
		return Finishing
	}
	return Operating
}

// applySource puts a declaration in force on this entry host if it is newer than the current one.
// It reports whether it did so.
func (s *State) applySource(source declarer.Source) bool {
	sl := &s.control.serverList
	if source.Version <= s.control.version {
		return false
	}
	d, err := s.interpret(source)
	if err != nil {
		s.log(ConfigurationSubsystem, Error, "cannot interpret declaration", Field{"reason", err.Error()})
		return false
	}
	sl.declaration = d
	sl.routes = matcher.New(d.Routes)
	sl.customers = authenticator.New(d.Customers, d.KeysRequired)
	s.control.version = source.Version
	s.log(ConfigurationSubsystem, Info, "declaration in force", versionField(source.Version))
	return true
}

func (s *State) interpret(source declarer.Source) (*declarer.Declaration, error) {
	text, err := source.Text()
	if err != nil {
		return nil, err
	}
	return s.parameters.Interpreter(text)
}

// fleetView returns the view of the declaration and its servers for the traffic states.
func (s *State) fleetView() *FleetView {
	sl := &s.control.serverList
	if sl.declaration == nil {
		return nil
	}
	v := &FleetView{
		Declaration:  sl.declaration,
		Routes:       sl.routes,
		Services:     map[identifier.ServiceID]*declarer.Service{},
		Backends:     map[identifier.ServiceID][]Backend{},
		HostCounts:   sl.hostCounts,
		Place:        sl.place,
		Delegates:    s.introducedDelegates(),
		ControlHost:  sl.subscribedTo,
		Customers:    sl.customers,
		ControlHosts: s.controlHostsByDistance(),
		Evacuated:    sl.evacuations.Domains,
	}
	for i := range sl.declaration.Services {
		v.Services[sl.declaration.Services[i].ID] = &sl.declaration.Services[i]
	}
	for _, id := range sortedKeys(sl.servers) {
		l := sl.servers[id]
		if l.Standing == Left || l.Standing == Displaced || l.Announcement.State == leaser.Draining {
			continue
		}
		a := l.Announcement
		b := Backend{
			Announcement: a, Silent: l.Standing == Silent, Degraded: l.Degraded, Stated: l.Stated, Rejection: l.Rejection,
			Evacuated: slices.Contains(sl.evacuations.Domains, a.Domain),
		}
		if a.Domain == s.parameters.Domain {
			b.Share = l.Share
		}
		v.Backends[a.Service] = append(v.Backends[a.Service], b)
	}
	return v
}

// controlHostsByDistance returns the known control hosts, those of the local failure domain first.
func (s *State) controlHostsByDistance() []identifier.HostID {
	var local, remote []identifier.HostID
	for _, h := range s.otherControlHosts() {
		if h.Domain == s.parameters.Domain {
			local = append(local, h.ID)
			continue
		}
		remote = append(remote, h.ID)
	}
	return append(local, remote...)
}

// FleetView is the view of the declaration in force and the backend servers that may take work,
// for the traffic states to read. It is immutable once published.
type FleetView struct {
	Declaration *declarer.Declaration
	Routes      *matcher.Matcher
	Services    map[identifier.ServiceID]*declarer.Service
	Backends    map[identifier.ServiceID][]Backend
	HostCounts  HostCounts
	// Place is the position of this host among the entry hosts.
	Place HostPosition
	// Delegates are entry hosts of remote failure domains that gather parts for this one.
	Delegates []router.Host
	// ControlHost is the control host that this host subscribes to; empty while it searches for one.
	ControlHost identifier.HostID
	// Customers finds the customer that holds a key; nil counts as no customers.
	Customers *authenticator.Authenticator
	// ControlHosts are the known control hosts, those of the local failure domain first.
	ControlHosts []identifier.HostID
	// Evacuated are the evacuated failure domains.
	Evacuated []identifier.DomainID
}

// Backend is a backend server that may take work.
type Backend struct {
	leaser.Announcement
	// Silent is set while the server does not announce itself; it may still run.
	Silent bool
	// Degraded is set while the hosts in its failure domain measure poor answers from it.
	Degraded bool
	// Stated is what the server says of itself to any host.
	Stated ServerStatement
	// Rejection is the ratio of attempts that the server rejects as all hosts together measure it.
	Rejection identifier.Ratio
	// Evacuated is set while the server's failure domain is evacuated; the server gets no attempt.
	Evacuated bool
	// Share is the share of its usual work that the server gets while it is new; 0 if it doesn't state its
	// load, or is in a remote failure domain, whose hosts this host's control host doesn't hear.
	Share identifier.Ratio
}
