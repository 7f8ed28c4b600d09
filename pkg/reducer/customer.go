package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// A keyed request passes three checks when it arrives: that this host's declaration is proven to be the newest
// one (proof.go), that a customer holds its key (package authenticator), and that the customer's quota allows one
// more (quota.go). The first is repeated for each attempt that is sent.

// UnprovenRetryAfter is the Retry-After of a request that needs a proof which this host doesn't have: an entry
// host out of touch with the control hosts gets one with its next poll of another.
const UnprovenRetryAfter = 500 * identifier.Millisecond

// identify returns the customer of a request, or the reason why it has none. The customer is nil if the route
// needs no key.
func (s *State) identify(e *RequestArrived, route *declarer.Route) (*declarer.Customer, *Declined) {
	fleet := s.traffic.view.Fleet
	if !fleet.Customers.Required() {
		return nil, nil
	}
	e.Payload.Credentials = nil
	holder, _ := fleet.Customers.Authenticate(e.Credential)
	customer, reason := s.judgeKey(route, holder)
	switch reason {
	case DeclarationUnproven:
		s.count(UnprovenRefusalsCounter, "", 0)
		return nil, &Declined{Reason: reason, Ran: RanNo, RetryAfter: UnprovenRetryAfter}
	case UnknownKey:
		s.count(UnknownKeyRefusalCounter, "", 0)
		return nil, &Declined{Reason: reason, Ran: RanNo}
	}
	return customer, nil
}

// judgeKey returns the customer that counts for a request with a key of the holder, which is nil if nobody holds
// the key, or the reason for which the request is refused.
func (s *State) judgeKey(route *declarer.Route, holder *declarer.Customer) (*declarer.Customer, DeclineReason) {
	proven := s.declarationProven()
	switch {
	case !proven && !route.Public:
		return nil, DeclarationUnproven
	case holder != nil && proven:
		return holder, ""
	case route.Public:
		return nil, ""
	}
	return nil, UnknownKey
}

// rankOf returns the rank of a request. The priority of a customer precedes that of the route.
func rankOf(route *declarer.Route, customer *declarer.Customer) identifier.Rank {
	priority := route.Priority
	if customer != nil && customer.Priority != nil {
		priority = *customer.Priority
	}
	return identifier.Rank(min(max(priority, 0), identifier.RankCount-1))
}

// customerHomes returns the regions that may see the requests of a customer; none if all may.
func customerHomes(customer *declarer.Customer) []identifier.RegionID {
	if customer == nil {
		return nil
	}
	return customer.Homes
}

// customerID returns the ID of the request's customer; empty if it has none.
func (q *request) customerID() identifier.CustomerID {
	if q.customer == nil {
		return ""
	}
	return q.customer.ID
}

// declineFields returns log fields that explain why a request was declined on its arrival. They name no key:
// the first digits of its digest tell keys apart.
func (s *State) declineFields(e *RequestArrived, outcome Declined) []Field {
	switch outcome.Reason {
	case UnknownKey:
		digest := "none"
		if e.Credential != (declarer.KeyDigest{}) {
			digest = e.Credential.String()
		}
		return []Field{{"key-digest", digest}}
	case DeclarationUnproven:
		return []Field{{"unproven-for-us", strconv.FormatInt(int64(s.now.Since(s.traffic.provenUntil)), 10)}}
	}
	return nil
}
