package reducer

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// EvacuationTimeout limits the time to commit an operator's order; operators try another host after a
// second.
const EvacuationTimeout = DeclarationTimeout

// EvacuationRevision identifies a state of the evacuations: the time at which the leader proposed the last
// order, or one more than the previous revision if that is not earlier. So it also rises when the control
// hosts have lost the replicated log and begin another one.
type EvacuationRevision uint64

// EvacuationOrdered begins or ends the evacuation of a failure domain. It has no effect when another order
// about the domain was committed since the read of Base: a late copy of an order must not undo a later one.
type EvacuationOrdered struct {
	command
	At     identifier.Instant  `msgpack:"a"`
	Domain identifier.DomainID `msgpack:"d"`
	// Ended is set to end the evacuation.
	Ended bool `msgpack:"e"`
	// Base is the revision of the last order about the domain; 0 if there was none.
	Base EvacuationRevision `msgpack:"b"`
}

// EvacuationRead asks the leader for the revision of the last order about a domain.
type EvacuationRead struct {
	Domain identifier.DomainID `msgpack:"d"`
}

func (EvacuationRead) isOperation() {}

// EvacuationFound answers an EvacuationRead.
type EvacuationFound struct {
	Revision EvacuationRevision `msgpack:"r"`
}

func (EvacuationFound) isAnswer() {}

// DomainUnknown answers an order about a domain that doesn't exist.
type DomainUnknown struct{}

func (DomainUnknown) isAnswer() {}

// EvacuationRequested is an operator's order to begin or end the evacuation of a failure domain.
type EvacuationRequested struct {
	configurationEvent
	Ticket Ticket
	Domain identifier.DomainID
	// Ended is set to end the evacuation.
	Ended bool
	// Age is the most by which the order is older than this event, by the clock of the host.
	Age identifier.Micros
}

// RecordedEvacuation is the last order about a domain in the replicated state.
type RecordedEvacuation struct {
	Domain   identifier.DomainID `msgpack:"d"`
	Revision EvacuationRevision  `msgpack:"r"`
	Ended    bool                `msgpack:"e"`
}

// Evacuations are the evacuated domains, sorted, as of a revision.
type Evacuations struct {
	Revision EvacuationRevision    `msgpack:"r"`
	Domains  []identifier.DomainID `msgpack:"d"`
}

// after returns the evacuations if they are newer than the revision, and nil otherwise.
func (e Evacuations) after(held EvacuationRevision) *Evacuations {
	if e.Revision <= held {
		return nil
	}
	return &e
}

// evacuationOrders holds the last order about each domain.
type evacuationOrders map[identifier.DomainID]RecordedEvacuation

// record records a committed order unless another one about the domain came before it. It reports whether it
// did so.
func (o evacuationOrders) record(c EvacuationOrdered) bool {
	if o[c.Domain].Revision != c.Base {
		return false
	}
	revision := max(EvacuationRevision(c.At), o.current().Revision+1)
	o[c.Domain] = RecordedEvacuation{Domain: c.Domain, Revision: revision, Ended: c.Ended}
	return true
}

// current returns the evacuated domains.
func (o evacuationOrders) current() Evacuations {
	var e Evacuations
	for _, x := range o.snapshot() {
		e.Revision = max(e.Revision, x.Revision)
		if !x.Ended {
			e.Domains = append(e.Domains, x.Domain)
		}
	}
	return e
}

// snapshot returns the last orders in order of domain.
func (o evacuationOrders) snapshot() []RecordedEvacuation {
	list := make([]RecordedEvacuation, 0, len(o))
	for _, x := range o {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b RecordedEvacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

func restoreEvacuations(list []RecordedEvacuation) evacuationOrders {
	o := evacuationOrders{}
	for _, x := range list {
		o[x.Domain] = x
	}
	return o
}

// evacuationOrigin is an operator's order whose base is being read.
type evacuationOrigin struct {
	order    EvacuationRequested
	sentFrom identifier.Instant
	deadline identifier.Instant
}

func (evacuationOrigin) isOrigin() {}

// evacuationOrder is an operator's order whose base was read.
type evacuationOrder struct {
	evacuationOrigin
	base EvacuationRevision
}

func (evacuationOrder) isOrder() {}

// orderEvacuation reads the base of an operator's order through the leader, which this host may be behind.
func (s *State) orderEvacuation(e EvacuationRequested) {
	if answer := s.checkDomain(e.Domain); answer != nil {
		s.emit(ReplyOperator{Ticket: e.Ticket, Reply: answer, Control: s.controlStatus()})
		return
	}
	o := evacuationOrigin{e, s.sentFrom(e.Age), s.now.Add(EvacuationTimeout)}
	if !s.isProven(o.sentFrom) {
		s.dropEvacuation(o)
		return
	}
	s.startOperation(EvacuationRead{Domain: e.Domain}, o, o.deadline)
}

// receiveEvacuationBase checks that the sender of an order whose base was read still waits.
func (s *State) receiveEvacuationBase(o evacuationOrigin, a Answer) {
	found, ok := a.(EvacuationFound)
	if !ok {
		s.emit(ReplyOperator{Ticket: o.order.Ticket, Reply: LeaderMissing{}, Control: s.controlStatus()})
		return
	}
	if !s.isProven(o.sentFrom) {
		s.dropEvacuation(o)
		return
	}
	s.confirmCaller(o.order.Ticket, evacuationOrder{o, found.Revision})
}

// proposeEvacuation proposes an order whose base was read before its sender was found to wait. It is proposed even if it
// changes nothing, so that late copies of earlier orders have no effect. If another order is committed meanwhile, the two
// were sent at the same time and that one counts as the later one.
func (s *State) proposeEvacuation(o evacuationOrder, waiting bool) {
	if !waiting || s.now >= o.deadline {
		s.dropEvacuation(o.evacuationOrigin)
		return
	}
	s.startOperation(Proposal{Command: EvacuationOrdered{Domain: o.order.Domain, Ended: o.order.Ended, Base: o.base}},
		operatorOrigin{o.order.Ticket}, o.deadline)
}

// dropEvacuation drops an order whose sender has called another host, or may have done so.
func (s *State) dropEvacuation(o evacuationOrigin) {
	if !s.isProven(o.sentFrom) {
		s.refuseUnproven(o.order.Ticket, "evacuation", o.sentFrom)
		return
	}
	s.log(ConfigurationSubsystem, Info, "order about a failure domain dropped: its sender has gone",
		Field{"failure-domain", string(o.order.Domain)}, Field{"ended", strconv.FormatBool(o.order.Ended)})
	s.emit(ReplyOperator{Ticket: o.order.Ticket, Reply: LeaderMissing{}, Control: s.controlStatus()})
}

// checkDomain returns the answer to an order about a domain that is unknown, or that this host may not know yet;
// nil if the order may be committed. An evacuated domain is known, so that its evacuation can end.
func (s *State) checkDomain(id identifier.DomainID) Answer {
	d, ok := s.parameters.Duty.(ControlDuty)
	if !ok {
		return DomainUnknown{}
	}
	if slices.Contains(s.control.serverList.evacuations.Domains, id) {
		return nil
	}
	if len(d.Regions) > 0 {
		if _, known := d.Regions[id]; !known {
			return DomainUnknown{}
		}
		return nil
	}
	if s.hasMembers(id) {
		return nil
	}
	if !s.control.synchronized || !s.inTouch() {
		return LeaderMissing{}
	}
	return DomainUnknown{}
}

// hasMembers reports whether a listed server or a known host is in the domain.
func (s *State) hasMembers(id identifier.DomainID) bool {
	if id == s.parameters.Domain {
		return true
	}
	for _, l := range s.control.serverList.servers {
		if l.Announcement.Domain == id {
			return true
		}
	}
	for _, h := range append(s.otherControlHosts(), s.allEntryHosts()...) {
		if h.Domain == id {
			return true
		}
	}
	return false
}

// applyEvacuation records a committed order and puts it in force.
func (s *State) applyEvacuation(c EvacuationOrdered) {
	if !s.control.replicated.evacuations.record(c) {
		s.log(ConfigurationSubsystem, Info, "order about a failure domain came after another one", Field{"failure-domain", string(c.Domain)})
		return
	}
	s.adoptEvacuations(s.control.replicated.evacuations.current())
}

// adoptEvacuations puts evacuations in force on this host if they are newer than those it knows: from the
// replicated log, from disk or from another host, all of which hold committed orders only.
func (s *State) adoptEvacuations(e Evacuations) {
	sl := &s.control.serverList
	if e.Revision <= sl.evacuations.Revision {
		return
	}
	before := sl.evacuations.Domains
	sl.evacuations = e
	s.logEvacuations("evacuation of a failure domain is in force", e.Domains, before)
	s.logEvacuations("evacuation of a failure domain has ended", before, e.Domains)
	if slices.Equal(before, e.Domains) {
		return
	}
	for _, d := range before {
		if !slices.Contains(e.Domains, d) {
			s.control.cold.returned[d] = s.now
		}
	}
	s.publish()
	s.notifySubscribers()
}

// logEvacuations logs the message for each domain that only the first list holds.
func (s *State) logEvacuations(message string, domains, others []identifier.DomainID) {
	for _, d := range domains {
		if !slices.Contains(others, d) {
			s.log(ConfigurationSubsystem, Info, message, Field{"failure-domain", string(d)})
		}
	}
}

// resetReturned discards the measurements of the servers whose evacuation has ended: their caches may be cold.
func (s *State) resetReturned(v *FleetView) {
	ended := slices.DeleteFunc(s.traffic.evacuated, func(d identifier.DomainID) bool { return slices.Contains(v.Evacuated, d) })
	s.traffic.evacuated = slices.Clone(v.Evacuated)
	for _, d := range ended {
		s.traffic.returned[d] = s.now
	}
	if len(ended) == 0 {
		return
	}
	for _, backends := range v.Backends {
		for i := range backends {
			if slices.Contains(ended, backends[i].Domain) {
				s.traffic.chooser.Reset(backends[i].Server)
			}
		}
	}
}
