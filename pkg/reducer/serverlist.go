package reducer

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/authenticator"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/lender"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/ramper"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

const (
	// announcementsPerLease is the lease duration in announcement intervals: one more than the
	// announcements that a backend server may miss before it counts as silent. Late and lost
	// announcements come in pairs when a host restarts.
	announcementsPerLease = 4
	// ServerListInterval is the interval at which an entry host polls its control host. After two
	// lost requests there is still time to switch to another one within the 3 s limit on stale
	// routing.
	ServerListInterval = 400 * identifier.Millisecond
	// PollTimeout is the time without a message after which an entry host switches to another
	// control host, and the time without a poll after which a control host no longer counts a
	// subscriber among the entry hosts: two intervals plus the time of a slow answer.
	PollTimeout = 1000 * identifier.Millisecond
	// PollerRetention is the time without a poll after which a host is no longer notified of
	// changes.
	PollerRetention = 3 * identifier.Second
	// ControlSynchronizationPeriod is how long a control host receives announcements after its
	// start before it may report that a backend server is gone.
	ControlSynchronizationPeriod = 3 * identifier.Second
	// LocalWaitLimit is how long an entry host without a subscription asks only the control hosts
	// in its local failure domain, if it knows any: if they run, they answer within a millisecond,
	// and lists from remote domains use bandwidth there. With PollTimeout it stays within 1.5 s.
	LocalWaitLimit = 300 * identifier.Millisecond
	// NotificationInterval is the minimum time between notifications of the subscribers. Each costs the
	// control host a message for each of them, and hundreds of servers may leave at the same moment.
	NotificationInterval = 40 * identifier.Millisecond
	// LocalPreference is how long an entry host that may subscribe to a remote control host waits for a local
	// one that has answered as recently: two of its polls.
	LocalPreference = 2 * UnsubscribedInterval
	// ListRequestTimeout is how long an entry host waits for a whole list that it has requested before
	// it requests one again: the time to send hundreds of servers over a slow link.
	ListRequestTimeout = 300 * identifier.Millisecond
	// UnsubscribedInterval is the polling interval of an entry host without a subscription: it
	// serves no clients, or uses an old list.
	UnsubscribedInterval = 100 * identifier.Millisecond
	// ServerListStoreInterval is the minimum time between writes of the list to disk. Later changes
	// are lost when all control hosts restart, until the servers announce themselves again. Departures
	// are in the replicated log.
	ServerListStoreInterval = 2 * identifier.Second
	// GoneServerRetention is how long a backend server that has left or is silent stays in the
	// list, so that late messages about it are recognized.
	GoneServerRetention = 60 * identifier.Second
	// HostCountRetention is how long the highest count of entry hosts is kept: long enough for a
	// control host and some entry hosts to restart.
	HostCountRetention = 3 * identifier.Second
	// ControlHostRetention is how long a control host is still sent messages after it, or another
	// host, last reported it.
	ControlHostRetention = 60 * identifier.Second
)

// defaultHostCounts is assumed until a control host has sent the counts of entry hosts: a host
// that starts among many must not open as many connections as all of them together.
var defaultHostCounts = HostCounts{Local: 4, Remote: 8}

// ServerStatus is the status of a backend server in the list of a control host.
type ServerStatus uint8

// The statuses of a backend server.
const (
	// Present servers announce themselves.
	Present ServerStatus = iota
	// Silent servers have not announced themselves recently; they may still run.
	Silent
	// Left servers have announced their shutdown.
	Left
	// Displaced servers have missed announcements while another server announced itself at their address.
	Displaced
)

// ServerListRevision counts the changes of one control host's server list.
type ServerListRevision uint64

// ListedServer is a backend server in a control host's server list.
type ListedServer struct {
	Announcement leaser.Announcement `msgpack:"a"`
	Standing     ServerStatus        `msgpack:"s"`
	Revision     ServerListRevision  `msgpack:"r"`
	// Degraded is set while the entry hosts in its failure domain, taken together, measure poor
	// answers from it.
	Degraded bool `msgpack:"d"`
	// Stated is what the server says of itself in its answers to any host.
	Stated ServerStatement `msgpack:"t"`
	// Rejection is the ratio of attempts that the server rejects as all entry hosts measure it, 0 if it
	// doesn't.
	Rejection identifier.Ratio `msgpack:"j"`
	// Share is the share of its usual work that the server gets from its failure domain; 0 while it is not
	// known to state its load.
	Share identifier.Ratio `msgpack:"h"`
	// ramp finds the share while the server is new; nil otherwise.
	ramp *ramper.Ramper
	// changed is when the status or what routing depends on last changed, by the clock of the
	// host that keeps the list.
	changed identifier.Instant
}

// ServerListPosition identifies the revision of a control host's list that another host holds.
// Started distinguishes the processes of the control host.
type ServerListPosition struct {
	Started  identifier.Instant `msgpack:"p"`
	Revision ServerListRevision `msgpack:"r"`
}

// Events about the server list and its subscribers.
type (
	// ServerListRequested asks a control host for the changes of its server list.
	ServerListRequested struct {
		membershipEvent
		Host    identifier.HostID   `msgpack:"h"`
		Domain  identifier.DomainID `msgpack:"d"`
		Held    ServerListPosition  `msgpack:"p"`
		Version identifier.Version  `msgpack:"v"`
		// Topology is the digest of the topology that the entry host knows.
		Topology TopologyDigest `msgpack:"c"`
		// Subscribes is set by an entry host that subscribes to the control host, which then counts it
		// among the hosts that share the servers.
		Subscribes bool `msgpack:"s"`
		// Brief is set by an entry host that looks for a control host to subscribe to: the answer is to
		// leave out the servers and the declaration.
		Brief bool `msgpack:"b"`
		// Evacuations is the revision of the evacuations that the host knows.
		Evacuations EvacuationRevision `msgpack:"e"`
		// Asked is when the host asks, by its own clock, if it needs a proof that its declaration is the newest
		// one; else zero.
		Asked Stamp `msgpack:"a"`
	}
	// ServerListSent carries the changes of a control host's server list.
	ServerListSent struct {
		membershipEvent
		From     identifier.HostID  `msgpack:"f"`
		Position ServerListPosition `msgpack:"p"`
		// Complete is set when the list is complete and replaces the one that was held.
		Complete bool           `msgpack:"w"`
		Servers  []ListedServer `msgpack:"s"`
		// Topology is set when it differs from the one that the receiver knows.
		Topology *Topology `msgpack:"c"`
		// InTouch is set while the sender is connected to a quorum of the replicated log.
		InTouch bool `msgpack:"i"`
		// Synchronized is set once the sender knows all servers, from announcements or
		// from the list of another control host.
		Synchronized bool `msgpack:"l"`
		// Source is the declaration in force, if it is newer than the receiver's.
		Source *declarer.Source `msgpack:"d"`
		// Lending describes the extra attempts that the sender lends to its subscribers.
		Lending Lending `msgpack:"e"`
		// Place is the receiver's position among the entry hosts. It changes more often than the
		// topology: with each host that starts or stops.
		Place HostPosition `msgpack:"n"`
		// Brief is set when the servers and the declaration are left out, as was requested.
		Brief bool `msgpack:"b"`
		// Proof proves which declaration was the newest one when the receiver asked earlier.
		Proof DeclarationProof `msgpack:"o"`
		// Evacuations are those in force, if they are newer than the receiver's.
		Evacuations *Evacuations `msgpack:"v"`
	}
	// ServerWithdrawn reports that a backend server has announced its shutdown.
	ServerWithdrawn struct {
		membershipEvent
		Ticket Ticket
		Server identifier.ServerID
		// Age is the most by which the message is older than this event, by the clock of the host.
		Age identifier.Micros
	}
	// SubscribersSent sends the other control hosts the list of the sender's subscribers.
	SubscribersSent struct {
		membershipEvent
		From        identifier.HostID `msgpack:"f"`
		Subscribers []router.Host     `msgpack:"r"`
	}
	// WithdrawalRelayed relays a ServerWithdrawn to the other control hosts.
	WithdrawalRelayed struct {
		membershipEvent
		Server identifier.ServerID `msgpack:"s"`
		// Service and Incarnation name the incarnation that has left. Earlier versions don't set them.
		Service     identifier.ServiceID   `msgpack:"c"`
		Incarnation identifier.Incarnation `msgpack:"i"`
		// From is the relaying host.
		From identifier.HostID `msgpack:"f"`
	}
	// SeedsChanged replaces the control hosts that the settings name.
	SeedsChanged struct {
		membershipEvent
		Seeds []identifier.HostID
	}
)

// TopologyDigest is a 64-bit hash of a topology.
type TopologyDigest uint64

// Topology is the part of the deployment's topology that one entry host needs.
type Topology struct {
	ControlHosts []router.Host `msgpack:"c"`
	HostCounts   HostCounts    `msgpack:"n"`
	// Delegates are entry hosts of remote failure domains that gather parts for the entry host.
	Delegates []router.Host `msgpack:"g"`
}

// digest returns a hash of the topology.
func (t *Topology) digest() TopologyDigest {
	hash := xxhash.New()
	for _, list := range [][]router.Host{t.ControlHosts, t.Delegates} {
		for _, h := range list {
			// Writes to a digest never fail.
			_, _ = hash.WriteString(string(h.ID) + "\x00" + string(h.Domain) + "\x01")
		}
	}
	_, _ = hash.WriteString(strconv.Itoa(t.HostCounts.Local) + "/" + strconv.Itoa(t.HostCounts.Remote))
	return TopologyDigest(hash.Sum64())
}

// poller is a host that polls this control host, and the state that it holds.
type poller struct {
	lastSeen identifier.Instant
	position ServerListPosition
	version  identifier.Version
	topology TopologyDigest
	domain   identifier.DomainID
	// evacuations is the revision of the evacuations that the host knows.
	evacuations EvacuationRevision
	// subscribed is set for an entry host that subscribes to this control host; other hosts
	// only poll.
	subscribed bool
	// wholeSent is when the whole list was last sent, unless it may have been lost since.
	wholeSent identifier.Instant
	// delegates are the host's delegates of generation delegatesFrom of the entry hosts.
	delegates     []router.Host
	delegatesFrom uint64
}

// serverList is the part of control that keeps the server list, or a copy of it on entry hosts.
type serverList struct {
	servers map[identifier.ServerID]*ListedServer
	// addresses holds the servers at each address that have neither left nor been displaced, and contested
	// the addresses with several of them.
	addresses map[identifier.Address][]identifier.ServerID
	contested map[identifier.Address]bool
	revision  ServerListRevision
	// whole and recent hold what wholeList and changesSince last returned.
	whole, recent serverChanges
	pollers       map[identifier.HostID]*poller
	// notifiedAt is when the subscribers were last notified of changes; notificationDue is set while a
	// notification is scheduled.
	notifiedAt      identifier.Instant
	notificationDue bool
	// peerSubscribers are the subscribers of the other control hosts.
	peerSubscribers map[identifier.HostID][]router.Host
	entryHosts      entryHostIndex
	// sentSubscribers is the list of subscribers last sent to the other control hosts, and
	// sentSubscribersAt is when.
	sentSubscribers   []router.Host
	sentSubscribersAt identifier.Instant
	// delegates are entry hosts of remote failure domains that gather parts for this one.
	delegates []router.Host
	// processAsked holds when each delegate whose process is unknown was asked to introduce it.
	processAsked map[identifier.HostID]identifier.Instant
	// announcementAddresses holds the addresses at which the other control hosts take announcements.
	announcementAddresses map[identifier.HostID]identifier.Address

	// positions holds the revision that this host has of each control host's list.
	positions map[identifier.HostID]ServerListPosition
	// controlHosts are the known control hosts, and when each was last reported.
	controlHosts map[identifier.HostID]controlHost
	// reports holds the control hosts that each control host reported last, and reportedAt is when the last of them answered.
	reports    map[identifier.HostID][]router.Host
	reportedAt identifier.Instant
	// subscribedTo is the control host that this entry host subscribes to; empty while it
	// searches for one. lastReceived is when the last message from it arrived. searchStart is
	// when the search began.
	subscribedTo identifier.HostID
	lastReceived identifier.Instant
	searchStart  identifier.Instant
	// localReceived is when the last message from a control host in the local failure domain arrived, and
	// remoteOffered when a remote one first could be subscribed to, in this search.
	localReceived, remoteOffered identifier.Instant
	// listRequested holds when this entry host last requested the whole list of a control host, until
	// that arrives; remoteListRequested is the latest such request to a remote failure domain.
	listRequested       map[identifier.HostID]identifier.Instant
	remoteListRequested identifier.Instant
	// hostCounts holds the highest counts of entry hosts received recently, since a control host
	// that has restarted knows few of them at first.
	hostCounts HostCounts
	// place is the position of this host among the entry hosts.
	place HostPosition
	// latestHostCounts are the last counts received, at countedAt.
	countedAt        identifier.Instant
	latestHostCounts HostCounts
	// evacuations are those in force on this host.
	evacuations Evacuations
	// topologies holds the digest of the topology that each control host last sent.
	topologies map[identifier.HostID]TopologyDigest
	// storedRevision, storedVersion, storedEntryHosts, storedCrashes and storedEvacuations describe the
	// snapshot on disk, which was written at storedAt.
	storedRevision    ServerListRevision
	storedVersion     identifier.Version
	storedEntryHosts  int
	storedCrashes     int
	storedEvacuations EvacuationRevision
	// restoredEntryHosts are the entry hosts in the snapshot from before this host started; they
	// count until it is synchronized.
	restoredEntryHosts []router.Host
	// restoredServers are the servers known only from that snapshot: they have not announced themselves since.
	restoredServers map[identifier.ServerID]bool
	storedAt        identifier.Instant
	declaration     *declarer.Declaration
	routes          *matcher.Matcher
	customers       *authenticator.Authenticator
	// assessor detects degraded servers from the measurements of this control host's subscribers,
	// and lender counts the extra attempts that they have borrowed.
	assessor *assessor.Assessor
	lender   *lender.Lender
	// rejections estimates the ratios of attempts that servers reject from the measurements of all entry
	// hosts; unrelayed are those not yet relayed to the other control hosts.
	rejections *assessor.Rejections
	unrelayed  map[identifier.ServerID]assessor.Tally
}

type controlHost struct {
	host     router.Host
	lastSeen identifier.Instant
}

func newServerList(window identifier.Micros) serverList {
	return serverList{
		servers:               map[identifier.ServerID]*ListedServer{},
		addresses:             map[identifier.Address][]identifier.ServerID{},
		contested:             map[identifier.Address]bool{},
		pollers:               map[identifier.HostID]*poller{},
		topologies:            map[identifier.HostID]TopologyDigest{},
		peerSubscribers:       map[identifier.HostID][]router.Host{},
		restoredServers:       map[identifier.ServerID]bool{},
		announcementAddresses: map[identifier.HostID]identifier.Address{},
		positions:             map[identifier.HostID]ServerListPosition{},
		listRequested:         map[identifier.HostID]identifier.Instant{},
		controlHosts:          map[identifier.HostID]controlHost{},
		reports:               map[identifier.HostID][]router.Host{},
		processAsked:          map[identifier.HostID]identifier.Instant{},
		hostCounts:            defaultHostCounts,
		assessor:              assessor.New(),
		rejections:            assessor.NewRejections(),
		unrelayed:             map[identifier.ServerID]assessor.Tally{},
		lender:                lender.New(window),
	}
}

// update records a server's announcement and status in the list. It reports whether the status or
// what routing depends on has changed, so that subscribers must be notified.
func (sl *serverList) update(now identifier.Instant, a leaser.Announcement, status ServerStatus) bool {
	previous, ok := sl.servers[a.Server]
	if ok && previous.Standing == status && previous.Announcement.SameForRouting(a) {
		previous.Announcement = a
		return false
	}
	if ok {
		sl.vacate(previous.Announcement.Address, a.Server)
	}
	sl.revision++
	listed := &ListedServer{Announcement: a, Standing: status, Revision: sl.revision, changed: now}
	if ok && previous.Announcement.Incarnation == a.Incarnation {
		listed.Degraded, listed.Stated, listed.Rejection = previous.Degraded, previous.Stated, previous.Rejection
		listed.Share, listed.ramp = previous.Share, previous.ramp
		if a.State == leaser.Starting && previous.Announcement.State != leaser.Starting {
			sl.startRamp(listed, previous)
		}
	} else {
		sl.assessor.Remove(a.Server)
		sl.rejections.Remove(a.Server)
		sl.startRamp(listed, previous)
	}
	sl.servers[a.Server] = listed
	if status != Left && status != Displaced {
		sl.occupy(a.Address, a.Server)
	}
	return true
}

// serverChanges are the servers that have changed after one revision, up to another.
type serverChanges struct {
	after, until ServerListRevision
	servers      []ListedServer
	// at is when they were collected.
	at identifier.Instant
}

// wholeList returns the whole list, which may be as old as NotificationInterval. The result is shared by the hosts that
// ask for it, and must not be changed: hundreds may ask at once, while the list changes with each announcement.
func (sl *serverList) wholeList(now identifier.Instant) serverChanges {
	if sl.whole.servers == nil || now.Since(sl.whole.at) >= NotificationInterval {
		sl.whole = serverChanges{until: sl.revision, at: now, servers: sl.collectChanges(0)}
	}
	return sl.whole
}

// changesSince returns the servers that have changed after the revision, in order of revision. The result is shared by
// the hosts that hold the same revision, and must not be changed.
func (sl *serverList) changesSince(revision ServerListRevision) serverChanges {
	if revision >= sl.revision {
		return serverChanges{after: revision, until: sl.revision}
	}
	if sl.recent.servers == nil || sl.recent.after != revision || sl.recent.until != sl.revision {
		sl.recent = serverChanges{after: revision, until: sl.revision, servers: sl.collectChanges(revision)}
	}
	return sl.recent
}

func (sl *serverList) collectChanges(revision ServerListRevision) []ListedServer {
	var changed []ListedServer
	for _, l := range sl.servers {
		if l.Revision > revision {
			changed = append(changed, *l)
		}
	}
	slices.SortFunc(changed, func(a, b ListedServer) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

// removeExpired removes the servers that have left or been silent for GoneServerRetention.
func (sl *serverList) removeExpired(now identifier.Instant) {
	for id, l := range sl.servers {
		if l.Standing != Present && now.Since(l.changed) > GoneServerRetention {
			delete(sl.servers, id)
			delete(sl.restoredServers, id)
			sl.whole = serverChanges{}
			sl.assessor.Remove(id)
			sl.vacate(l.Announcement.Address, id)
		}
	}
}

// addControlHost records that a control host was reported just now.
func (sl *serverList) addControlHost(now identifier.Instant, h router.Host) {
	if h.Domain == "" {
		h.Domain = sl.controlHosts[h.ID].host.Domain
	}
	sl.controlHosts[h.ID] = controlHost{host: h, lastSeen: now}
}

// peers returns the other hosts that this host exchanges heartbeats with.
func (s *State) peers() []router.Host {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		return s.parameters.Peers
	}
	return s.otherControlHosts()
}

// otherControlHosts returns the known control hosts except this one, in order of ID.
func (s *State) otherControlHosts() []router.Host {
	var hosts []router.Host
	for _, id := range sortedKeys(s.control.serverList.controlHosts) {
		if id != s.parameters.Host {
			hosts = append(hosts, s.control.serverList.controlHosts[id].host)
		}
	}
	return hosts
}

// ServerListSnapshot is what a control host that restarts can send to its subscribers at once,
// before a leader is elected and the servers have announced themselves.
type ServerListSnapshot struct {
	Servers []ListedServer `msgpack:"s"`
	// Source is a declaration that was committed; its version is 0 when there is none.
	Source declarer.Source `msgpack:"d"`
	// Readers are the entry hosts of the deployment. Hosts that start together with this one must
	// know how many share the servers before all of them have subscribed.
	Readers []router.Host `msgpack:"r"`
	// Crashes are the crashes of servers that ran suspect requests, with their age when the snapshot
	// was made.
	Crashes []FingerprintCrashed `msgpack:"q"`
	// Evacuations are the evacuations in force, of committed orders.
	Evacuations Evacuations `msgpack:"e"`
}

// StoreServerList stores a snapshot in place of the previous one. The snapshot may be lost: without
// it the host has to wait for a leader and for the servers.
type StoreServerList struct {
	effect
	Snapshot ServerListSnapshot
}

// storeServerList stores the list, the declaration and the evacuations if they have changed. The latter two are
// stored at once, since otherwise older ones would route requests after a restart.
func (s *State) storeServerList() {
	sl := &s.control.serverList
	source := s.control.replicated.source.Source
	hosts := s.allEntryHosts()
	crashes := s.listCrashes()
	changed := sl.revision != sl.storedRevision || len(hosts) != sl.storedEntryHosts || len(crashes) != sl.storedCrashes
	due := changed && s.control.synchronized && s.now.Since(sl.storedAt) >= ServerListStoreInterval
	ordered := source.Version != sl.storedVersion || sl.evacuations.Revision != sl.storedEvacuations
	if (!due && !ordered) || s.control.replication.log == nil {
		return
	}
	sl.storedRevision, sl.storedVersion, sl.storedEntryHosts, sl.storedAt = sl.revision, source.Version, len(hosts), s.now
	sl.storedCrashes, sl.storedEvacuations = len(crashes), sl.evacuations.Revision
	s.emit(StoreServerList{Snapshot: ServerListSnapshot{
		Servers: sl.collectChanges(0), Source: source, Readers: hosts, Crashes: crashes, Evacuations: sl.evacuations,
	}})
}

// restoreServerList loads the snapshot that was stored before this host started. Servers that are
// gone by now become silent when their lease lapses. The declaration was committed, so the log
// contains it or a newer one.
func (s *State) restoreServerList(stored ServerListSnapshot) {
	if stored.Source.Version > s.control.replicated.source.Version {
		s.control.replicated.source = committedDeclaration{stored.Source}
		s.activateDeclaration()
	}
	s.adoptEvacuations(stored.Evacuations)
	s.control.serverList.restoredEntryHosts = stored.Readers
	for _, c := range stored.Crashes {
		s.receiveCrash(c)
	}
	for _, l := range stored.Servers {
		if l.Standing == Present {
			s.recordAnnouncement(s.now, l.Announcement)
			s.restoreStatement(l)
			s.control.serverList.restoredServers[l.Announcement.Server] = true
			continue
		}
		s.control.serverList.update(s.now, l.Announcement, l.Standing)
	}
}

// isPresent reports whether a server is listed as present.
func (s *State) isPresent(id identifier.ServerID) bool {
	known, ok := s.control.serverList.servers[id]
	return ok && known.Standing == Present
}

// restoreStatement copies what a server says of itself from another list.
func (s *State) restoreStatement(l ListedServer) {
	known, ok := s.control.serverList.servers[l.Announcement.Server]
	if ok && known.Announcement.Incarnation == l.Announcement.Incarnation {
		known.Stated = l.Stated
	}
}

// handleServerListRequest answers a host that asks for the server list.
func (s *State) handleServerListRequest(e ServerListRequested) {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		return
	}
	p, ok := s.control.serverList.pollers[e.Host]
	if !ok {
		p = &poller{domain: e.Domain}
		s.control.serverList.pollers[e.Host] = p
		s.log(MembershipSubsystem, Info, "host polls the server list", Field{"host", string(e.Host)})
	}
	if !ok || (e.Subscribes && !p.subscribed) {
		s.sendCrashes(e.Host)
	}
	if e.Subscribes != p.subscribed || s.now.Since(p.lastSeen) >= PollTimeout {
		s.control.serverList.entryHosts.outdated = true
	}
	p.lastSeen = s.now
	p.subscribed = e.Subscribes
	p.position = e.Held
	p.version = e.Version
	p.topology = e.Topology
	s.askForProof(e.Host, e.Asked)
	p.evacuations = e.Evacuations
	if e.Brief || s.awaitsWhole(p) {
		s.sendBrief(e.Host, p)
		return
	}
	s.sendServerList(e.Host, p)
}

// awaitsWhole reports whether a poller that asks for the whole list will get one that was sent recently. Hosts ask
// again while this host is slow to answer, for instance since it has just started; to send each of them several lists
// would keep it slow.
func (s *State) awaitsWhole(p *poller) bool {
	return p.position.Started != s.control.started && p.wholeSent > 0 && s.now.Since(p.wholeSent) < PollTimeout
}

// forgetSentList notes that a list which was sent to a host may have been lost.
func (sl *serverList) forgetSentList(id identifier.HostID) {
	if p, ok := sl.pollers[id]; ok {
		p.wholeSent = 0
	}
}

// sendBrief tells a host that looks for a control host whether this one may be subscribed to.
func (s *State) sendBrief(id identifier.HostID, to *poller) {
	s.emit(Send{To: id, Event: ServerListSent{
		From: s.parameters.Host, Topology: s.topologyFor(id, to),
		InTouch: s.inTouch(), Synchronized: s.control.synchronized, Brief: true,
	}})
}

// topologyFor returns the topology for a poller, or nil if the poller knows it.
func (s *State) topologyFor(id identifier.HostID, to *poller) *Topology {
	entryHosts := s.entryHosts()
	topology := Topology{
		ControlHosts: append(s.otherControlHosts(), s.control.self),
		HostCounts:   entryHosts.counts(to.domain),
		Delegates:    entryHosts.delegates(id, to),
	}
	digest := topology.digest()
	if digest == to.topology {
		return nil
	}
	to.topology = digest
	return &topology
}

// sendServerList sends a poller the changes that it does not hold yet.
func (s *State) sendServerList(id identifier.HostID, to *poller) {
	entryHosts := s.entryHosts()
	sl := &s.control.serverList
	message := ServerListSent{
		From:         s.parameters.Host,
		InTouch:      s.inTouch(),
		Synchronized: s.control.synchronized,
		Source:       s.control.replicated.source.sourceAfter(to.version),
		Lending:      s.lending(len(entryHosts.hosts)),
		Proof:        s.proofFor(id),
		Place:        entryHosts.position(id, to.domain),
		Evacuations:  sl.evacuations.after(to.evacuations),
	}
	var changes serverChanges
	if message.Complete = to.position.Started != s.control.started; message.Complete {
		changes = sl.wholeList(s.now)
		to.wholeSent = s.now
	} else {
		changes = sl.changesSince(to.position.Revision)
	}
	message.Topology = s.topologyFor(id, to)
	message.Servers = changes.servers
	message.Position = ServerListPosition{Started: s.control.started, Revision: changes.until}
	to.position = message.Position
	if message.Source != nil {
		to.version = message.Source.Version
	}
	to.evacuations = max(to.evacuations, sl.evacuations.Revision)
	s.emit(Send{To: id, Event: message})
}

// notifySubscribers sends changes to the entry hosts that subscribe to this host, at once or, within
// NotificationInterval of the last ones, together with those that follow.
func (s *State) notifySubscribers() {
	sl := &s.control.serverList
	if sl.notificationDue {
		return
	}
	if due := sl.notifiedAt.Add(NotificationInterval); s.now < due {
		sl.notificationDue = true
		s.schedule(due, notificationDue{})
		return
	}
	s.sendChanges()
}

// sendChanges sends the changes to the subscribers, and removes hosts that have not polled for
// PollerRetention. Hosts that don't subscribe only get changes when they poll.
func (s *State) sendChanges() {
	s.control.serverList.notificationDue = false
	s.control.serverList.notifiedAt = s.now
	for _, id := range sortedKeys(s.control.serverList.pollers) {
		p := s.control.serverList.pollers[id]
		if s.now.Since(p.lastSeen) < PollerRetention {
			if p.subscribed && !s.awaitsWhole(p) {
				s.sendServerList(id, p)
			}
			continue
		}
		delete(s.control.serverList.pollers, id)
		s.control.prover.Forget(id)
		s.log(MembershipSubsystem, Info, "host has stopped polling the server list", Field{"host", string(id)})
	}
}

// HostCounts counts the entry hosts that share the backend servers: those in the local failure
// domain, including this one, and those in remote ones.
type HostCounts struct {
	Local  int `msgpack:"n"`
	Remote int `msgpack:"f"`
}

// HostPosition is the position of an entry host among those in its failure domain, by ID, and among
// all.
type HostPosition struct {
	Local int `msgpack:"n"`
	All   int `msgpack:"a"`
}

// updateListedServer records a server's latest announcement in the list and notifies subscribers
// of a change.
func (s *State) updateListedServer(a leaser.Announcement, status ServerStatus) {
	if s.control.serverList.update(s.now, a, status) {
		s.notifySubscribers()
	}
}

// listAnnounced lists a server that has announced itself, and returns the servers that it displaces.
func (s *State) listAnnounced(a leaser.Announcement) []identifier.ServerID {
	changed := s.control.serverList.update(s.now, a, Present)
	displaced := s.settleAddress(a.Address)
	if changed || len(displaced) > 0 {
		s.notifySubscribers()
	}
	return displaced
}

// withdrawalOrder is the withdrawal of a server, with the incarnation that was known when it was received.
type withdrawalOrder struct {
	ticket    Ticket
	server    identifier.ServerID
	sentFrom  identifier.Instant
	departure Departure
	// known is set if the host knew the server.
	known bool
}

func (withdrawalOrder) isOrder() {}

// withdraw handles the shutdown of a server. A withdrawal names no incarnation: the one that is known now counts if the
// sender still waits afterwards. A control host that doesn't know the server declines, since another one may know it, unless
// it has just started and may know it soon.
func (s *State) withdraw(e ServerWithdrawn) {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		s.emit(GrantLease{Ticket: e.Ticket})
		return
	}
	o := withdrawalOrder{ticket: e.Ticket, server: e.Server, sentFrom: s.sentFrom(e.Age)}
	o.departure, o.known = s.withdrawalOf(e.Server)
	switch {
	case !s.isProven(o.sentFrom), !o.known && s.control.synchronized:
		s.declineWithdrawal(o)
	case o.known:
		s.confirmCaller(e.Ticket, o)
	default:
		s.control.orders[e.Ticket] = o
		s.schedule(s.now.Add(UnknownServerDelay), unknownServerDue{e.Ticket})
	}
}

// retryWithdrawal looks again for the server of a withdrawal, which this host didn't know since it had just started.
func (s *State) retryWithdrawal(t Ticket) {
	o, ok := s.control.orders[t].(withdrawalOrder)
	if !ok {
		return
	}
	if o.departure, o.known = s.withdrawalOf(o.server); !s.isProven(o.sentFrom) {
		delete(s.control.orders, t)
		s.declineWithdrawal(o)
		return
	}
	s.confirmCaller(t, o)
}

// declineWithdrawal leaves it to the sender to withdraw at another control host.
func (s *State) declineWithdrawal(o withdrawalOrder) {
	if !s.isProven(o.sentFrom) {
		s.countUnproven("withdrawal of a backend server", o.sentFrom)
	}
	s.log(MembershipSubsystem, Info, "withdrawal of a backend server declined", Field{"server", string(o.server)},
		Field{"known", strconv.FormatBool(o.known)}, incarnationField(o.departure.Incarnation))
	s.emit(GrantLease{Ticket: o.ticket, Declined: true})
}

// executeWithdrawal lists the incarnation of a withdrawal as left, notifies the other control hosts and answers the
// server once that is committed. It declines if the sender has gone, or the server turns out to have started again.
func (s *State) executeWithdrawal(o withdrawalOrder, waiting bool) {
	if !waiting || !o.known || s.startedAgain(o.departure) {
		s.declineWithdrawal(o)
		return
	}
	s.listDeparture(o.departure)
	s.sendToPeers(WithdrawalRelayed{
		Server: o.server, Service: o.departure.Service, Incarnation: o.departure.Incarnation, From: s.parameters.Host,
	})
	s.acknowledgeDeparture(o.departure, GrantLease{Ticket: o.ticket, Declined: !s.mayAcknowledge()})
}

// startedAgain reports whether a later incarnation of the departed server is listed.
func (s *State) startedAgain(d Departure) bool {
	server, ok := s.control.serverList.servers[d.Server]
	return ok && server.Announcement.Service == d.Service && server.Announcement.Incarnation > d.Incarnation
}

// receiveWithdrawal lists a server as left that withdrew at another control host. Hosts of earlier versions name no
// incarnation: their withdrawals are listed once they are committed. A host that doesn't know the latest incarnation is sent
// its announcement, which reaches it before this host's answer to the command that records the withdrawal.
func (s *State) receiveWithdrawal(e WithdrawalRelayed) {
	if e.Service == "" {
		return
	}
	d := Departure{Server: e.Server, Service: e.Service, Incarnation: e.Incarnation, Stage: Departed}
	if s.startedAgain(d) {
		s.sendAnnouncements(AnnouncementsWanted{Host: e.From, Servers: []identifier.ServerID{e.Server}})
		return
	}
	s.listDeparture(d)
}

// recordWithdrawal removes the lease of a listed server that shuts down and lists it as left.
func (s *State) recordWithdrawal(server *ListedServer) {
	id := server.Announcement.Server
	if server.Standing != Left {
		s.log(MembershipSubsystem, Info, "backend server leaves", Field{"server", string(id)},
			incarnationField(server.Announcement.Incarnation))
	}
	s.control.leases.Remove(id)
	s.publish(id)
	s.updateListedServer(server.Announcement, Left)
}

func incarnationField(i identifier.Incarnation) Field {
	return Field{"incarnation", strconv.FormatUint(uint64(i), 10)}
}

// mayAcknowledge reports whether this host may acknowledge messages from backend servers: they
// reach the entry hosts only while this host is connected to the other control hosts.
func (s *State) mayAcknowledge() bool {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		return true
	}
	return s.inTouch()
}

// announcementAddress returns the address at which a server is to announce itself next: that of a
// control host in the server's own failure domain, so that announcements don't cross domains.
func (s *State) announcementAddress(domain identifier.DomainID) identifier.Address {
	d, ok := s.parameters.Duty.(ControlDuty)
	if !ok || s.parameters.Domain == domain {
		return d.Announcements
	}
	for _, id := range sortedKeys(s.control.hostLeases) {
		if s.control.hostLeases[id].host.Domain == domain && !s.control.hostLeases[id].leaving {
			return s.control.serverList.announcementAddresses[id]
		}
	}
	return d.Announcements
}

// synchronizeServerList merges another control host's list into that of this control host until
// this host is synchronized.
func (s *State) synchronizeServerList(e ServerListSent) {
	if s.control.synchronized {
		return
	}
	for _, l := range e.Servers {
		switch {
		case s.holdsNewer(l):
		case l.Standing == Present:
			s.recordAnnouncement(s.now, l.Announcement)
			s.restoreStatement(l)
			if l.shutdownStage() == Finishing {
				// Its sequence may be older than that of the announcement held.
				s.listDeparture(departureOf(l.Announcement, Finishing))
			}
		case l.Standing == Left || !s.isPresent(l.Announcement.Server):
			s.control.serverList.update(s.now, l.Announcement, l.Standing)
		case l.Standing == Silent && e.Synchronized && s.control.serverList.restoredServers[l.Announcement.Server]:
			// Otherwise the hosts of a failure domain that returns would send work to its former servers until their
			// leases lapse.
			s.control.leases.Remove(l.Announcement.Server)
			s.publish(l.Announcement.Server)
			s.updateListedServer(s.control.serverList.servers[l.Announcement.Server].Announcement, Silent)
		}
	}
	s.control.synchronized = e.Synchronized
}
