package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// startRoster notes the seeds and begins to ask for lists.
func (s *State) startRoster() {
	s.control.roster.sought = s.now
	s.adoptSeeds(s.seeds())
	s.readRosters()
}

func (s *State) adoptSeeds(seeds []identifier.HostID) {
	for _, id := range seeds {
		s.control.roster.knowControl(s.now, router.Host{ID: id})
	}
}

// changeSeeds replaces the seeds after the settings have changed.
func (s *State) changeSeeds(e SeedsChanged) {
	switch d := s.parameters.Duty.(type) {
	case EntryDuty:
		d.Seeds = e.Seeds
		s.parameters.Duty = d
	case ControlDuty:
		d.Seeds = e.Seeds
		s.parameters.Duty = d
	}
	s.adoptSeeds(e.Seeds)
}

// forgetControls drops the control hosts that have not been heard of for long; seeds stay.
func (s *State) forgetControls() {
	r := &s.control.roster
	for id, known := range r.controls {
		if s.now.Since(known.heard) > ControlMemory && !slices.Contains(s.seeds(), id) {
			delete(r.controls, id)
			delete(r.followers, id)
			delete(r.announcements, id)
		}
	}
}

// readRosters asks the control host that this entry host follows for changes, or
// all that it knows while it follows none. A control host asks the others until it
// has learnt the list.
func (s *State) readRosters() {
	r := &s.control.roster
	s.forgetControls()
	interval := RosterInterval
	if _, ok := s.parameters.Duty.(EntryDuty); ok && r.source == "" {
		interval = UnfollowedInterval
	}
	s.schedule(s.now.Add(interval), rosterDue{})
	if _, ok := s.parameters.Duty.(ControlDuty); ok {
		if log := s.control.replication.log; log != nil {
			log.Contact(s.controlHosts())
		}
		if !s.control.learnt {
			s.askRosters()
		}
		s.publishControlStatus()
		s.tellFollowers()
		s.storeRoster()
		return
	}
	if r.source != "" && s.now.Since(r.heard) >= RosterSilence {
		s.log(MembershipSubsystem, Warn, "control host is silent; looking for another",
			Field{"host", string(r.source)})
		s.unfollow()
	}
	s.forgetSharers()
	if r.source != "" {
		s.askRoster(r.source)
		s.askNearer()
		return
	}
	if s.now.Since(r.sought) >= NearPatience || !s.askNear() {
		s.askRosters()
	}
	s.publishControlStatus()
}

// unfollow begins the search for another control host to follow.
func (s *State) unfollow() {
	s.control.roster.source = ""
	s.control.roster.sought = s.now
}

// askNearer asks the control hosts of the own failure domain while this host follows
// one of another domain.
func (s *State) askNearer() {
	if s.control.roster.controls[s.control.roster.source].host.Domain == s.parameters.Domain {
		return
	}
	s.askNear()
}

// askNear asks the control hosts of the own failure domain, and reports whether any is known.
func (s *State) askNear() bool {
	known := false
	for _, h := range s.otherControls() {
		if h.Domain == s.parameters.Domain {
			known = true
			s.askRoster(h.ID)
		}
	}
	return known
}

func (s *State) askRosters() {
	for _, h := range s.otherControls() {
		s.askRoster(h.ID)
	}
}

func (s *State) askRoster(id identifier.HostID) {
	s.emit(Send{To: id, Event: RosterWanted{
		Host:    s.parameters.Host,
		Domain:  s.parameters.Domain,
		Held:    s.control.roster.positions[id],
		Version: s.control.version,
		Company: s.control.roster.companies[id],
		Serves:  id == s.control.roster.source,
	}})
}

// hearRoster takes in the list of a control host.
func (s *State) hearRoster(e RosterSent) {
	r := &s.control.roster
	s.takeCompany(e)
	if _, ok := s.parameters.Duty.(ControlDuty); ok {
		s.learnRoster(e)
		return
	}
	held := r.positions[e.From]
	if !e.Whole && (held.Started != e.Position.Started || held.Revision > e.Position.Revision) {
		// The changes follow on a list that this host does not hold.
		delete(r.positions, e.From)
		return
	}
	changed := s.takeServers(e)
	r.positions[e.From] = e.Position
	if e.Source != nil {
		changed = s.enforceSource(*e.Source) || changed
	}
	changed = s.follow(e) || changed
	if r.source == e.From {
		s.emit(Send{To: s.parameters.Host, Event: LendingTold{Lending: e.Lending}})
	}
	if changed {
		s.publish()
	}
}

// follow notes the control host whose word this entry host takes: one that is in touch with
// its quorum and knows servers, of its own failure domain if there is a choice.
func (s *State) follow(e RosterSent) bool {
	r := &s.control.roster
	learnt := s.control.learnt
	if !e.InTouch || (!e.Learnt && len(r.servers) == 0) {
		if r.source == e.From {
			s.log(MembershipSubsystem, Warn, "control host is out of touch; looking for another",
				Field{"host", string(e.From)})
			s.unfollow()
		}
		return false
	}
	s.control.touched = s.now
	before := r.source
	near := r.controls[e.From].host.Domain == s.parameters.Domain
	if r.source == "" || (near && r.controls[r.source].host.Domain != s.parameters.Domain) {
		s.log(MembershipSubsystem, Info, "control host followed", Field{"host", string(e.From)})
		r.source = e.From
	}
	if r.source == e.From {
		r.heard = s.now
		s.control.learnt = s.control.learnt || e.Whole || r.positions[e.From].Revision > 0
	}
	if r.source == before {
		return s.control.learnt != learnt
	}
	// The whole list is asked for again, with this control host's verdicts on the servers.
	delete(r.positions, e.From)
	return true
}

// takeCompany takes in who else is in the deployment. A count of entry hosts that has
// fallen counts only after a while: a control host that has restarted hears of few at first.
func (s *State) takeCompany(e RosterSent) {
	r := &s.control.roster
	if e.Company == nil {
		return
	}
	r.companies[e.From] = e.Company.digest()
	for _, h := range e.Company.Controls {
		r.knowControl(s.now, h)
	}
	if _, ok := s.parameters.Duty.(EntryDuty); !ok || (r.source != "" && r.source != e.From) {
		return
	}
	r.counted, r.heardSharers = s.now, e.Company.Sharers
	r.sharers.Near = max(r.sharers.Near, r.heardSharers.Near)
	r.sharers.Far = max(r.sharers.Far, r.heardSharers.Far)
	r.delegates = e.Company.Delegates
	s.publish()
}

// forgetSharers lowers the count of entry hosts to what was heard last, after a while.
func (s *State) forgetSharers() {
	r := &s.control.roster
	if r.counted == 0 || r.sharers == r.heardSharers || s.now.Since(r.counted) < SharerMemory {
		return
	}
	r.sharers = r.heardSharers
	s.publish()
}

// takeServers merges the servers of a control host's list into this entry host's.
// Only a host that is in touch and has learnt the list may say that others are gone.
func (s *State) takeServers(e RosterSent) bool {
	r := &s.control.roster
	changed := false
	named := map[identifier.ServerID]bool{}
	for _, l := range e.Servers {
		named[l.Announcement.Server] = true
		changed = s.takeServer(l) || changed
		changed = s.takeVerdict(e.From, l) || changed
	}
	if !e.Whole || !e.InTouch || !e.Learnt {
		return changed
	}
	for id := range r.servers {
		if !named[id] {
			delete(r.servers, id)
			changed = true
		}
	}
	return changed
}

// takeServer takes in one server unless what this host holds is newer. Within one life of
// the server its draining and its leaving are final; sequences don't count, since control
// hosts note that of the last change that each of them heard.
func (s *State) takeServer(l Listed) bool {
	r := &s.control.roster
	known, ok := r.servers[l.Announcement.Server]
	if !ok || l.Announcement.Incarnation > known.Announcement.Incarnation {
		return r.note(s.now, l.Announcement, l.Standing)
	}
	if l.Announcement.Incarnation < known.Announcement.Incarnation || l.ending() < known.ending() {
		return false
	}
	return r.note(s.now, l.Announcement, l.Standing)
}

// takeVerdict takes in whether a server is degraded, from the control host that this host
// follows: others judge by what the hosts of other failure domains measure.
func (s *State) takeVerdict(from identifier.HostID, l Listed) bool {
	known, ok := s.control.roster.servers[l.Announcement.Server]
	if !ok || from != s.control.roster.source || known.Degraded == l.Degraded ||
		known.Announcement.Incarnation != l.Announcement.Incarnation {
		return false
	}
	known.Degraded = l.Degraded
	return true
}

// ending orders how far a server has come to its end.
func (l *Listed) ending() int {
	switch {
	case l.Standing == Left:
		return 2
	case l.Announcement.State == leaser.Draining:
		return 1
	}
	return 0
}

// enforceSource puts a declaration in force on this entry host, unless it holds one as new.
func (s *State) enforceSource(source declarer.Source) bool {
	r := &s.control.roster
	if source.Version <= s.control.version {
		return false
	}
	d, err := s.interpret(source)
	if err != nil {
		s.log(ConfigurationSubsystem, Error, "declaration can't be read", Field{"reason", err.Error()})
		return false
	}
	r.held = d
	r.routes = matcher.New(d.Routes)
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

// fleetView returns what traffic needs to know of the declaration and its servers.
func (s *State) fleetView() *FleetView {
	r := &s.control.roster
	if r.held == nil {
		return nil
	}
	v := &FleetView{
		Declaration: r.held,
		Routes:      r.routes,
		Services:    map[identifier.ServiceID]*declarer.Service{},
		Backends:    map[identifier.ServiceID][]Backend{},
		Sharers:     r.sharers,
		Delegates:   r.delegates,
		Source:      r.source,
	}
	for i := range r.held.Services {
		v.Services[r.held.Services[i].ID] = &r.held.Services[i]
	}
	for _, id := range sortedKeys(r.servers) {
		l := r.servers[id]
		if l.Standing == Left || l.Announcement.State == leaser.Draining {
			continue
		}
		a := l.Announcement
		v.Backends[a.Service] = append(v.Backends[a.Service], Backend{
			Announcement: a, Silent: l.Standing == Silent, Degraded: l.Degraded,
		})
	}
	return v
}

// FleetView is the declaration in force and the backend servers that may take
// work, for the traffic states to read. It is immutable once published.
type FleetView struct {
	Declaration *declarer.Declaration
	Routes      *matcher.Matcher
	Services    map[identifier.ServiceID]*declarer.Service
	Backends    map[identifier.ServiceID][]Backend
	Sharers     Sharers
	// Delegates are entry hosts of other failure domains that gather parts for this one.
	Delegates []router.Host
	// Source is the control host that this host follows; empty while it looks for one.
	Source identifier.HostID
}

// Backend is a backend server that may take work.
type Backend struct {
	leaser.Announcement
	// Silent is set while the server does not announce itself; it may still run.
	Silent bool
	// Degraded is set while the hosts of its failure domain get poor answers from it.
	Degraded bool
}
