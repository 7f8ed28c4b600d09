package reducer

import (
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/allocator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// rejectedRetryAfter is the Retry-After of a request that was not begun since too many servers reject, before
// the spread by rank: what lets it succeed, the end of the rejections, is known everywhere a second later.
const rejectedRetryAfter = 1 * identifier.Second

// rejectionTime is the time in which a server that rejects an attempt does so: two round trips between failure
// domains. Attempts that are open for longer were accepted. A request's rejected pieces are
// decided on together after that time: decided on one by one, nearly every request looks as
// expensive as the average, and those that need few extra attempts are not found.
const rejectionTime = 8 * identifier.Millisecond

// Counters of requests to services whose servers reject.
const (
	// NotBegunCounter counts the requests that were not begun since their servers reject too many attempts.
	NotBegunCounter Counter = "requests-not-begun"
	// EndedEarlyCounter counts the requests that were ended since the extra attempts left for them were too few.
	EndedEarlyCounter Counter = "requests-ended-early"
)

// leastRejection returns the least ratio of attempts that a server of the service rejects; 0 if one that
// announces itself and accepts requests rejects none.
func (s *State) leastRejection(id identifier.ServiceID) identifier.Ratio {
	least := identifier.Ratio(math.Inf(1))
	backends := s.traffic.view.Fleet.Backends[id]
	for i := range backends {
		if b := &backends[i]; !b.Silent && !s.isClosed(b) {
			least = min(least, b.Rejection)
		}
	}
	if math.IsInf(float64(least), 1) {
		return 0
	}
	return least
}

// rations reports whether a piece gets another attempt only if its request can't do without it: it was
// rejected, and all servers of its service reject attempts.
func (s *State) rations(q *request, p *piece) bool {
	if !p.rejected || p.finished || p.openAttempts > 0 {
		return false
	}
	if _, ok := q.requester.(clientRequester); !ok || len(q.route.Shards) == 0 || q.probing {
		return false
	}
	return !s.exhausted(q, p) && s.leastRejection(p.service) > 0
}

// recordPieceRejected records that a piece was rejected, and when to decide on the rejected pieces.
func (s *State) recordPieceRejected(q *request, p *piece) {
	p.rejected = true
	if q.settleAt <= s.now {
		q.settleAt = s.now.Add(rejectionTime)
	}
}

// acceptedPieces returns which pieces have an attempt in flight that its server has not rejected in time.
func (s *State) acceptedPieces(q *request) map[int]bool {
	accepted := map[int]bool{}
	for _, a := range q.attempts {
		if a.open && s.now.Since(a.sent) >= rejectionTime {
			accepted[a.piece] = true
		}
	}
	return accepted
}

// allocatorPieces translates the pieces of a request.
func (s *State) allocatorPieces(q *request) []allocator.Piece {
	pieces := make([]allocator.Piece, len(q.pieces))
	accepted := s.acceptedPieces(q)
	for i := range q.pieces {
		p := &q.pieces[i]
		x := &pieces[i]
		switch {
		case p.answer != nil:
			x.Stage = allocator.Served
			continue
		case p.finished:
			x.Stage = allocator.Failed
			continue
		case accepted[i]:
			continue
		case s.rations(q, p):
			x.Stage = allocator.Rejected
		}
		x.Rejection = s.leastRejection(p.service)
		if x.Rejection > 0 {
			x.Budget = s.availableExtra(p.service)
		}
	}
	return pieces
}

// required returns how many pieces of a request with several ones must be served.
func (q *request) required() int {
	n := 1
	for n < len(q.pieces) && !q.sufficientWith(n) {
		n++
	}
	return n
}

// refuseRejected ends a request that has no realistic chance, since all servers of too many of its
// services reject attempts. It reports whether it did so.
func (s *State) refuseRejected(q *request) bool {
	if s.hasChance(q) {
		return false
	}
	s.count(NotBegunCounter, "", q.rank)
	outcome := s.unavailable(q, s.now.Add(rejectedRetryAfter))
	outcome.Reason = ServersRejecting
	s.finishRequest(q, outcome)
	return true
}

// hasChance reports whether a request that begins now has a realistic chance.
func (s *State) hasChance(q *request) bool {
	return len(q.route.Shards) == 0 || q.probing || !s.hasScarceService(q) ||
		allocator.MayBegin(s.allocatorPieces(q), q.required())
}

// hasScarceService reports whether all servers of one of the request's services reject attempts.
func (s *State) hasScarceService(q *request) bool {
	for i := range q.pieces {
		if id := q.pieces[i].service; s.hasRejection(id) && s.leastRejection(id) > 0 {
			return true
		}
	}
	return false
}

// allocateAttempts sends the attempts of a request for rationed pieces that it can't do without. It gives up
// all of these pieces if the request is lost.
func (s *State) allocateAttempts(q *request) {
	pieces := s.allocatorPieces(q)
	var chosen []int
	switch d := allocator.Decide(pieces, q.required()).(type) {
	case allocator.Lost:
		s.count(EndedEarlyCounter, "", q.rank)
		for i := range pieces {
			if pieces[i].Stage == allocator.Rejected {
				s.finishPiece(q, i)
			}
		}
		q.lost = true
		return
	case allocator.Proceed:
		chosen = d.Pieces
	}
	for i := range pieces {
		if pieces[i].Stage == allocator.Rejected {
			q.pieces[i].retryAt = identifier.Never
		}
	}
	for _, i := range chosen {
		if p := &q.pieces[i]; !s.sendAttempt(q, i) {
			p.refused = nil
			p.retryAt = s.now.Add(ServerRetryInterval)
		}
	}
}

// updateRationed decides again on the rationed pieces of a request after an event, and reports whether
// nothing but pieces that it can do without is left.
func (s *State) updateRationed(q *request) bool {
	rationed, due := 0, false
	for i := range q.pieces {
		if p := &q.pieces[i]; s.rations(q, p) {
			rationed++
			due = due || p.retryAt == identifier.Never || p.retryAt <= s.now
		}
	}
	if rationed == 0 || q.lost || q.settleAt > s.now {
		return false
	}
	if due {
		s.allocateAttempts(q)
	}
	for i := range q.pieces {
		if p := &q.pieces[i]; !p.finished && (p.openAttempts > 0 || p.retryAt != identifier.Never) {
			return false
		}
	}
	return q.sufficient()
}

// availableExtra returns how many extra attempts to a service this host may send now.
func (s *State) availableExtra(id identifier.ServiceID) float64 {
	return s.extraBudget(id).Tokens() + float64(s.traffic.credit.available(id, s.creditLimit()))
}
