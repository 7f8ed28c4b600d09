// Package experimenter measures the policy under load and faults, beside two
// baselines that have neither admission nor hedges.
//
// An Experiment is data: the conditions to compare, the load and the faults in
// each, and the requirements on the result. Run plays it with open-loop Poisson
// arrivals; latency counts from the intended send time. One goroutine collects
// the outcomes, others carry the traffic; none spins.
//
// # Usage
//
//	e, err := experimenter.Find("straggler")
//	region, err := demonstrator.FindRegion("hangar")
//	report, err := experimenter.Run(ctx, e, experimenter.Options{Region: region, Runs: 5}, loggers)
//	report.Write(os.Stdout)
package experimenter

import (
	"fmt"
	"strings"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Name names an experiment.
type Name string

// Experiment is one comparison of conditions.
type Experiment struct {
	Name Name
	// TimeScale multiplies all modelled times by default.
	TimeScale float64
	// Warmup is the span at the start of each segment that is not measured.
	Warmup time.Duration
	// Measured is the measured span of each segment by default.
	Measured time.Duration
	// Baselines is set when the baselines have a counterpart to what is measured.
	Baselines bool
	// Conditions are played in order in every run; the first is the reference.
	Conditions []Condition
	// Requirements are judged on the policy's results; the first is the headline.
	Requirements []Requirement
}

// Condition is the load and the faults of one segment of a run.
type Condition struct {
	Name string
	// Loads are the offered loads of the first customer by rank, as shares of
	// what its slots can serve.
	Loads [identifier.RankCount]float64
	Steps []Step
}

// Step is an action at a time after the segment began.
type Step struct {
	After  time.Duration
	Action Action
}

// Action is something done to a deployment during a segment. It is sealed.
type Action interface{ isAction() }

type (
	// Conduct changes how one server of the first customer behaves.
	Conduct struct {
		Server  Selection
		Conduct faker.Conduct
	}
	// Crash crashes one server of the first customer; it comes back after the delay.
	Crash struct {
		Server Selection
		Delay  time.Duration
	}
	// SetDomainCondition sets the condition of all links of a failure domain to the others.
	SetDomainCondition struct {
		Domain    identifier.DomainID
		Condition relayer.Condition
	}
	// HoldSnapshots gives all servers of the first customer the epochs and
	// index versions, one server after the other.
	HoldSnapshots struct {
		Epochs   []identifier.Epoch
		Versions []identifier.IndexVersion
	}
	// Repartition puts the epoch's partitioning in force, one host after the other.
	Repartition struct{ Epoch identifier.Epoch }
	// SendMarked sends a query whose body crashes servers, again and again, to
	// one host after the other.
	SendMarked struct {
		Times    int
		Interval time.Duration
	}
)

func (Conduct) isAction()            {}
func (Crash) isAction()              {}
func (SetDomainCondition) isAction() {}
func (HoldSnapshots) isAction()      {}
func (Repartition) isAction()        {}
func (SendMarked) isAction()         {}

// Selection names servers of the first customer by their position: Service
// counts its services, Replica the servers of each. All selects every one.
type Selection struct {
	Service int
	Replica int
}

// All selects every service or replica.
const All = -1

// selects reports whether the server at the position is selected.
func (s Selection) selects(service, replica int) bool {
	return (s.Service == All || s.Service == service) && (s.Replica == All || s.Replica == replica)
}

// Requirement is a bound on a measure. The bound comes from the target.
type Requirement struct {
	Measure Measure
	Bound   float64
	// AtLeast is set when the figure must reach the bound, not stay below it.
	AtLeast bool
}

// met reports whether the figure keeps the bound.
func (r Requirement) met(figure float64) bool {
	if r.AtLeast {
		return figure >= r.Bound
	}
	return figure <= r.Bound
}

// UnknownExperimentError reports a name that is no experiment's.
type UnknownExperimentError struct {
	Name Name
}

// Error lists the valid names.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("experiment %q is none of %s", e.Name, strings.Join(Names(), ", "))
}

// Find returns the experiment of the name, or an *UnknownExperimentError.
func Find(name Name) (Experiment, error) {
	for _, e := range catalogue() {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, &UnknownExperimentError{Name: name}
}

// Names returns the names of all experiments.
func Names() []string {
	var names []string
	for _, e := range catalogue() {
		names = append(names, string(e.Name))
	}
	return names
}
