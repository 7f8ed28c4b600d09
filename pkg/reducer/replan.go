package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
)

// MaxReplans limits how often a query restarts at a newer snapshot.
const MaxReplans = 3

// pinnedPlan returns the customer's plan under the current view.
func (s *State) pinnedPlan(p *configurer.Policy) *planner.Plan {
	if plan, ok := s.traffic.plans[p.Customer]; ok {
		return plan
	}
	partitions := p.Partitions()
	if previous, ok := s.traffic.previousPartitions[p.Customer]; ok && p.Previous == nil {
		partitions = append(partitions, previous)
	}
	plan := planner.Pin(partitions, s.announcements)
	s.traffic.plans[p.Customer] = plan
	return plan
}

func (s *State) announcements(id identifier.ServiceID) []leaser.Announcement {
	return s.traffic.view.ByService[id]
}

// replan restarts the whole query at a newer snapshot if the pinned one can no longer be
// served, and reports whether it did. Parts of the old snapshot are discarded. Work that must
// not run twice restarts only if none of it may have run.
func (s *State) replan(q *query) bool {
	plan := s.pinnedPlan(s.currentPolicy(q))
	mayRun := q.Repeatable || (!q.ran && q.openAttempts == 0)
	if !mayRun || q.replans >= MaxReplans || !plan.NewerThan(q.plan.Snapshot) || plan.CoveredWidth <= q.reachableWidth() {
		return false
	}
	q.replans++
	q.ran = q.ran || q.openAttempts > 0
	s.cancelOpenAttempts(q)
	q.waitingShards = 0
	q.parkedShards = 0
	s.count(ReplansCounter, q.Customer, q.rank)
	q.usePlan(plan)
	s.scatter(q)
	return true
}

// refreshPlan replaces the query's plan with that of the current view if both have the same
// snapshot, so that the query uses the current servers.
func (s *State) refreshPlan(q *query) {
	plan := s.pinnedPlan(s.currentPolicy(q))
	if plan.Snapshot == q.plan.Snapshot && len(plan.Shards) == len(q.plan.Shards) {
		q.plan = plan
	}
}

// reachableWidth returns the width of the ranges that are covered or still pending.
func (q *query) reachableWidth() identifier.HashPoint {
	width := q.coverage.CoveredWidth()
	for i := range q.shards {
		sh := &q.shards[i]
		if !q.coverage.Covered(i) && (sh.openAttempts > 0 || sh.waitingForRetry || sh.parked) {
			width += q.plan.Ranges[i].Width()
		}
	}
	return width
}

// currentPolicy returns the policy in force for the query's customer, or the one that the
// query started with if the customer has been removed.
func (s *State) currentPolicy(q *query) *configurer.Policy {
	if p, ok := s.traffic.view.Policies[q.Customer]; ok {
		return p
	}
	return q.policy
}

// savePreviousPartitions saves the partitions that a new configuration replaces at a higher
// epoch, so that queries can use them until the new ones are covered.
func (s *State) savePreviousPartitions(v *View) {
	if v.Configuration == s.traffic.view.Configuration {
		return
	}
	for id, p := range v.Policies {
		old, ok := s.traffic.view.Policies[id]
		if ok && old.Partition.Epoch < p.Partition.Epoch {
			s.traffic.previousPartitions[id] = old.Partition
		}
	}
}

// pruneServers discards the plans of the old view and the measurements of servers that are gone.
func (s *State) pruneServers(v *View) {
	clear(s.traffic.plans)
	s.traffic.chooser.Retain(func(id identifier.ServerID) bool {
		_, ok := v.Servers[id]
		return ok
	})
}
