package reducer

import (
	"slices"
	"strings"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// Intervals and timeouts of membership.
const (
	// LeaseTerm is how long a backend server's lease lasts after an announcement.
	LeaseTerm = 1800 * identifier.Millisecond
	// HeartbeatInterval is the time between heartbeats of a host.
	HeartbeatInterval = 200 * identifier.Millisecond
	// HostTimeout is the time without heartbeats after which a host is considered gone.
	HostTimeout = 1000 * identifier.Millisecond
	// SynchronizationPeriod is how long a host receives announcements after its start before
	// it is ready: an announcement interval, a heartbeat interval, and the time to connect.
	SynchronizationPeriod = 800 * identifier.Millisecond
	// ExpiryInterval is the time between checks for lapsed leases and silent hosts.
	ExpiryInterval = 50 * identifier.Millisecond
)

// control is the part of State that only the control goroutine uses.
type control struct {
	leases     *leaser.Leaser
	renewals   []pendingRenewal
	hostLeases map[identifier.HostID]hostLease
	leaving    bool
	version    identifier.Version
	policies   map[identifier.CustomerID]*configurer.Policy
	self       router.Host
	// arbiter grants the permits to probe suspect requests.
	arbiter *quarantiner.Arbiter
	// crashSyncPending marks the hosts whose connection was closed: they may have restarted, and
	// the suspect fingerprints and crashes are sent to them again.
	crashSyncPending map[identifier.HostID]bool
	// The latest view, and the time of the last heartbeat sent.
	published     *View
	lastHeartbeat identifier.Instant

	// catalog is the newest configuration that this host holds; version and
	// policies are those in force.
	catalog *registrar.Catalog
	// initialImport holds the contents of the customers file, which fill an empty registry.
	initialImport registrar.Import
	replicated    replicated
	operations    operations
	// orders are those whose senders have not been checked yet.
	orders      map[Ticket]order
	replication replication
	startup     startup
	pullCount   int
	// When this host last received a message from a control host that was in touch with its quorum.
	lastInTouch identifier.Instant
	status      ControlStatus
	started     identifier.Instant
	// Set once the host knows the servers: it has had enough time to receive announcements of
	// all of them, or holds the list of a control host.
	synchronized bool
	clockOffsets map[identifier.HostID]clockOffset
	// The list of backend servers that control hosts keep for entry hosts.
	serverList     serverList
	departureQueue departureQueue
	declared       declaredServices
	// proof is the permission of this entry host to count its declaration as the newest one; prover confirms
	// those of others on a control host.
	proof  permitter.Permission
	prover *permitter.Prover
	// credits holds and gives the credits of customers' quotas on a control host.
	credits quotaState
	// cold holds and gives the credits of servers that are cold on a control host.
	cold coldDesk
}

type hostLease struct {
	host    router.Host
	expires identifier.Instant
	// leaving is set while the host completes attempts in flight before it stops.
	leaving bool
}

func newControl(term, window identifier.Micros) control {
	return control{
		arbiter:          quarantiner.NewArbiter(),
		crashSyncPending: map[identifier.HostID]bool{},
		leases:           leaser.New(term),
		hostLeases:       map[identifier.HostID]hostLease{},
		policies:         map[identifier.CustomerID]*configurer.Policy{},
		published:        &View{},

		catalog:      registrar.NewCatalog(),
		replicated:   newReplicated(),
		operations:   newOperations(),
		orders:       map[Ticket]order{},
		replication:  newReplication(),
		clockOffsets: map[identifier.HostID]clockOffset{},
		serverList:   newServerList(window),
		prover:       permitter.NewProver(),
		credits:      newQuotaState(),
		cold:         newColdDesk(),
	}
}

// liveHosts returns this host, unless it is leaving, and the hosts with recent heartbeats,
// sorted by ID.
func (c *control) liveHosts() []router.Host {
	var hosts []router.Host
	if !c.leaving {
		hosts = append(hosts, c.self)
	}
	for _, h := range c.hostLeases {
		if !h.leaving {
			hosts = append(hosts, h.host)
		}
	}
	slices.SortFunc(hosts, func(a, b router.Host) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return hosts
}

// leavingHosts returns the hosts that complete attempts in flight before they stop, sorted by ID.
func (c *control) leavingHosts() []identifier.HostID {
	var hosts []identifier.HostID
	for _, id := range sortedKeys(c.hostLeases) {
		if c.hostLeases[id].leaving {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// startHost starts the periodic tasks of this host's duty.
func (s *State) startHost() {
	s.control.self = router.Host{ID: s.parameters.Host, Domain: s.parameters.Domain}
	s.control.started = s.now
	switch s.parameters.Duty.(type) {
	case EntryDuty:
		s.startServerList()
	case ControlDuty:
		s.startServerList()
		s.sendHeartbeats()
		s.schedule(s.now.Add(ExpiryInterval), expiryDue{})
		s.schedule(s.now.Add(CrashRepeatInterval), crashRepeatDue{})
	default:
		s.sendHeartbeats()
		s.schedule(s.now.Add(ExpiryInterval), expiryDue{})
		s.schedule(s.now.Add(CrashRepeatInterval), crashRepeatDue{})
		s.startPropagation()
	}
}

func (s *State) reduceMembership(event MembershipEvent) {
	switch e := event.(type) {
	case HostStarted:
		s.startHost()
	case HostLeaving:
		s.leave()
	case ServerAnnounced:
		s.handleAnnouncement(e)
	case ServerRelayed:
		s.recordAnnouncement(s.now.Add(-s.excessLatency(e.From, e.Stamp)-e.Age), e.Announcement)
	case RenewalsRelayed:
		s.receiveRenewals(e)
	case AnnouncementsWanted:
		s.sendAnnouncements(e)
	case HostHeard:
		s.receiveHeartbeat(e)
	case ServerListRequested:
		s.handleServerListRequest(e)
	case ServerListSent:
		s.receiveServerList(e)
	case ServerWithdrawn:
		s.withdraw(e)
	case WithdrawalRelayed:
		s.receiveWithdrawal(e)
	case SubscribersSent:
		s.control.serverList.peerSubscribers[e.From] = e.Subscribers
		s.control.serverList.entryHosts.outdated = true
	case SeedsChanged:
		s.changeSeeds(e)
	case ServersMeasured:
		s.handleMeasurements(e)
	case ServersStated:
		s.listStatements(e)
	case CreditRequested:
		s.giveCredit(e)
	case CreditReturned:
		s.takeBackCredit(e)
	case AllotmentsRequested:
		s.handleAllotmentRequest(e)
	case AllotmentsSent:
		s.receiveAllotments(e)
	case ColdCreditRequested:
		s.giveColdCredit(e)
	case ColdCreditSettled:
		s.settleLoan(e)
	case ColdAllotmentsRequested:
		s.handleColdReport(e)
	case ColdAllotmentsSent:
		s.receiveColdAllotments(e)
	}
}

// handleAnnouncement renews the server's lease, notifies the other hosts, and replies to the
// server.
func (s *State) handleAnnouncement(e ServerAnnounced) {
	grant := GrantLease{Ticket: e.Ticket, Term: s.leaseTerm(), Declined: !s.mayAcknowledge()}
	if known, ok := s.control.serverList.servers[e.Announcement.Server]; ok && s.contradicts(e.Announcement, known) {
		s.log(MembershipSubsystem, Warn, "announcement contradicts the listed server", Field{"server", string(e.Announcement.Server)},
			Field{"service", string(e.Announcement.Service)}, Field{"address", string(e.Announcement.Address)})
		grant.Declined = true
		s.emit(grant)
		return
	}
	if s.outdated(e.Announcement) {
		s.log(MembershipSubsystem, Info, "late announcement ignored", Field{"server", string(e.Announcement.Server)})
		s.answerAnnouncement(e.Announcement, grant)
		return
	}
	s.relayAnnouncement(e, s.recordAnnouncement(s.now, e.Announcement))
	if server, ok := s.control.published.Servers[e.Announcement.Server]; ok {
		grant.Owner = server.Owner
	}
	grant.Address = s.announcementAddress(e.Announcement.Domain)
	s.answerAnnouncement(e.Announcement, grant)
}

// answerAnnouncement answers a backend server, and waits first until its shutdown, if it announces one,
// is committed.
func (s *State) answerAnnouncement(a leaser.Announcement, grant GrantLease) {
	if a.State != leaser.Draining {
		s.emit(grant)
		return
	}
	s.acknowledgeDeparture(departureOf(a, Finishing), grant)
}

// outdated reports whether an announcement says less than this host knows of the server, or contradicts it.
func (s *State) outdated(a leaser.Announcement) bool {
	if s.control.replicated.departures.stage(s.now, a) == Departed {
		return true
	}
	known, ok := s.control.serverList.servers[a.Server]
	switch {
	case ok && s.outranks(a.Service, known.Announcement.Service):
		return false
	case !ok || a.Incarnation > known.Announcement.Incarnation && known.Standing == Left:
		return false
	case a.Incarnation < known.Announcement.Incarnation || known.Standing == Left:
		return true
	case known.Standing == Displaced && !a.NewerThan(known.Announcement):
		return true
	}
	return s.contradicts(a, known)
}

// recordAnnouncement renews a server's lease. It reports whether anything that affects routing has
// changed.
func (s *State) recordAnnouncement(at identifier.Instant, a leaser.Announcement) bool {
	if s.outdated(a) {
		return false
	}
	delete(s.control.serverList.restoredServers, a.Server)
	if s.control.replicated.departures.stage(s.now, a) == Finishing {
		a.State = leaser.Draining
	}
	if s.isLateAtAddress(a) {
		s.updateListedServer(a, Displaced)
		return false
	}
	if known, ok := s.control.serverList.servers[a.Server]; ok && !sameOrigin(a, known.Announcement) {
		s.control.leases.Remove(a.Server)
	}
	changed := s.control.leases.Receive(at, a)
	if changed {
		var displaced []identifier.ServerID
		if _, ok := s.parameters.Duty.(ControlDuty); ok {
			displaced = s.listAnnounced(a)
		}
		s.log(MembershipSubsystem, Debug, "backend server changed", Field{"server", string(a.Server)})
		s.publish(append(displaced, a.Server)...)
	}
	s.renewLease(a.Server)
	return changed
}

func (s *State) receiveHeartbeat(e HostHeard) {
	// Called only to update the clock offset of the other host.
	s.excessLatency(e.Host, e.Stamp)
	before, known := s.control.hostLeases[e.Host]
	s.syncCrashes(e.Host, known)
	if _, ok := s.parameters.Duty.(ControlDuty); ok {
		s.control.serverList.addControlHost(s.now, router.Host{ID: e.Host, Domain: e.Domain})
		s.control.serverList.announcementAddresses[e.Host] = e.Announcements
	}
	s.control.hostLeases[e.Host] = hostLease{
		host:    router.Host{ID: e.Host, Domain: e.Domain},
		expires: s.now.Add(HostTimeout),
		leaving: e.Leaving,
	}
	if known && before.leaving == e.Leaving {
		return
	}
	message := "entry host is live"
	if e.Leaving {
		message = "entry host is leaving"
	}
	s.log(MembershipSubsystem, Info, message, Field{"host", string(e.Host)})
	s.publish()
}

func (s *State) sendHeartbeats() {
	s.relayRenewals()
	heartbeat := HostHeard{
		Host:    s.parameters.Host,
		Domain:  s.parameters.Domain,
		Leaving: s.control.leaving,
		Stamp:   s.stamp(),
	}
	if d, ok := s.parameters.Duty.(ControlDuty); ok {
		heartbeat.Announcements = d.Announcements
	}
	s.sendToPeers(heartbeat)
	s.extendOwnership()
	s.schedule(s.now.Add(HeartbeatInterval), heartbeatDue{})
}

// sendToPeers sends an event to the other hosts that this host exchanges heartbeats with.
func (s *State) sendToPeers(e Event) {
	for _, p := range s.peers() {
		s.emit(Send{To: p.ID, Event: e})
	}
}

// updateSynchronized marks this host as synchronized once enough time has passed since its
// start to receive announcements of all servers. It reports whether this call did so.
func (s *State) updateSynchronized() bool {
	period := SynchronizationPeriod
	if _, ok := s.parameters.Duty.(ControlDuty); ok {
		period = ControlSynchronizationPeriod
	}
	if s.control.synchronized || s.now.Since(s.control.started) < period {
		return false
	}
	s.control.synchronized = true
	return true
}

// expireLeases removes the lapsed leases of servers and hosts.
func (s *State) expireLeases() {
	lapsed := s.control.leases.Expire(s.now)
	changed := s.updateSynchronized() || len(lapsed) > 0
	for _, id := range lapsed {
		s.log(MembershipSubsystem, Warn, "lease of backend server lapsed", Field{"server", string(id)})
		if listed, ok := s.control.serverList.servers[id]; ok && listed.Standing == Present {
			s.updateListedServer(listed.Announcement, Silent)
		}
	}
	if displaced := s.settleAddresses(); len(displaced) > 0 {
		lapsed, changed = append(lapsed, displaced...), true
	}
	s.control.serverList.removeExpired(s.now)
	for _, id := range sortedKeys(s.control.hostLeases) {
		if s.control.hostLeases[id].expires <= s.now {
			delete(s.control.hostLeases, id)
			changed = true
			s.log(MembershipSubsystem, Warn, "entry host is silent", Field{"host", string(id)})
		}
	}
	if changed {
		s.publish(lapsed...)
	}
	s.publishCredits()
	s.schedule(s.now.Add(ExpiryInterval), expiryDue{})
}

// leave notifies the other hosts, which then take over this host's servers, and returns the allotments that this host
// holds.
func (s *State) leave() {
	s.control.leaving = true
	s.returnAllotments()
	s.sendHeartbeats()
	s.publish()
}

// publish sends an updated view to the traffic states; changed lists the servers whose
// leases have changed.
func (s *State) publish(changed ...identifier.ServerID) {
	c := &s.control
	c.published = c.published.next(c, changed)
	if _, ok := s.parameters.Duty.(EntryDuty); ok {
		c.published.Fleet = s.fleetView()
	}
	if s.parameters.Strict {
		s.require(c.published.equivalent(newView(c)), ViewInvariant, "control")
	}
	s.emit(PublishView{View: c.published})
}
