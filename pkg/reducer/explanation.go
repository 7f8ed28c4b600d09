package reducer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/splitter"
)

// Operators ask where a request would go now. The answer comes from the functions that decide for requests, which run
// on a copy of what they may change (rehearsal). Decisions that are drawn at random, as for new, cold and
// degraded servers, are stated as such and not drawn.

// RouteAsked asks where a request would go now. Nothing is sent and nothing changes.
type RouteAsked struct {
	requestEvent
	Ticket         Ticket
	Hostname, Path string
	// Customer is who would send the request; empty for a request without a key.
	Customer identifier.CustomerID
}

// Key returns the same key for all questions: in a fleet one traffic state handles all requests.
func (e RouteAsked) Key() identifier.RequestName { return identifier.RequestName{} }

// ReplyRoute answers RouteAsked.
type ReplyRoute struct {
	effect
	Ticket      Ticket
	Explanation RouteExplanation
}

// RouteExplanation says where a request would go now, and why. Durations are in microseconds.
type RouteExplanation struct {
	// Declined is the reason for which the request would be declined before an attempt is sent; empty if it would not.
	Declined DeclineReason
	Version  identifier.Version
	Route    declarer.RouteID
	Public   bool
	// Customer is who the request counts for; empty if it needs no key or would not be admitted.
	Customer identifier.CustomerID
	Rank     identifier.Rank
	// Homes are the regions that may see the request, a list for each object that names some.
	Homes [][]identifier.RegionID
	Proof ProofExplanation
	Quota QuotaExplanation
	// ControlHost is the control host that this host subscribes to, which tells it what all hosts together know of
	// servers; empty while it searches for one.
	ControlHost identifier.HostID
	Evacuated   []identifier.DomainID
	Services    []ServiceExplanation
	Delegations []DelegationExplanation
}

// ProofExplanation is the proof that the declaration is the newest one.
type ProofExplanation struct {
	// Required is set if keyed requests need a proof, and Proven if the host has what they need.
	Required, Proven bool
	// Age is the time since the host asked for the proof, and Remaining until it ends; both are 0 without one.
	Age, Remaining identifier.Micros
}

// QuotaExplanation is what the host knows of a customer's quota.
type QuotaExplanation struct {
	// Required is set if the request needs a credit.
	Required bool
	Rate     identifier.Rate
	Burst    float64
	// DeniedFor is the time until there is another credit, if the last one was denied.
	DeniedFor identifier.Micros
	// Asked are the control hosts that are asked for a credit, in order.
	Asked []identifier.HostID
}

// ServiceExplanation is a service that the request, or a part of it, goes to.
type ServiceExplanation struct {
	Service identifier.ServiceID
	// Weight is that of a target of the route; 0 for a shard. Next is set if the request goes to the service now.
	Weight declarer.Weight
	Next   bool
	// Candidates are the servers in the order in which the host would choose them, then those that it would not.
	Candidates []CandidateExplanation
}

// CandidateExplanation is what the host knows of a server.
type CandidateExplanation struct {
	Server  identifier.ServerID
	Address identifier.Address
	Domain  identifier.DomainID
	// PassedOver is the reason for which the server gets no attempt now; empty if it may get one.
	PassedOver string
	// Stalled is set while the server has stopped answering attempts in flight.
	Silent, Degraded, Stalled, Starting bool
	Rejection                           identifier.Ratio
	// Share is the share of its usual work that a new server gets; 0 if it is not known to state its load.
	Share identifier.Ratio
	// Measured is what this host has measured, and what the server last stated of its load.
	Measured chooser.Estimate
	// Open is the number of attempts in flight, and Connections the limit on them.
	Open        int
	Connections identifier.Connections
	// BackedOffFor is for how long the server is not tried again after it could not be reached.
	BackedOffFor identifier.Micros
	// Said is what the server says of itself, and SaidAge the age of that; PausedFor is the rest of its pause.
	Said      ServerStatement
	SaidAge   identifier.Micros
	PausedFor identifier.Micros
	// RoundTrip is the measured round trip to a remote domain; 0 if it is unknown.
	RoundTrip identifier.Micros

	preference preference
}

// DelegationExplanation is a group of pieces that a host of a remote failure domain would be asked to gather.
type DelegationExplanation struct {
	Domain identifier.DomainID
	// Hosts are the hosts of which one is drawn.
	Hosts    []identifier.HostID
	Services []identifier.ServiceID
}

// explainRoute answers an operator's question.
func (s *State) explainRoute(e RouteAsked) {
	s.emit(ReplyRoute{Ticket: e.Ticket, Explanation: s.rehearsal().routeExplanation(e)})
}

// rehearsal returns a state that decides as this one would. It holds copies of all that a decision reads and may change,
// also of what is only cached.
func (s *State) rehearsal() *State {
	c := *s
	c.effects = nil
	c.random = rand.New(rand.NewPCG(0, 0))
	t := &c.traffic
	t.candidates = nil
	t.chooser = s.traffic.chooser.Clone()
	t.services = cloneEach(s.traffic.services, func(x service) service {
		x.hedger = copyOf(x.hedger)
		return x
	})
	t.latenciesByDomain = cloneEach(s.traffic.latenciesByDomain, func(x hedger.Hedger) hedger.Hedger { return x })
	t.serverActivities = cloneEach(s.traffic.serverActivities, func(x serverActivity) serverActivity {
		if x.said.pacer != nil {
			x.said.pacer = copyOf(x.said.pacer)
		}
		return x
	})
	t.extraBudgets = maps.Clone(s.traffic.extraBudgets)
	t.splitters = map[declarer.RouteID]*splitter.Splitter{}
	for id, x := range s.traffic.splitters {
		t.splitters[id] = x.Clone()
	}
	return &c
}

func copyOf[V any](v *V) *V {
	copied := *v
	return &copied
}

// cloneEach returns a map with a copy of each value.
func cloneEach[K comparable, V any](values map[K]*V, clone func(V) V) map[K]*V {
	cloned := make(map[K]*V, len(values))
	for id, v := range values {
		x := clone(*v)
		cloned[id] = &x
	}
	return cloned
}

// routeExplanation must be called on a rehearsal.
func (s *State) routeExplanation(e RouteAsked) RouteExplanation {
	fleet := s.traffic.view.Fleet
	if fleet == nil {
		return RouteExplanation{Declined: NoDeclaration}
	}
	x := RouteExplanation{
		Version: fleet.Declaration.Version, ControlHost: fleet.ControlHost, Evacuated: fleet.Evacuated, Proof: s.proofExplanation(),
	}
	route, ok := fleet.Routes.Match(e.Hostname, e.Path)
	if !ok {
		x.Declined = NoRoute
		return x
	}
	var customer *declarer.Customer
	if fleet.Customers.Required() {
		customer, x.Declined = s.judgeKey(route, fleet.Declaration.Customer(e.Customer))
	}
	q := s.newRequest(RequestArrived{Hostname: e.Hostname, Path: e.Path}, route, customer)
	x.Route, x.Public, x.Customer, x.Rank, x.Homes = route.ID, route.Public, q.customerID(), q.rank, q.homes
	for _, id := range s.targetServices(route) {
		q.pieces = append(q.pieces, piece{service: id, retryAt: identifier.Never})
	}
	x.Quota = s.quotaExplanation(customer)
	if x.Declined == "" {
		x.Declined = s.declineReason(q, x.Quota)
	}
	x.Services = s.serviceExplanations(q)
	for _, d := range s.planDelegations(q) {
		delegation := DelegationExplanation{Domain: d.domain, Hosts: d.hosts}
		for _, i := range d.pieces {
			delegation.Services = append(delegation.Services, q.pieces[i].service)
		}
		x.Delegations = append(x.Delegations, delegation)
	}
	return x
}

// declineReason returns why a request with a sufficient key would be declined on its arrival, in the order of
// acceptRequest; empty if it would not.
func (s *State) declineReason(q *request, quota QuotaExplanation) DeclineReason {
	switch {
	case s.sufficientFrom(q) > 0:
		return ServersUnavailable
	case !s.hasChance(q):
		return ServersRejecting
	case quota.DeniedFor > 0:
		return QuotaExceeded
	}
	return ""
}

func (s *State) proofExplanation() ProofExplanation {
	d, _ := s.parameters.Duty.(EntryDuty)
	p := ProofExplanation{Required: d.Revocation > 0, Proven: s.declarationProven()}
	if until := s.traffic.provenUntil; p.Required && until > 0 {
		p.Age, p.Remaining = s.now.Since(until.Add(-d.proofTerm())), max(0, until.Since(s.now))
	}
	return p
}

func (s *State) quotaExplanation(c *declarer.Customer) QuotaExplanation {
	if !s.hasQuota(c) {
		return QuotaExplanation{}
	}
	return QuotaExplanation{
		Required: true, Rate: c.Rate, Burst: c.Burst,
		DeniedFor: max(0, s.traffic.deniedUntil[c.ID].Since(s.now)), Asked: s.traffic.view.Fleet.creditHosts(),
	}
}

// serviceExplanations returns the services of a request: all shards, or all targets of a split route.
func (s *State) serviceExplanations(q *request) []ServiceExplanation {
	var services []ServiceExplanation
	for i := range q.pieces {
		services = append(services, ServiceExplanation{Service: q.pieces[i].service, Next: true, Candidates: s.candidateExplanations(q, &q.pieces[i])})
	}
	for _, t := range q.route.Targets {
		i := slices.IndexFunc(services, func(x ServiceExplanation) bool { return x.Service == t.Service })
		if i < 0 {
			p := piece{service: t.Service, retryAt: identifier.Never}
			services = append(services, ServiceExplanation{Service: t.Service, Candidates: s.candidateExplanations(q, &p)})
			i = len(services) - 1
		}
		services[i].Weight = t.Weight
	}
	return services
}

// candidateExplanations returns the servers of a piece. Those that may get an attempt come first, ordered by
// preference and then by cost among those of the same or a better preference.
func (s *State) candidateExplanations(q *request, p *piece) []CandidateExplanation {
	var explained []CandidateExplanation
	for worst := preferSound; worst <= preferSilent; worst++ {
		candidates := slices.Clone(s.collectBackends(q, p, worst))
		for i, m := range s.traffic.chooser.Estimates(s.now, candidates) {
			if b, ok := s.backend(p.service, candidates[i].Server); ok && s.preferenceOf(p, b) == worst {
				explained = append(explained, s.candidateExplanation(q, p, b, m))
			}
		}
	}
	slices.SortStableFunc(explained, func(a, b CandidateExplanation) int {
		return cmp.Or(cmp.Compare(a.preference, b.preference), cmp.Compare(a.Measured.Cost, b.Measured.Cost))
	})
	backends := s.traffic.view.Fleet.Backends[p.service]
	for i := range backends {
		b := &backends[i]
		if slices.ContainsFunc(explained, func(x CandidateExplanation) bool { return x.Server == b.Server }) {
			continue
		}
		m := s.traffic.chooser.Estimates(s.now, []chooser.Candidate{{Server: b.Server, Incarnation: b.Incarnation, Slots: b.Slots, Rank: q.rank}})
		explained = append(explained, s.candidateExplanation(q, p, b, m[0]))
	}
	return explained
}

func (s *State) candidateExplanation(q *request, p *piece, b *Backend, m chooser.Estimate) CandidateExplanation {
	a := s.activity(b.Server)
	x := CandidateExplanation{
		Server: b.Server, Address: b.Address, Domain: b.Domain, PassedOver: s.passedOverReason(q, b),
		Silent: b.Silent, Degraded: b.Degraded, Stalled: s.isStalled(p.service, b), Starting: b.State == leaser.Starting,
		Rejection: b.Rejection, Share: b.Share, Measured: m, Open: len(a.open), Connections: s.connectionLimit(p.service, b.Domain),
		BackedOffFor: max(0, a.backoffUntil.Since(s.now)), preference: s.preferenceOf(p, b),
	}
	if a.said.incarnation == b.Incarnation {
		x.Said, x.PausedFor = a.said.stated, max(0, a.said.pausedUntil.Since(s.now))
		if a.said.at > 0 {
			x.SaidAge = s.now.Since(a.said.at)
		}
	}
	if b.Domain != s.parameters.Domain {
		x.RoundTrip = s.roundTrip(b.Domain)
	}
	return x
}

// passedOverReason returns why a server gets no attempt of the request now; empty if it may get one.
func (s *State) passedOverReason(q *request, b *Backend) string {
	switch {
	case s.acceptsAt(q, b) > s.now:
		return s.refusalReason(q, b)
	case s.activity(b.Server).backoffUntil > s.now:
		return "backed-off"
	case !s.mayTake(b, q.rank):
		return "no-connection-left"
	}
	return ""
}
