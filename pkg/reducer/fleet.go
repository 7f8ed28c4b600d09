package reducer

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/lender"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

const (
	// announcementsPerLease is how many announcements a backend server may miss, and one more,
	// before it counts as silent: late and lost ones come in pairs when a host restarts.
	announcementsPerLease = 4
	// RosterInterval separates the questions of an entry host to its control host. Two lost
	// ones still leave time to turn elsewhere within a bound of 3 s on stale routing.
	RosterInterval = 400 * identifier.Millisecond
	// RosterSilence is the silence after which an entry host turns to another control
	// host: two intervals and the time of a slow answer.
	RosterSilence = 1000 * identifier.Millisecond
	// ReaderSilence is the silence after which an entry host is no longer told of changes.
	ReaderSilence = 3 * identifier.Second
	// RosterLearningSpan is how long a control host that has started hears of backend
	// servers before it may say that one is gone.
	RosterLearningSpan = 3 * identifier.Second
	// NearPatience is how long an entry host without a control host to follow asks only those of its
	// own failure domain, if it knows any: they answer within a millisecond when they run, and
	// lists from other domains cost bytes there. With RosterSilence it stays within 1.5 s.
	NearPatience = 300 * identifier.Millisecond
	// UnfollowedInterval separates the questions of an entry host that follows no control
	// host: it serves nobody, or by an old list.
	UnfollowedInterval = 100 * identifier.Millisecond
	// RosterStoreInterval separates the writes of the list to the disk. What is younger is lost
	// with a restart of all control hosts, until the servers announce themselves again.
	RosterStoreInterval = 2 * identifier.Second
	// RosterMemory is how long a backend server that has left or fallen silent is
	// remembered, so that late news of it is recognised.
	RosterMemory = 60 * identifier.Second
	// SharerMemory is how long the highest count of entry hosts is kept: a restart of a
	// control host and of some entry hosts lies within it.
	SharerMemory = 3 * identifier.Second
	// ControlMemory is how long a control host that was heard of is still sent to.
	ControlMemory = 60 * identifier.Second
)

// unknownSharers is assumed until a control host has counted the entry hosts: a host
// that starts among many must not open the connections of all.
var unknownSharers = Sharers{Near: 4, Far: 8}

// Standing is what a control host knows about a backend server.
type Standing uint8

// The standings of a backend server.
const (
	// Present servers announce themselves.
	Present Standing = iota
	// Silent servers have not announced themselves of late; they may still run.
	Silent
	// Left servers have said that they leave, or their address has another server.
	Left
)

// RosterRevision counts the changes of one control host's list of backend servers.
type RosterRevision uint64

// Listed is a backend server in a control host's list.
type Listed struct {
	Announcement leaser.Announcement `msgpack:"a"`
	Standing     Standing            `msgpack:"s"`
	Revision     RosterRevision      `msgpack:"r"`
	// Degraded is set while the entry hosts of its failure domain together get poor answers from it.
	Degraded bool `msgpack:"d"`
	// changed is when the standing changed last, by the clock of the host that keeps the list.
	changed identifier.Instant
}

// RosterPosition is how much of a control host's list another host holds. Started
// tells the processes of the control host apart.
type RosterPosition struct {
	Started  identifier.Instant `msgpack:"p"`
	Revision RosterRevision     `msgpack:"r"`
}

// Events about the list of backend servers and who reads it.
type (
	// RosterWanted asks a control host for what has changed in its list.
	RosterWanted struct {
		membershipEvent
		Host    identifier.HostID   `msgpack:"h"`
		Domain  identifier.DomainID `msgpack:"d"`
		Held    RosterPosition      `msgpack:"p"`
		Version identifier.Version  `msgpack:"v"`
		// Company is the digest of the company that the reader knows.
		Company CompanyDigest `msgpack:"c"`
		// Serves is set by an entry host that follows the control host, and so is counted there
		// among those that share servers.
		Serves bool `msgpack:"s"`
	}
	// RosterSent carries the changes of a control host's list.
	RosterSent struct {
		membershipEvent
		From     identifier.HostID `msgpack:"f"`
		Position RosterPosition    `msgpack:"p"`
		// Whole is set when the list is complete and replaces what was held.
		Whole   bool     `msgpack:"w"`
		Servers []Listed `msgpack:"s"`
		// Company is set when it differs from what the reader knows.
		Company *Company `msgpack:"c"`
		// InTouch is set while the sender is in touch with a quorum of the replicated log.
		InTouch bool `msgpack:"i"`
		// Learnt is set once the sender has had the time to hear of all servers.
		Learnt bool `msgpack:"l"`
		// Source is the declaration in force, if it is newer than the reader's.
		Source *declarer.Source `msgpack:"d"`
		// Lending is what the sender lends of the extra attempts to those that follow it.
		Lending Lending `msgpack:"e"`
	}
	// ServerWithdrawn reports that a backend server has said that it leaves.
	ServerWithdrawn struct {
		membershipEvent
		Ticket Ticket
		Server identifier.ServerID
	}
	// ReadersTold tells the other control hosts which entry hosts follow the sender.
	ReadersTold struct {
		membershipEvent
		From    identifier.HostID `msgpack:"f"`
		Readers []router.Host     `msgpack:"r"`
	}
	// WithdrawalRelayed tells the other control hosts of a ServerWithdrawn.
	WithdrawalRelayed struct {
		membershipEvent
		Server identifier.ServerID `msgpack:"s"`
	}
	// SeedsChanged replaces the control hosts that the settings name.
	SeedsChanged struct {
		membershipEvent
		Seeds []identifier.HostID
	}
)

// CompanyDigest is a 64-bit hash of a Company.
type CompanyDigest uint64

// Company is who else is in the deployment, as far as it concerns one reader.
type Company struct {
	// Controls are the control hosts.
	Controls []router.Host `msgpack:"c"`
	// Sharers counts the entry hosts.
	Sharers Sharers `msgpack:"n"`
	// Delegates are entry hosts of other failure domains that gather parts for the reader.
	Delegates []router.Host `msgpack:"g"`
}

// digest hashes the company.
func (c *Company) digest() CompanyDigest {
	hash := xxhash.New()
	for _, list := range [][]router.Host{c.Controls, c.Delegates} {
		for _, h := range list {
			// A digest never fails.
			_, _ = hash.WriteString(string(h.ID) + "\x00" + string(h.Domain) + "\x01")
		}
	}
	_, _ = hash.WriteString(strconv.Itoa(c.Sharers.Near) + "/" + strconv.Itoa(c.Sharers.Far))
	return CompanyDigest(hash.Sum64())
}

// reader is an entry host that a control host tells of changes.
type reader struct {
	heard   identifier.Instant
	held    RosterPosition
	version identifier.Version
	company CompanyDigest
	domain  identifier.DomainID
	serves  bool
}

// roster is the part of control that keeps or reads the list of backend servers.
type roster struct {
	servers   map[identifier.ServerID]*Listed
	addresses map[identifier.Address]identifier.ServerID
	revision  RosterRevision
	readers   map[identifier.HostID]*reader
	// followers are the readers of the other control hosts.
	followers map[identifier.HostID][]router.Host
	// told is what the other control hosts were told of this one's readers, and when.
	told   []router.Host
	toldAt identifier.Instant
	// delegates are entry hosts of other failure domains that gather parts for this one.
	delegates []router.Host
	// announcements is where the other control hosts take announcements.
	announcements map[identifier.HostID]identifier.Address

	// positions is how much of each control host's list this host holds.
	positions map[identifier.HostID]RosterPosition
	// controls are the control hosts known, and when each was heard of last.
	controls map[identifier.HostID]knownControl
	// source is the control host that this entry host follows; empty while it looks for one, which
	// it has done since the instant sought.
	source identifier.HostID
	heard  identifier.Instant
	sought identifier.Instant
	// sharers counts the entry hosts by failure domain: the most that was heard of late,
	// since a control host that has restarted hears of few at first.
	sharers Sharers
	// counted is when a count was heard last, which was heardSharers.
	counted      identifier.Instant
	heardSharers Sharers
	// companies are the digests of what each control host told of the others.
	companies map[identifier.HostID]CompanyDigest
	// stored and storedVersion are what the snapshot on the disk holds, written at storedAt.
	stored        RosterRevision
	storedVersion identifier.Version
	storedReaders int
	// remembered are the entry hosts known before this host started; they count until it has learnt.
	remembered []router.Host
	storedAt   identifier.Instant
	held       *declarer.Declaration
	routes     *matcher.Matcher
	// assessor judges the servers by what the readers of this control host have measured, and
	// lender counts the extra attempts that they have borrowed.
	assessor *assessor.Assessor
	lender   *lender.Lender
}

type knownControl struct {
	host  router.Host
	heard identifier.Instant
}

func newRoster(window identifier.Micros) roster {
	return roster{
		servers:       map[identifier.ServerID]*Listed{},
		addresses:     map[identifier.Address]identifier.ServerID{},
		readers:       map[identifier.HostID]*reader{},
		companies:     map[identifier.HostID]CompanyDigest{},
		followers:     map[identifier.HostID][]router.Host{},
		announcements: map[identifier.HostID]identifier.Address{},
		positions:     map[identifier.HostID]RosterPosition{},
		controls:      map[identifier.HostID]knownControl{},
		sharers:       unknownSharers,
		assessor:      assessor.New(),
		lender:        lender.New(window),
	}
}

// note takes a server's announcement and standing into the list. It reports
// whether anything has changed that readers are told of.
func (r *roster) note(now identifier.Instant, a leaser.Announcement, standing Standing) bool {
	known, ok := r.servers[a.Server]
	if ok && known.Standing == standing && known.Announcement.SameForRouting(a) {
		known.Announcement = a
		return false
	}
	if ok && known.Announcement.Address != a.Address && r.addresses[known.Announcement.Address] == a.Server {
		delete(r.addresses, known.Announcement.Address)
	}
	r.revision++
	listed := &Listed{Announcement: a, Standing: standing, Revision: r.revision, changed: now}
	if ok && known.Announcement.Incarnation == a.Incarnation {
		listed.Degraded = known.Degraded
	} else {
		r.assessor.Forget(a.Server)
	}
	r.servers[a.Server] = listed
	if standing != Left {
		r.addresses[a.Address] = a.Server
	}
	return true
}

// superseded reports whether an announcement is older than what is known: of a
// server that has left, or of one whose address has a server that started later.
func (r *roster) superseded(a leaser.Announcement) bool {
	if known, ok := r.servers[a.Server]; ok && known.Standing == Left && a.Incarnation <= known.Announcement.Incarnation {
		return true
	}
	holder, ok := r.servers[r.addresses[a.Address]]
	return ok && holder.Announcement.Server != a.Server && holder.Standing != Left &&
		holder.Announcement.Incarnation > a.Incarnation
}

// evict lists the server that had the announcement's address before as gone.
func (r *roster) evict(now identifier.Instant, a leaser.Announcement) {
	holder, ok := r.servers[r.addresses[a.Address]]
	if ok && holder.Announcement.Server != a.Server && holder.Standing != Left {
		r.note(now, holder.Announcement, Left)
	}
}

// since returns the servers that have changed after the revision, in order of revision.
func (r *roster) since(revision RosterRevision) []Listed {
	var changed []Listed
	for _, l := range r.servers {
		if l.Revision > revision {
			changed = append(changed, *l)
		}
	}
	slices.SortFunc(changed, func(a, b Listed) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

// forget drops the servers that have been gone for long.
func (r *roster) forget(now identifier.Instant) {
	for id, l := range r.servers {
		if l.Standing != Present && now.Since(l.changed) > RosterMemory {
			delete(r.servers, id)
			r.assessor.Forget(id)
			if r.addresses[l.Announcement.Address] == id {
				delete(r.addresses, l.Announcement.Address)
			}
		}
	}
}

// knowControl notes that a control host was heard of.
func (r *roster) knowControl(now identifier.Instant, h router.Host) {
	if h.Domain == "" {
		h.Domain = r.controls[h.ID].host.Domain
	}
	r.controls[h.ID] = knownControl{host: h, heard: now}
}

// peers returns the other hosts that this host exchanges heartbeats with.
func (s *State) peers() []router.Host {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		return s.parameters.Peers
	}
	return s.otherControls()
}

// otherControls returns the control hosts known but this one, in order of id.
func (s *State) otherControls() []router.Host {
	var hosts []router.Host
	for _, id := range sortedKeys(s.control.roster.controls) {
		if id != s.parameters.Host {
			hosts = append(hosts, s.control.roster.controls[id].host)
		}
	}
	return hosts
}

// RosterSnapshot is what a control host that restarts can tell its readers at once, before
// a leader is elected and the servers have announced themselves.
type RosterSnapshot struct {
	Servers []Listed `msgpack:"s"`
	// Source is a declaration that was committed; its version is 0 when there is none.
	Source declarer.Source `msgpack:"d"`
	// Readers are the entry hosts of the deployment. Those that start with this host must know
	// how many share the servers before all of them have been heard.
	Readers []router.Host `msgpack:"r"`
}

// StoreRoster asks for a snapshot to be stored in place of the one before. It need not
// survive: without it the host has to wait for a leader and for the servers.
type StoreRoster struct {
	effect
	Snapshot RosterSnapshot
}

// storeRoster stores the list and the declaration if they have changed: a new declaration at
// once, since requests would be routed by an older one after a restart.
func (s *State) storeRoster() {
	r := &s.control.roster
	source := s.control.replicated.source.Source
	readers := s.allReaders()
	changed := r.revision != r.stored || len(readers) != r.storedReaders
	due := changed && s.control.learnt && s.now.Since(r.storedAt) >= RosterStoreInterval
	if (!due && source.Version == r.storedVersion) || s.control.replication.log == nil {
		return
	}
	r.stored, r.storedVersion, r.storedReaders, r.storedAt = r.revision, source.Version, len(readers), s.now
	s.emit(StoreRoster{Snapshot: RosterSnapshot{Servers: r.since(0), Source: source, Readers: readers}})
}

// restoreRoster takes in what was stored before this host started. Servers that are gone
// by now fall silent after a lease. The declaration was committed, so that the log leads to it
// or to a newer one.
func (s *State) restoreRoster(stored RosterSnapshot) {
	if stored.Source.Version > s.control.replicated.source.Version {
		s.control.replicated.source = declared{stored.Source}
		s.adoptDeclaration()
	}
	s.control.roster.remembered = stored.Readers
	for _, l := range stored.Servers {
		if l.Standing == Present {
			s.hearServer(s.now, l.Announcement)
			continue
		}
		s.control.roster.note(s.now, l.Announcement, l.Standing)
	}
}

// tellReader answers a host that reads the list.
func (s *State) tellReader(e RosterWanted) {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		return
	}
	known, ok := s.control.roster.readers[e.Host]
	if !ok {
		known = &reader{domain: e.Domain}
		s.control.roster.readers[e.Host] = known
		s.log(MembershipSubsystem, Info, "host reads the server list", Field{"host", string(e.Host)})
	}
	known.heard = s.now
	known.serves = e.Serves
	known.held = e.Held
	known.version = e.Version
	known.company = e.Company
	s.sendRoster(e.Host, known, s.allReaders())
}

// sendRoster sends a reader what it lacks; all are the entry hosts of the deployment.
func (s *State) sendRoster(id identifier.HostID, to *reader, all []router.Host) {
	r := &s.control.roster
	sent := RosterSent{
		From:     s.parameters.Host,
		Position: RosterPosition{Started: s.control.started, Revision: r.revision},
		InTouch:  s.inTouch(),
		Learnt:   s.control.learnt,
		Source:   s.control.replicated.source.newerThan(to.version),
		Lending:  s.lending(len(all)),
	}
	from := to.held.Revision
	if to.held.Started != s.control.started {
		sent.Whole = true
		from = 0
	}
	company := Company{
		Controls:  append(s.otherControls(), s.control.self),
		Sharers:   sharersOf(to.domain, all),
		Delegates: delegatesOf(id, to, all),
	}
	if digest := company.digest(); digest != to.company {
		sent.Company = &company
		to.company = digest
	}
	sent.Servers = r.since(from)
	to.held = sent.Position
	if sent.Source != nil {
		to.version = sent.Source.Version
	}
	s.emit(Send{To: id, Event: sent})
}

// tellReaders sends those that follow this host what has changed; others ask.
func (s *State) tellReaders() {
	all := s.allReaders()
	for _, id := range sortedKeys(s.control.roster.readers) {
		known := s.control.roster.readers[id]
		if s.now.Since(known.heard) < ReaderSilence {
			if known.serves {
				s.sendRoster(id, known, all)
			}
			continue
		}
		delete(s.control.roster.readers, id)
		s.log(MembershipSubsystem, Info, "host reads the server list no longer", Field{"host", string(id)})
	}
}

// Sharers counts the entry hosts that share the backend servers: those of the own
// failure domain, this one among them, and the others.
type Sharers struct {
	Near int `msgpack:"n"`
	Far  int `msgpack:"f"`
}

// sharersOf counts the entry hosts as a host of the domain sees them.
func sharersOf(domain identifier.DomainID, all []router.Host) Sharers {
	var n Sharers
	for _, h := range all {
		if h.Domain == domain {
			n.Near++
			continue
		}
		n.Far++
	}
	n.Near = max(1, n.Near)
	return n
}

// listServer takes a server's latest announcement into the list and tells the readers.
func (s *State) listServer(a leaser.Announcement, standing Standing) {
	r := &s.control.roster
	before := r.revision
	r.evict(s.now, a)
	r.note(s.now, a, standing)
	if r.revision != before {
		s.tellReaders()
	}
}

// withdraw handles a server that leaves, and tells the other control hosts.
func (s *State) withdraw(e ServerWithdrawn) {
	s.noteWithdrawal(e.Server)
	s.tellHosts(WithdrawalRelayed{Server: e.Server})
	s.emit(GrantLease{Ticket: e.Ticket, Term: 0, Declined: !s.acknowledges()})
}

func (s *State) noteWithdrawal(id identifier.ServerID) {
	known, ok := s.control.roster.servers[id]
	if !ok {
		s.log(MembershipSubsystem, Info, "unknown backend server leaves", Field{"server", string(id)})
		return
	}
	if known.Standing != Left {
		s.log(MembershipSubsystem, Info, "backend server leaves", Field{"server", string(id)})
	}
	s.control.leases.Drop(id)
	s.listServer(known.Announcement, Left)
}

// acknowledges reports whether this host may acknowledge what backend servers say:
// what it hears reaches the entry hosts only while it is in touch with the other control hosts.
func (s *State) acknowledges() bool {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		return true
	}
	return s.inTouch()
}

// announceTo returns where a server is to announce itself next: to a control host of
// its own failure domain, so that its announcements stay there.
func (s *State) announceTo(domain identifier.DomainID) identifier.Address {
	d, ok := s.parameters.Duty.(ControlDuty)
	if !ok || s.parameters.Domain == domain {
		return d.Announcements
	}
	for _, id := range sortedKeys(s.control.heard) {
		if s.control.heard[id].host.Domain == domain && !s.control.heard[id].leaving {
			return s.control.roster.announcements[id]
		}
	}
	return d.Announcements
}

// learnRoster lets a control host that has started take in another's list.
func (s *State) learnRoster(e RosterSent) {
	if s.control.learnt {
		return
	}
	for _, l := range e.Servers {
		if l.Standing == Present && !s.control.roster.superseded(l.Announcement) {
			s.hearServer(s.now, l.Announcement)
			continue
		}
		s.control.roster.note(s.now, l.Announcement, l.Standing)
	}
	s.control.learnt = e.Learnt
}
