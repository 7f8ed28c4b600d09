package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
)

// MaxReplans bounds how often a query starts over at a newer snapshot.
const MaxReplans = 3

// pin returns the customer's plan under the view in use.
func (s *State) pin(p *configurer.Policy) *planner.Plan {
	if known, ok := s.traffic.plans[p.Customer]; ok {
		return known
	}
	partitions := p.Partitions()
	if previous, ok := s.traffic.previous[p.Customer]; ok && p.Previous == nil {
		partitions = append(partitions, previous)
	}
	plan := planner.Pin(partitions, s.announcements)
	s.traffic.plans[p.Customer] = plan
	return plan
}

func (s *State) announcements(id identifier.ServiceID) []leaser.Announcement {
	return s.traffic.view.ByService[id]
}

// replan starts the whole query over at a newer snapshot when the present one
// can't be served any more, and reports whether it did. Nothing of the old
// snapshot is kept. Work that must not run twice starts over only if none of it may have run.
func (s *State) replan(q *query) bool {
	plan := s.pin(s.currentPolicy(q))
	mayRun := q.Repeatable || (!q.ran && q.open == 0)
	if !mayRun || q.replans >= MaxReplans || !plan.NewerThan(q.plan.Snapshot) || plan.Width <= q.reachable() {
		return false
	}
	q.replans++
	q.ran = q.ran || q.open > 0
	s.cancelOpen(q)
	q.waiting = 0
	q.parked = 0
	s.count(ReplansCounter, q.Customer, q.rank)
	q.begin(plan)
	s.scatter(q)
	return true
}

// refresh takes the servers of the present view into the query's plan if they
// still serve its snapshot.
func (s *State) refresh(q *query) {
	plan := s.pin(s.currentPolicy(q))
	if plan.Snapshot == q.plan.Snapshot && len(plan.Shards) == len(q.plan.Shards) {
		q.plan = plan
	}
}

// reachable returns the width of the ranges that are covered or still awaited.
func (q *query) reachable() identifier.HashPoint {
	width := q.coverage.Width()
	for i := range q.shards {
		sh := &q.shards[i]
		if !q.coverage.Covered(i) && (sh.open > 0 || sh.waiting || sh.parked) {
			width += q.plan.Ranges[i].Width()
		}
	}
	return width
}

// currentPolicy returns the policy in force for the query's customer, or the one
// that the query began with if the customer has been removed.
func (s *State) currentPolicy(q *query) *configurer.Policy {
	if p, ok := s.traffic.view.Policies[q.Customer]; ok {
		return p
	}
	return q.policy
}

// keepPrevious remembers the partitions that a new configuration replaces by a
// higher epoch, so that queries can keep to them until the new ones are covered.
func (s *State) keepPrevious(v *View) {
	if v.Configuration == s.traffic.view.Configuration {
		return
	}
	for id, p := range v.Policies {
		old, ok := s.traffic.view.Policies[id]
		if ok && old.Partition.Epoch < p.Partition.Epoch {
			s.traffic.previous[id] = old.Partition
		}
	}
}

// adoptServers forgets what was worked out or measured for servers and plans of the old view.
func (s *State) adoptServers(v *View) {
	clear(s.traffic.plans)
	s.traffic.chooser.Retain(func(id identifier.ServerID) bool {
		_, ok := v.Servers[id]
		return ok
	})
}
