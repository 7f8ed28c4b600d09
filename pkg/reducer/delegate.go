package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/merger"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

const (
	// DelegatesPerDomain is how many hosts of another failure domain gather parts for a
	// host: one, and one to turn to when that is silent.
	DelegatesPerDomain = 2
	// leastDelegated is the least number of pieces worth a host in between: for one alone, the bytes
	// saved are fewer than those of the messages.
	leastDelegated = 2
	// DelegateWay is the time kept back for the messages to a host in another failure
	// domain and back, and for both processors.
	DelegateWay = 10 * identifier.Millisecond
	// DelegatePenalty is how long a host that did not deliver in time is left alone.
	DelegatePenalty = 2 * identifier.Second
	// FollowersInterval separates the repetitions of the list of a control host's readers: the
	// time after which a lost message about them is made good.
	FollowersInterval = 5 * identifier.Second
	// leastFlush is the least time that a host gets to gather parts.
	leastFlush = 5 * identifier.Millisecond
)

// Counters of gathering for other hosts.
const (
	DelegationsCounter     Counter = "delegations"
	DelegationsLateCounter Counter = "delegations-late"
)

// Events between the hosts that gather parts for each other.
type (
	// PartsWanted asks a host to gather the parts of some shards from servers of its own
	// failure domain.
	PartsWanted struct {
		requestEvent
		From     identifier.HostID      `msgpack:"f"`
		Request  identifier.RequestID   `msgpack:"r"`
		Services []identifier.ServiceID `msgpack:"s"`
		Rank     identifier.Rank        `msgpack:"k"`
		// Route is what the parts' latencies are compared by.
		Route declarer.RouteID `msgpack:"i"`
		// Greatest is how many records of all parts are of use.
		Greatest int `msgpack:"g"`
		// Flush is how long to wait for all parts before those that are in are sent, and
		// Remaining how long to wait for the others; both in microseconds.
		Flush     identifier.Micros `msgpack:"u"`
		Remaining identifier.Micros `msgpack:"m"`
		Parcel    Parcel            `msgpack:"p"`
	}
	// PartsCame carries parts that were gathered for another host, or says which won't come.
	PartsCame struct {
		requestEvent
		From    identifier.HostID    `msgpack:"f"`
		Request identifier.RequestID `msgpack:"r"`
		// Parts are those whose records are in Body, the greatest of all, falling.
		Parts []DelegatedPart `msgpack:"p"`
		Body  []byte          `msgpack:"b"`
		// Failed are the services whose parts won't come; Ended says so of all that are not in.
		Failed []identifier.ServiceID `msgpack:"x"`
		Ended  bool                   `msgpack:"e"`
		// Unsent is set when the host was never asked.
		Unsent bool `msgpack:"u"`
	}
	// PartsDropped withdraws a PartsWanted.
	PartsDropped struct {
		requestEvent
		From    identifier.HostID    `msgpack:"f"`
		Request identifier.RequestID `msgpack:"r"`
	}
)

// DelegatedPart is a part that was gathered for another host.
type DelegatedPart struct {
	Service   identifier.ServiceID `msgpack:"s"`
	Signature string               `msgpack:"g"`
}

// delegatedID names a request of another host on the host that gathers for it.
func delegatedID(from identifier.HostID, request identifier.RequestID) identifier.RequestID {
	return identifier.RequestID(string(from) + "/" + string(request))
}

// Key returns the name of the work on the host that gathers.
func (e PartsWanted) Key() identifier.RequestID { return delegatedID(e.From, e.Request) }

// Key returns the request that the parts belong to.
func (e PartsCame) Key() identifier.RequestID { return e.Request }

// Key returns the name of the work on the host that gathers.
func (e PartsDropped) Key() identifier.RequestID { return delegatedID(e.From, e.Request) }

// asker is who waits for a request. It is sealed.
type asker interface{ isAsker() }

type (
	// clientAsker is a client's connection.
	clientAsker struct{}
	// hostAsker is another host, for which this one gathers parts.
	hostAsker struct {
		host    identifier.HostID
		request identifier.RequestID
		// flushed is set once parts have been sent; from then on each goes by itself.
		flushed bool
		// told marks the pieces that the host has been told of.
		told []bool
	}
)

func (clientAsker) isAsker() {}
func (*hostAsker) isAsker()  {}

// delegation is a group of pieces that another host gathers.
type delegation struct {
	host   identifier.HostID
	pieces []int
	// hedge is when to send attempts of this host's own for what has not come.
	hedge identifier.Instant
	// open is set until the host has told of all pieces.
	open bool
}

// delegate asks hosts of other failure domains to gather the pieces that no server of
// the own domain can give. One host's merged answer crosses in place of every part.
func (s *State) delegate(q *request) {
	if len(q.route.Shards) == 0 || len(s.traffic.view.Fleet.Delegates) == 0 {
		return
	}
	groups := s.groupFar(q)
	for len(groups) > 0 {
		domain := largestGroup(groups)
		pieces := groups[domain]
		delete(groups, domain)
		if len(pieces) < leastDelegated {
			return
		}
		if host, ok := s.chooseDelegate(domain); ok {
			s.askDelegate(q, host, pieces)
			for d, others := range groups {
				groups[d] = slices.DeleteFunc(others, func(i int) bool { return slices.Contains(pieces, i) })
			}
		}
	}
}

// groupFar returns, by failure domain, the pieces that have a server there and none to use
// in the own domain.
func (s *State) groupFar(q *request) map[identifier.DomainID][]int {
	groups := map[identifier.DomainID][]int{}
	for i := range q.pieces {
		w := &q.pieces[i]
		backends := s.traffic.view.Fleet.Backends[w.service]
		if slices.ContainsFunc(backends, func(b Backend) bool {
			return b.Domain == s.parameters.Domain && !b.Silent && !w.avoids(&b)
		}) {
			continue
		}
		for b := range backends {
			d := backends[b].Domain
			if d != s.parameters.Domain && !backends[b].Silent && !slices.Contains(groups[d], i) {
				groups[d] = append(groups[d], i)
			}
		}
	}
	return groups
}

// largestGroup returns the domain of the most pieces, the first by name among equals.
func largestGroup(groups map[identifier.DomainID][]int) identifier.DomainID {
	var best identifier.DomainID
	for _, d := range sortedKeys(groups) {
		if best == "" || len(groups[d]) > len(groups[best]) {
			best = d
		}
	}
	return best
}

// chooseDelegate returns a host of the domain that has not failed of late.
func (s *State) chooseDelegate(domain identifier.DomainID) (identifier.HostID, bool) {
	var hosts []identifier.HostID
	for _, h := range s.traffic.view.Fleet.Delegates {
		if h.Domain == domain && s.traffic.delegates[h.ID] <= s.now {
			hosts = append(hosts, h.ID)
		}
	}
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[s.random.IntN(len(hosts))], true
}

func (s *State) askDelegate(q *request, host identifier.HostID, pieces []int) {
	d := &delegation{host: host, pieces: pieces, open: true}
	wanted := PartsWanted{
		From: s.parameters.Host, Request: q.Request, Rank: q.rank, Route: q.route.ID, Greatest: q.route.Greatest,
		Remaining: q.deadline.Since(s.now), Parcel: q.Parcel,
	}
	usual := identifier.Micros(0)
	for _, i := range pieces {
		w := &q.pieces[i]
		wanted.Services = append(wanted.Services, w.service)
		_, high := s.traffic.service(w.service).hedger.Usual(q.rank)
		usual = max(usual, high)
		w.open++
		w.sent++
		w.arrivals++
	}
	d.hedge = s.hedgeAt(q, usual)
	wanted.Flush = max(leastFlush, min(d.hedge, q.objective).Since(s.now)-DelegateWay)
	q.offered = true
	q.delegations = append(q.delegations, d)
	s.count(DelegationsCounter, "", q.rank)
	s.emit(Send{To: host, Event: wanted})
}

// hedgeDelegations sends attempts of this host's own for the pieces that a host has not
// delivered in time.
func (s *State) hedgeDelegations(q *request) {
	for _, d := range q.delegations {
		if !d.open || d.hedge > s.now {
			continue
		}
		d.hedge = identifier.Never
		late := 0
		for _, i := range d.pieces {
			if w := &q.pieces[i]; !w.settled && w.open == 1 {
				late++
				s.send(q, i)
			}
		}
		if late == len(d.pieces) {
			s.blameDelegate(q, d)
		}
	}
}

// blameDelegate leaves a host alone for a while that delivered nothing in time.
func (s *State) blameDelegate(q *request, d *delegation) {
	s.traffic.delegates[d.host] = s.now.Add(DelegatePenalty)
	s.count(DelegationsLateCounter, "", q.rank)
	s.logRequest(q, Info, "host gathered nothing in time", Field{"host", string(d.host)})
}

// takeParts takes in what another host has gathered.
func (s *State) takeParts(e PartsCame) {
	q, ok := s.traffic.requests[e.Request]
	if !ok {
		return
	}
	i := slices.IndexFunc(q.delegations, func(d *delegation) bool { return d.open && (e.Unsent || d.host == e.From) })
	if i < 0 {
		return
	}
	d := q.delegations[i]
	s.mergeParts(q, d, e)
	for _, id := range e.Failed {
		s.failDelegated(q, d, id, false)
	}
	if e.Ended {
		s.endDelegation(q, d, e.Unsent)
	}
	s.settleRequest(q)
}

// mergeParts adds parts to the answer. Those that are in already, since an attempt of this
// host's own was faster, are replaced: their records can't be told from those of the others. One that
// comes alone is left out.
func (s *State) mergeParts(q *request, d *delegation, e PartsCame) {
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
	if q.repeatsSignature(indexes, e.Parts) {
		for _, p := range e.Parts {
			s.failDelegated(q, d, p.Service, false)
		}
		return
	}
	for i, index := range indexes {
		q.pieces[index].open--
		d.forget(index)
		if fresh {
			s.takePart(q, index, e.Parts[i].Signature)
		}
	}
	if fresh {
		q.batches = append(q.batches, e.Body)
	}
}

// repeatsSignature reports whether a part lacks a signature, or has that of another piece.
func (q *request) repeatsSignature(indexes []int, parts []DelegatedPart) bool {
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

// takePart takes in a part whose records are in a batch, in place of an answer to this host.
func (s *State) takePart(q *request, index int, signature string) {
	w := &q.pieces[index]
	w.ran, q.ran = true, true
	answer := &ServerAnswer{Success: true, Signature: signature}
	if w.answer != nil {
		w.answer = answer
		return
	}
	s.servePiece(q, index, answer)
}

func (d *delegation) forget(index int) {
	d.pieces = slices.DeleteFunc(d.pieces, func(i int) bool { return i == index })
	d.open = len(d.pieces) > 0
}

// failDelegated handles a piece that the other host can't get.
func (s *State) failDelegated(q *request, d *delegation, id identifier.ServiceID, unsent bool) {
	i := slices.IndexFunc(d.pieces, func(i int) bool { return q.pieces[i].service == id })
	if i < 0 {
		return
	}
	index := d.pieces[i]
	d.forget(index)
	w := &q.pieces[index]
	w.open--
	if unsent {
		w.sent--
		w.arrivals--
	} else {
		w.ran, q.ran = true, true
	}
	if w.open == 0 && !w.settled {
		s.seek(q, index)
	}
}

// endDelegation handles the pieces that will not come any more.
func (s *State) endDelegation(q *request, d *delegation, unsent bool) {
	for _, index := range slices.Clone(d.pieces) {
		s.failDelegated(q, d, q.pieces[index].service, unsent)
	}
}

// loseDelegations handles the end of the connection with another host.
func (s *State) loseDelegations(host identifier.HostID) {
	for _, id := range sortedKeys(s.traffic.requests) {
		q := s.traffic.requests[id]
		if a, ok := q.asker.(*hostAsker); ok && a.host == host {
			s.dropRequest(q)
			continue
		}
		for _, d := range q.delegations {
			if d.open && d.host == host {
				s.endDelegation(q, d, false)
			}
		}
		s.settleRequest(q)
	}
}

// dropDelegations withdraws what other hosts still gather for a request.
func (s *State) dropDelegations(q *request) {
	for _, d := range q.delegations {
		if d.open {
			d.open = false
			s.emit(Send{To: d.host, Event: PartsDropped{From: s.parameters.Host, Request: q.Request}})
		}
	}
}

// acceptDelegated gathers parts for another host, with one attempt for each: that host
// sends the second ones itself.
func (s *State) acceptDelegated(e PartsWanted) {
	if s.traffic.view.Fleet == nil {
		s.emit(Send{To: e.From, Event: PartsCame{From: s.parameters.Host, Request: e.Request, Ended: true}})
		return
	}
	id := e.Key()
	q := &request{
		RequestArrived: RequestArrived{Request: id, Parcel: e.Parcel},
		asker:          &hostAsker{host: e.From, request: e.Request, told: make([]bool, len(e.Services))},
		route: &declarer.Route{
			ID: e.Route, Repeatable: true, Attempts: 1, Greatest: e.Greatest, Shards: e.Services,
			Objective: e.Flush,
		},
		version:   s.traffic.view.Configuration,
		rank:      min(e.Rank, identifier.RankCount-1),
		arrival:   s.now,
		objective: s.now.Add(e.Flush),
		deadline:  s.now.Add(e.Remaining),
		timer:     identifier.Never,
	}
	q.late = q.deadline
	for _, service := range e.Services {
		q.pieces = append(q.pieces, s.newPiece(service))
	}
	s.traffic.requests[id] = q
	s.seekAll(q)
	s.settleRequest(q)
}

// dropDelegated ends the gathering for another host that needs it no longer.
func (s *State) dropDelegated(e PartsDropped) {
	if q, ok := s.traffic.requests[e.Key()]; ok {
		s.dropRequest(q)
	}
}

// settleDelegated tells the other host of the parts that are in: of all together when
// all are or the time has come, of each one by itself later.
func (s *State) settleDelegated(q *request, a *hostAsker) {
	ended := q.settled == len(q.pieces) || s.now >= q.deadline
	if !ended && !a.flushed && s.now < q.objective && !q.failedPiece(a) {
		s.armRequest(q)
		return
	}
	var in []int
	for i := range q.pieces {
		if q.pieces[i].answer != nil && !a.told[i] {
			in = append(in, i)
		}
	}
	switch {
	case a.flushed:
		for _, i := range in {
			s.sendParts(q, a, []int{i}, false)
		}
	case ended:
		s.sendParts(q, a, in, true)
		s.dropRequest(q)
		return
	case s.now >= q.objective && len(in) > 0:
		s.sendParts(q, a, in, false)
	}
	a.flushed = a.flushed || s.now >= q.objective
	s.sendFailed(q, a)
	if ended {
		s.emit(Send{To: a.host, Event: PartsCame{From: s.parameters.Host, Request: a.request, Ended: true}})
		s.dropRequest(q)
		return
	}
	s.armRequest(q)
}

// failedPiece reports whether a piece has failed that the other host does not know of.
func (q *request) failedPiece(a *hostAsker) bool {
	for i := range q.pieces {
		if q.pieces[i].settled && q.pieces[i].answer == nil && !a.told[i] {
			return true
		}
	}
	return false
}

// sendParts sends the records of some pieces, merged.
func (s *State) sendParts(q *request, a *hostAsker, indexes []int, ended bool) {
	came := PartsCame{From: s.parameters.Host, Request: a.request, Ended: ended}
	greatest := merger.New(q.route.Greatest)
	for _, i := range indexes {
		answer := q.pieces[i].answer
		came.Parts = append(came.Parts, DelegatedPart{Service: q.pieces[i].service, Signature: answer.Signature})
		greatest.Add(answer.Body)
		a.told[i] = true
	}
	came.Body = greatest.Merged()
	s.emit(Send{To: a.host, Event: came})
}

// sendFailed tells the other host of the pieces that have failed.
func (s *State) sendFailed(q *request, a *hostAsker) {
	came := PartsCame{From: s.parameters.Host, Request: a.request}
	for i := range q.pieces {
		if q.pieces[i].settled && q.pieces[i].answer == nil && !a.told[i] {
			came.Failed = append(came.Failed, q.pieces[i].service)
			a.told[i] = true
		}
	}
	if len(came.Failed) > 0 {
		s.emit(Send{To: a.host, Event: came})
	}
}

// delegatesOf returns the entry hosts of other failure domains that gather parts for a
// reader. Rendezvous hashing spreads the readers over them.
func delegatesOf(id identifier.HostID, to *reader, all []router.Host) []router.Host {
	if !to.serves {
		return nil
	}
	return router.Beyond(id, to.domain, all, DelegatesPerDomain)
}

// allReaders returns the entry hosts of the deployment, as far as this host knows.
func (s *State) allReaders() []router.Host {
	all := s.readerHosts()
	for _, id := range sortedKeys(s.control.roster.followers) {
		if s.hears(id) {
			all = append(all, s.control.roster.followers[id]...)
		}
	}
	if s.control.learnt {
		return all
	}
	for _, h := range s.control.roster.remembered {
		if !slices.ContainsFunc(all, func(known router.Host) bool { return known.ID == h.ID }) {
			all = append(all, h)
		}
	}
	return all
}

// readerHosts returns the entry hosts that follow this control host, in order of id.
func (s *State) readerHosts() []router.Host {
	var hosts []router.Host
	for _, id := range sortedKeys(s.control.roster.readers) {
		if known := s.control.roster.readers[id]; known.serves && s.now.Since(known.heard) < RosterSilence {
			hosts = append(hosts, router.Host{ID: id, Domain: known.domain})
		}
	}
	return hosts
}

// tellFollowers tells the other control hosts when the readers of this one have changed.
// They are told again now and then, since a message may be lost.
func (s *State) tellFollowers() {
	r := &s.control.roster
	readers := s.readerHosts()
	if slices.Equal(readers, r.told) && s.now.Since(r.toldAt) < FollowersInterval {
		return
	}
	r.told, r.toldAt = readers, s.now
	s.tellHosts(ReadersTold{From: s.parameters.Host, Readers: readers})
}
