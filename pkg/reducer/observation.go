package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Observe records how a query ended, for reports on service levels.
type Observe struct {
	effect
	Customer identifier.CustomerID
	Rank     identifier.Rank
	// Target is the latency target of the customer's rank, in microseconds.
	Target identifier.Micros
	// Objective is the share of queries that must be good.
	Objective identifier.Ratio
	Verdict   budgeter.Verdict
}

// observe judges the end of a query that waited for the span.
func (s *State) observe(customer identifier.CustomerID, rank identifier.Rank, limits configurer.Limits, waited identifier.Micros, outcome Outcome) {
	s.emit(Observe{
		Customer:  customer,
		Rank:      rank,
		Target:    limits.Target,
		Objective: limits.Objective,
		Verdict:   judge(limits.Target, waited, outcome),
	})
}

func judge(target, waited identifier.Micros, outcome Outcome) budgeter.Verdict {
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
