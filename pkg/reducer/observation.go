package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Observe records how a query ended, for reports on service level objectives.
type Observe struct {
	effect
	Customer identifier.CustomerID
	Rank     identifier.Rank
	// Target is the target latency of the customer's rank, in microseconds.
	Target identifier.Micros
	// Objective is the fraction of queries that must be good.
	Objective identifier.Ratio
	Verdict   budgeter.Verdict
}

// observe records the verdict on a query that has ended after waiting for the given time.
func (s *State) observe(customer identifier.CustomerID, rank identifier.Rank, limits configurer.RankPolicy, waited identifier.Micros, outcome Outcome) {
	s.emit(Observe{
		Customer:  customer,
		Rank:      rank,
		Target:    limits.Target,
		Objective: limits.Objective,
		Verdict:   verdictOf(limits.Target, waited, outcome),
	})
}

func verdictOf(target, waited identifier.Micros, outcome Outcome) budgeter.Verdict {
	switch o := outcome.(type) {
	case Answered:
		if target > 0 && waited > target {
			return budgeter.Late
		}
		return budgeter.Good
	case Failed:
		if o.Kind == CoverageTooLow || o.Kind == TimedOut {
			return budgeter.Incomplete
		}
	}
	return budgeter.Refused
}
