package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// recordLoad records the load that a server states in its answer to an attempt with the latency, or in its
// refusal if that is 0. What an earlier incarnation stated doesn't count.
func (s *State) recordLoad(a *requestAttempt, l chooser.Load, latency identifier.Micros) {
	if !l.Stated() {
		return
	}
	b, ok := s.backend(a.service, a.server)
	if !ok || b.Incarnation != a.incarnation {
		return
	}
	s.traffic.loadStated[a.server] = true
	s.traffic.chooser.RecordLoad(s.now, a.server, l, latency)
	if latency > 0 {
		s.domainLatencies(b.Domain).Observe(identifier.Urgent, latency)
	}
}

// domainLatencies returns the latencies of answers from a failure domain, over all services and ranks.
func (s *State) domainLatencies(id identifier.DomainID) *hedger.Hedger {
	latencies, ok := s.traffic.latenciesByDomain[id]
	if !ok {
		latencies = hedger.New()
		s.traffic.latenciesByDomain[id] = latencies
	}
	return latencies
}

// roundTrip returns the round trip to a remote failure domain, in microseconds: how much more than the
// median local answer the median answer from there takes. It is 0 without enough answers from servers
// that state their load.
func (s *State) roundTrip(id identifier.DomainID) identifier.Micros {
	near, far := s.traffic.latenciesByDomain[s.parameters.Domain], s.traffic.latenciesByDomain[id]
	if near == nil || far == nil {
		return 0
	}
	local, _ := near.TypicalLatency(identifier.Urgent)
	remote, _ := far.TypicalLatency(identifier.Urgent)
	if local == 0 || remote == 0 {
		return 0
	}
	return max(1, remote-local)
}
