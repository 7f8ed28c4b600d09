package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

const (
	// MaxReportedCustomers limits the customers whose credits are reported, so that metrics stay small with thousands
	// of customers.
	MaxReportedCustomers = 256
	// permissionInterval is the time between reports of the credits that a control host holds. Metrics are fetched
	// less often.
	permissionInterval = identifier.Second
)

// Permissions reports the permissions of this host that expire. It is immutable once published.
type Permissions struct {
	// Proven is when this host asked for the proof of its declaration, by its clock; 0 if it has none.
	Proven identifier.Instant
	// Credits is the number of credits that this control host holds, and Customers are the customers with most of
	// them.
	Credits   permitter.Requests
	Customers []permitter.Holding[identifier.CustomerID]
	// Sessions is the number of control hosts to which this host allots credits as the owner of the quotas.
	Sessions int
}

// PublishPermissions passes the permissions of this host to its metrics.
type PublishPermissions struct {
	effect
	Permissions *Permissions
}

// publishProof publishes the age of a proof that was renewed.
func (s *State) publishProof(term identifier.Micros) {
	s.emit(PublishPermissions{Permissions: &Permissions{Proven: s.control.proof.Until().Add(-term)}})
}

// publishCredits publishes the credits of a control host once in permissionInterval.
func (s *State) publishCredits() {
	d := &s.control.credits
	if _, ok := s.tolerance(); !ok || s.now < d.publishAt {
		return
	}
	d.publishAt = s.now.Add(permissionInterval)
	p := &Permissions{}
	p.Customers, p.Credits = d.holder.Holdings(s.now, MaxReportedCustomers)
	if d.owner != nil {
		p.Sessions = d.owner.Sessions(s.now)
	}
	s.emit(PublishPermissions{Permissions: p})
}
