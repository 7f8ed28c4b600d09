package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// recordLoad records the load that a server states in its answer to an attempt with the latency, or in its
// refusal if that is 0. What an earlier
// incarnation stated doesn't count.
func (s *State) recordLoad(a *requestAttempt, l chooser.Load, latency identifier.Micros) {
	if !l.Stated() {
		return
	}
	if b, ok := s.backend(a.service, a.server); ok && b.Incarnation == a.incarnation {
		s.traffic.chooser.RecordLoad(s.now, a.server, l, latency)
	}
}
