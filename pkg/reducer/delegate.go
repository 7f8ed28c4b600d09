package reducer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/merger"
)

const (
	// DelegatesPerDomain is how many hosts of a remote failure domain gather parts for a host,
	// so that one is left while the other is backed off.
	DelegatesPerDomain = 2
	// minDelegatedPieces is the minimum number of pieces in a delegation: for a single piece, the
	// messages cost more bytes than they save.
	minDelegatedPieces = 2
	// DelegateRoundTrip is the time reserved for the round trip to a delegate and for
	// processing on both hosts.
	DelegateRoundTrip = 10 * identifier.Millisecond
	// DelegateBackoff is how long a delegate that did not deliver in time is backed off.
	DelegateBackoff = 2 * identifier.Second
	// SubscribersInterval is the interval at which a control host resends the list of its
	// subscribers, to make up for lost messages.
	SubscribersInterval = 5 * identifier.Second
	// maxLocalRejection is the ratio of rejected attempts from which a local server is passed over for a sound
	// remote one.
	maxLocalRejection identifier.Ratio = 0.25
	// minFlush is the minimum time that a delegate gets to gather parts.
	minFlush = 5 * identifier.Millisecond
)

// Counters of delegations.
const (
	DelegationsCounter     Counter = "delegations"
	DelegationsLateCounter Counter = "delegations-late"
)

// Events between a host and its delegates.
type (
	// PartsRequested asks a host to gather the parts of some shards from servers in its local
	// failure domain.
	PartsRequested struct {
		requestEvent
		From    identifier.HostID    `msgpack:"f"`
		Request identifier.RequestID `msgpack:"r"`
		// Services are distinct.
		Services []identifier.ServiceID `msgpack:"s"`
		Rank     identifier.Rank        `msgpack:"k"`
		// Route is the route with whose median latency the attempts are compared.
		Route declarer.RouteID `msgpack:"i"`
		// TopK is the maximum number of records needed from all parts together.
		TopK int `msgpack:"g"`
		// Flush is how long to wait for all parts before sending those received so far, and
		// Remaining is how long to wait for the others; both are in microseconds.
		Flush     identifier.Micros `msgpack:"u"`
		Remaining identifier.Micros `msgpack:"m"`
		Payload   Payload           `msgpack:"p"`
		// Fingerprint is that of the client's request.
		Fingerprint identifier.Fingerprint `msgpack:"h"`
		// Customer is who sent the client's request; empty if no key was needed.
		Customer identifier.CustomerID `msgpack:"c"`
		// Homes are the regions that may see the request, a list for each object that names some.
		Homes [][]identifier.RegionID `msgpack:"o"`
		// Process is the requesting process of From; 0 from hosts of earlier versions.
		Process identifier.ProcessID `msgpack:"v"`
	}
	// PartsDelivered carries parts gathered for another host, or names those that won't arrive.
	PartsDelivered struct {
		requestEvent
		From    identifier.HostID    `msgpack:"f"`
		Request identifier.RequestID `msgpack:"r"`
		// Parts are the parts that Body was merged from. Body holds their greatest records
		// in descending order.
		Parts []DelegatedPart `msgpack:"p"`
		Body  []byte          `msgpack:"b"`
		// Failed are the services whose parts won't arrive; Ended is set when no further part will.
		Failed []identifier.ServiceID `msgpack:"x"`
		Ended  bool                   `msgpack:"e"`
		// Unsent is set when the request never reached the delegate, or the delegate has sent no attempt for it.
		Unsent bool `msgpack:"u"`
		// Crashed is set when the request may have crashed servers: they have closed the connections
		// of its attempts, and none has answered.
		Crashed bool `msgpack:"c"`
		// Untried are those of Failed to which the delegate has sent no attempt.
		Untried []identifier.ServiceID `msgpack:"t"`
		// Process is the process that requested the parts.
		Process identifier.ProcessID `msgpack:"v"`
	}
	// PartsCancelled cancels a PartsRequested.
	PartsCancelled struct {
		requestEvent
		From    identifier.HostID    `msgpack:"f"`
		Request identifier.RequestID `msgpack:"r"`
		// Process is that of the PartsRequested.
		Process identifier.ProcessID `msgpack:"v"`
	}
)

// DelegatedPart is a part that was gathered for another host.
type DelegatedPart struct {
	Service   identifier.ServiceID `msgpack:"s"`
	Signature string               `msgpack:"g"`
}

// Key returns the name of the request at the delegate.
func (e PartsRequested) Key() identifier.RequestName {
	return identifier.RequestName{Requester: identifier.Process{Host: e.From, ID: e.Process}, Request: e.Request}
}

// Key returns the request that the parts belong to.
func (e PartsDelivered) Key() identifier.RequestName {
	return identifier.RequestName{Request: e.Request}
}

// Key returns the name of the request at the delegate.
func (e PartsCancelled) Key() identifier.RequestName {
	return identifier.RequestName{Requester: identifier.Process{Host: e.From, ID: e.Process}, Request: e.Request}
}

// requester receives the answer to a request. The interface is sealed: only types of this package
// implement it.
type requester interface{ isRequester() }

type (
	// clientRequester is a client's connection.
	clientRequester struct{}
	// hostRequester is a process of another host, for which this one gathers parts.
	hostRequester struct {
		name identifier.RequestName
		// flushed is set once the flush time has passed; from then on each part is sent on its own.
		flushed bool
		// reported marks the pieces whose part or failure has been sent to the host.
		reported []bool
	}
)

func (clientRequester) isRequester() {}
func (*hostRequester) isRequester()  {}

// delegation is a group of pieces whose parts another host gathers.
type delegation struct {
	host   identifier.HostID
	pieces []int
	// hedgeAt is when this host sends attempts of its own for the pieces still missing.
	hedgeAt identifier.Instant
	// open is set until every piece has been delivered or has failed.
	open bool
}

// delegate asks hosts of remote failure domains to gather the pieces that no server in the
// local domain can serve. One merged answer then crosses domains instead of every part.
func (s *State) delegate(q *request) {
	for _, d := range s.planDelegations(q) {
		s.sendDelegation(q, d.hosts[s.random.IntN(len(d.hosts))], d.pieces)
	}
}

// plannedDelegation is a group of pieces that one of the hosts of a remote failure domain is asked to gather.
type plannedDelegation struct {
	domain identifier.DomainID
	hosts  []identifier.HostID
	pieces []int
}

// planDelegations returns the delegations of a request that begins now.
func (s *State) planDelegations(q *request) []plannedDelegation {
	if len(q.route.Shards) == 0 || q.probing || !s.mayServe(q.customerID()) || len(s.traffic.view.Fleet.Delegates) == 0 {
		return nil
	}
	var planned []plannedDelegation
	groups := s.groupRemotePieces(q)
	for len(groups) > 0 {
		domain := largestGroup(groups)
		pieces := groups[domain]
		delete(groups, domain)
		if len(pieces) < minDelegatedPieces {
			break
		}
		if hosts := s.availableDelegates(domain); len(hosts) > 0 {
			planned = append(planned, plannedDelegation{domain, hosts, pieces})
			for d, others := range groups {
				groups[d] = slices.DeleteFunc(others, func(i int) bool { return slices.Contains(pieces, i) })
			}
		}
	}
	return planned
}

// groupRemotePieces groups by failure domain the pieces that have a server there and no usable
// one in the local domain.
func (s *State) groupRemotePieces(q *request) map[identifier.DomainID][]int {
	groups := map[identifier.DomainID][]int{}
	for i := range q.pieces {
		p := &q.pieces[i]
		backends := s.traffic.view.Fleet.Backends[p.service]
		local, sound := s.localServers(q, p, backends)
		if sound {
			continue
		}
		for n := range backends {
			b := &backends[n]
			if b.Domain == s.parameters.Domain || b.Silent || b.Evacuated || !s.withinHomes(q, b.Domain) ||
				slices.Contains(groups[b.Domain], i) || (local && (b.Degraded || rejectsMuch(p, b))) {
				continue
			}
			groups[b.Domain] = append(groups[b.Domain], i)
		}
	}
	return groups
}

// localServers reports whether a piece has a usable server in the local failure domain, and whether one of them
// accepts most of its attempts.
func (s *State) localServers(q *request, p *piece, backends []Backend) (usable, sound bool) {
	for i := range backends {
		b := &backends[i]
		if b.Domain == s.parameters.Domain && !b.Silent && !p.avoids(b) && !s.isClosed(b) && s.withinHomes(q, b.Domain) {
			usable = true
			sound = sound || !rejectsMuch(p, b)
		}
	}
	return usable, sound
}

// rejectsMuch reports whether a server rejects so many attempts that a piece is rather gathered by a host beside a
// sound one. If every host sent its own attempts there instead, they would exceed the server's connections.
func rejectsMuch(p *piece, b *Backend) bool {
	return p.rejectionOf(b) > maxLocalRejection
}

// largestGroup returns the domain with the most pieces; the first by name wins a tie.
func largestGroup(groups map[identifier.DomainID][]int) identifier.DomainID {
	var best identifier.DomainID
	for _, d := range sortedKeys(groups) {
		if best == "" || len(groups[d]) > len(groups[best]) {
			best = d
		}
	}
	return best
}

// availableDelegates returns the delegates in the domain that are not backed off.
func (s *State) availableDelegates(domain identifier.DomainID) []identifier.HostID {
	var hosts []identifier.HostID
	for _, h := range s.traffic.view.Fleet.Delegates {
		if h.Domain == domain && s.traffic.delegateBackoffs[h.ID] <= s.now {
			hosts = append(hosts, h.ID)
		}
	}
	return hosts
}

// sendDelegation asks a host to gather parts for some pieces of a request.
func (s *State) sendDelegation(q *request, host identifier.HostID, pieces []int) {
	d := &delegation{host: host, pieces: pieces, open: true}
	message := PartsRequested{
		From: s.parameters.Host, Request: q.Request, Rank: q.rank, Route: q.route.ID, TopK: q.route.TopK,
		Remaining: q.deadline.Since(s.now), Payload: q.Payload, Fingerprint: q.Fingerprint,
		Customer: q.customerID(), Homes: q.homes, Process: s.parameters.Process,
	}
	typical := identifier.Micros(0)
	for _, i := range pieces {
		p := &q.pieces[i]
		message.Services = append(message.Services, p.service)
		_, high := s.traffic.service(p.service).hedger.TypicalLatency(q.rank)
		typical = max(typical, high)
		p.openAttempts++
		p.sent++
		p.arrivals++
	}
	d.hedgeAt = s.hedgeTimeFor(q, typical)
	message.Flush = max(minFlush, min(d.hedgeAt, q.answerAt).Since(s.now)-DelegateRoundTrip)
	q.attempted = true
	q.delegations = append(q.delegations, d)
	s.count(DelegationsCounter, "", q.rank)
	s.emit(Send{To: host, Event: message})
}

// hedgeDelegations sends this host's own attempts for the pieces that a delegate has not
// delivered in time.
func (s *State) hedgeDelegations(q *request) {
	for _, d := range q.delegations {
		if !d.open || d.hedgeAt > s.now {
			continue
		}
		d.hedgeAt = identifier.Never
		missing := 0
		for _, i := range d.pieces {
			if p := &q.pieces[i]; !p.finished && p.openAttempts == 1 {
				missing++
				if !s.holdsBack(q) {
					s.sendAttempt(q, i)
				}
			}
		}
		if missing == len(d.pieces) {
			s.backOffDelegate(q, d)
		}
	}
}

// backOffDelegate stops using a delegate that delivered nothing in time, for DelegateBackoff.
func (s *State) backOffDelegate(q *request, d *delegation) {
	s.traffic.delegateBackoffs[d.host] = s.now.Add(DelegateBackoff)
	s.count(DelegationsLateCounter, "", q.rank)
	s.logRequest(q, Info, "host gathered nothing in time", Field{"host", string(d.host)})
}

// handleParts handles a message from a delegate: gathered parts, failures, or the end.
func (s *State) handleParts(e PartsDelivered) {
	if e.Process != s.parameters.Process {
		s.count(StaleMessagesCounter, "", 0)
		return
	}
	q, ok := s.traffic.requests[e.Key()]
	if !ok {
		return
	}
	i := slices.IndexFunc(q.delegations, func(d *delegation) bool { return d.open && d.host == e.From })
	if i < 0 {
		return
	}
	d := q.delegations[i]
	if e.Crashed {
		q.losses += suspectLosses
	}
	s.mergeParts(q, d, e)
	for _, id := range e.Failed {
		s.failDelegatedPiece(q, d, id, slices.Contains(e.Untried, id))
	}
	if e.Unsent {
		s.backOffDelegate(q, d)
	}
	if e.Ended {
		s.endDelegation(q, d, e.Unsent)
	}
	s.resumePieces(q)
	s.finishOrSchedule(q)
}

// mergeParts adds a batch of parts to the answer. A part replaces the answer to a faster attempt of
// this host's own, since its records can't be separated from the rest of the batch. A batch in
// which no part is new is discarded.
func (s *State) mergeParts(q *request, d *delegation, e PartsDelivered) {
	var indexes []int
	fresh := false
	for _, p := range e.Parts {
		index := slices.IndexFunc(d.pieces, func(i int) bool { return q.pieces[i].service == p.Service })
		if index < 0 {
			return
		}
		indexes = append(indexes, d.pieces[index])
		fresh = fresh || q.pieces[d.pieces[index]].answer == nil
	}
	if q.hasInvalidSignature(indexes, e.Parts) {
		for _, p := range e.Parts {
			s.failDelegatedPiece(q, d, p.Service, false)
		}
		return
	}
	for i, index := range indexes {
		q.pieces[index].openAttempts--
		d.removePiece(index)
		if fresh {
			s.recordPart(q, index, e.Parts[i].Signature)
		}
	}
	if fresh {
		q.batches = append(q.batches, e.Body)
	}
}

// hasInvalidSignature reports whether a part has no signature or that of another piece.
func (q *request) hasInvalidSignature(indexes []int, parts []DelegatedPart) bool {
	for i, p := range parts {
		if p.Signature == "" {
			return true
		}
		for other := range q.pieces {
			if a := q.pieces[other].answer; a != nil && other != indexes[i] && a.Signature == p.Signature {
				return true
			}
		}
	}
	return false
}

// recordPart records a part whose records are in a batch. It replaces an answer that this host
// received itself.
func (s *State) recordPart(q *request, index int, signature string) {
	p := &q.pieces[index]
	p.ran, q.ran = true, true
	s.recordServed(q)
	answer := &ServerAnswer{Success: true, Signature: signature}
	if p.answer != nil {
		p.answer = answer
		return
	}
	s.answerPiece(q, index, answer)
}

func (d *delegation) removePiece(index int) {
	d.pieces = slices.DeleteFunc(d.pieces, func(i int) bool { return i == index })
	d.open = len(d.pieces) > 0
}

// failDelegatedPiece handles a piece whose part the delegate can't get. If the delegate has sent no attempt for it, it
// doesn't count as one.
func (s *State) failDelegatedPiece(q *request, d *delegation, id identifier.ServiceID, unsent bool) {
	i := slices.IndexFunc(d.pieces, func(i int) bool { return q.pieces[i].service == id })
	if i < 0 {
		return
	}
	index := d.pieces[i]
	d.removePiece(index)
	p := &q.pieces[index]
	p.openAttempts--
	if unsent {
		p.sent--
		p.arrivals--
	} else {
		p.ran, q.ran = true, true
	}
	if p.openAttempts == 0 && !p.finished {
		s.dispatchPiece(q, index)
	}
}

// endDelegation fails the remaining pieces of a delegation.
func (s *State) endDelegation(q *request, d *delegation, unsent bool) {
	for _, index := range slices.Clone(d.pieces) {
		s.failDelegatedPiece(q, d, q.pieces[index].service, unsent)
	}
}

// removeGathered removes the requests whose parts this host gathers for processes that the function selects.
func (s *State) removeGathered(selects func(identifier.Process) bool) {
	for _, q := range s.sortedRequests() {
		if to, ok := q.requester.(*hostRequester); ok && selects(to.name.Requester) {
			s.removeRequest(q)
		}
	}
}

// endDelegationsTo ends the delegations to another host.
func (s *State) endDelegationsTo(host identifier.HostID) {
	for _, q := range s.sortedRequests() {
		if q.credit == creditAwaited {
			continue
		}
		for _, d := range q.delegations {
			if d.open && d.host == host {
				s.endDelegation(q, d, false)
			}
		}
		s.resumePieces(q)
		s.finishOrSchedule(q)
	}
}

// sortedRequests returns the requests in progress in order of name.
func (s *State) sortedRequests() []*request {
	requests := slices.Collect(maps.Values(s.traffic.requests))
	slices.SortFunc(requests, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.name.Requester.Host, b.name.Requester.Host),
			cmp.Compare(a.name.Requester.ID, b.name.Requester.ID), cmp.Compare(a.name.Request, b.name.Request))
	})
	return requests
}

// cancelDelegations cancels the open delegations of a request.
func (s *State) cancelDelegations(q *request) {
	for _, d := range q.delegations {
		if d.open {
			d.open = false
			s.emit(Send{To: d.host, Event: PartsCancelled{
				From: s.parameters.Host, Request: q.Request, Process: s.parameters.Process,
			}})
		}
	}
}

// acceptDelegated gathers parts for another host, with one attempt for each piece: that host
// sends hedges itself. It gathers none for hosts of earlier versions, which don't name their process, nor while this host
// knows no servers since it has just started.
func (s *State) acceptDelegated(e PartsRequested) {
	name := e.Key()
	if e.Process == 0 || !s.hearProcess(name.Requester) || s.traffic.view.Fleet == nil || !s.mayServe(e.Customer) {
		s.emit(Send{To: e.From, Event: s.deliveryTo(name, PartsDelivered{Unsent: true, Ended: true})})
		return
	}
	if s.isSuspect(e.Fingerprint) {
		s.emit(Send{To: e.From, Event: s.deliveryTo(name, PartsDelivered{Ended: true, Crashed: true})})
		return
	}
	if s.isGathered(name) {
		s.count(StaleMessagesCounter, "", 0)
		return
	}
	q := &request{
		RequestArrived: RequestArrived{Request: e.Request, Payload: e.Payload, Fingerprint: e.Fingerprint},
		name:           name,
		requester:      &hostRequester{name: name, reported: make([]bool, len(e.Services))},
		route: &declarer.Route{
			ID: e.Route, Repeatable: true, MaxAttempts: 1, TopK: e.TopK, Shards: e.Services,
			TargetLatency: e.Flush,
		},
		version:   s.traffic.view.Configuration,
		rank:      min(e.Rank, identifier.RankCount-1),
		customer:  delegatedCustomer(e.Customer),
		arrival:   s.now,
		started:   s.now,
		lateFrom:  s.now.Add(e.Flush),
		answerAt:  s.now.Add(e.Flush),
		deadline:  s.now.Add(e.Remaining),
		nextCheck: identifier.Never,
		homes:     e.Homes,
	}
	q.partialAfter = q.deadline
	for _, service := range e.Services {
		q.pieces = append(q.pieces, s.newPiece(service))
	}
	s.traffic.requests[name] = q
	s.dispatchPieces(q)
	s.finishOrSchedule(q)
}

// isGathered reports whether this host gathers parts under the name, or has not seen the end of an attempt for it.
func (s *State) isGathered(name identifier.RequestName) bool {
	if _, ok := s.traffic.requests[name]; ok {
		return true
	}
	first := identifier.ExchangeID{Requester: name.Requester, Request: name.Request, Sequence: 1}
	_, ok := s.traffic.requestAttempts[first]
	return ok
}

// deliveryTo completes a message to the process that requested the parts of a request.
func (s *State) deliveryTo(name identifier.RequestName, e PartsDelivered) PartsDelivered {
	e.From, e.Request, e.Process = s.parameters.Host, name.Request, name.Requester.ID
	return e
}

// delegatedCustomer returns the customer of a request that another host has admitted; nil if it has none.
func delegatedCustomer(id identifier.CustomerID) *declarer.Customer {
	if id == "" {
		return nil
	}
	return &declarer.Customer{ID: id}
}

// cancelDelegated stops gathering parts that another host no longer needs.
func (s *State) cancelDelegated(e PartsCancelled) {
	if q, ok := s.traffic.requests[e.Key()]; ok {
		s.removeRequest(q)
	}
}

// deliverParts sends the requester the parts received so far. They are merged and sent together
// once all have arrived or the flush time has passed; after that each part is sent on its own.
// Failures are sent at once.
func (s *State) deliverParts(q *request, to *hostRequester) {
	ended := q.finished == len(q.pieces) || s.now >= q.deadline
	if !ended && !to.flushed && s.now < q.answerAt && !q.hasUnreportedFailure(to) {
		s.scheduleRequest(q)
		return
	}
	var received []int
	for i := range q.pieces {
		if q.pieces[i].answer != nil && !to.reported[i] {
			received = append(received, i)
		}
	}
	switch {
	case to.flushed:
		for _, i := range received {
			s.sendParts(q, to, []int{i}, false)
		}
	case ended:
		s.sendFailures(q, to)
		s.sendParts(q, to, received, true)
		s.removeRequest(q)
		return
	case s.now >= q.answerAt && len(received) > 0:
		s.sendParts(q, to, received, false)
	}
	to.flushed = to.flushed || s.now >= q.answerAt
	s.sendFailures(q, to)
	if ended {
		s.emit(Send{To: to.name.Requester.Host, Event: s.deliveryTo(to.name, PartsDelivered{Ended: true})})
		s.removeRequest(q)
		return
	}
	s.scheduleRequest(q)
}

// hasUnreportedFailure reports whether a piece has failed and the requester has not been notified.
func (q *request) hasUnreportedFailure(to *hostRequester) bool {
	for i := range q.pieces {
		if q.pieces[i].finished && q.pieces[i].answer == nil && !to.reported[i] {
			return true
		}
	}
	return false
}

// sendParts sends the merged records of some pieces to the requester.
func (s *State) sendParts(q *request, to *hostRequester, indexes []int, ended bool) {
	message := s.deliveryTo(to.name, PartsDelivered{Ended: ended, Crashed: q.mayCrashServers()})
	greatest := merger.New(q.route.TopK)
	for _, i := range indexes {
		answer := q.pieces[i].answer
		message.Parts = append(message.Parts, DelegatedPart{Service: q.pieces[i].service, Signature: answer.Signature})
		greatest.Add(answer.Body)
		to.reported[i] = true
	}
	message.Body = greatest.Merged()
	s.emit(Send{To: to.name.Requester.Host, Event: message})
}

// sendFailures notifies the requester of the pieces that have failed.
func (s *State) sendFailures(q *request, to *hostRequester) {
	message := s.deliveryTo(to.name, PartsDelivered{Crashed: q.mayCrashServers()})
	for i := range q.pieces {
		if p := &q.pieces[i]; p.finished && p.answer == nil && !to.reported[i] {
			message.Failed = append(message.Failed, p.service)
			if p.arrivals == 0 {
				message.Untried = append(message.Untried, p.service)
			}
			to.reported[i] = true
		}
	}
	if len(message.Failed) > 0 {
		s.emit(Send{To: to.name.Requester.Host, Event: message})
	}
}

// sendSubscribers sends the list of this host's subscribers to the other control hosts when it
// has changed, and again at intervals, since a message may be lost.
func (s *State) sendSubscribers() {
	sl := &s.control.serverList
	subscribers := s.subscriberHosts()
	if slices.Equal(subscribers, sl.sentSubscribers) && s.now.Since(sl.sentSubscribersAt) < SubscribersInterval {
		return
	}
	sl.sentSubscribers, sl.sentSubscribersAt = subscribers, s.now
	s.sendToPeers(SubscribersSent{From: s.parameters.Host, Subscribers: subscribers})
}
