// Package experimenter measures the policy under load and faults, and compares it
// with two baselines that have neither admission control nor hedging.
//
// An Experiment is data: the conditions to compare, the load and the faults of
// each, and the requirements on the result. Run executes it with open-loop Poisson
// arrivals; latency counts from the intended send time. One goroutine collects the
// outcomes and others carry the traffic; none of them spins.
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

// Name is the name of an experiment.
type Name string

// Experiment compares the policy's results under several conditions.
type Experiment struct {
	Name Name
	// TimeScale is the default factor on all modelled times.
	TimeScale float64
	// WarmupDuration is the time at the start of each segment that is not measured.
	WarmupDuration time.Duration
	// MeasuredDuration is the default measured time of each segment.
	MeasuredDuration time.Duration
	// Baselines is set if the measures apply to the baselines too, which are then run.
	Baselines bool
	// Conditions are run in order in every run; the first is the reference.
	Conditions []Condition
	// Requirements are evaluated on the policy's results; the first is the main
	// one, which the report prints last.
	Requirements []Requirement
}

// Condition is the load and the faults of one segment of a run.
type Condition struct {
	Name string
	// Loads are the offered loads of the first customer by rank, as shares of the
	// capacity of its slots.
	Loads [identifier.RankCount]float64
	Steps []Step
}

// Step is an action and its time from the start of the segment.
type Step struct {
	After  time.Duration
	Action Action
}

// Action is a change made to a deployment during a segment. It is sealed.
type Action interface{ isAction() }

type (
	// SetBehaviour changes the behaviour of the selected servers.
	SetBehaviour struct {
		Servers   Selection
		Behaviour faker.Behaviour
	}
	// Crash crashes the selected servers, which restart after the delay.
	Crash struct {
		Servers Selection
		Delay   time.Duration
	}
	// Isolate sets the condition of all links between a failure domain and the others.
	SetDomainCondition struct {
		Domain    identifier.DomainID
		Condition relayer.Condition
	}
	// SetSnapshots makes all servers of the first customer hold the epochs and
	// index versions, one server after the other.
	SetSnapshots struct {
		Epochs   []identifier.Epoch
		Versions []identifier.IndexVersion
	}
	// Repartition puts the partition of the epoch in force, one entry host after
	// the other.
	Repartition struct{ Epoch identifier.Epoch }
	// SendCrashQuery repeatedly sends a query whose body crashes servers, to one
	// entry host after the other.
	SendCrashQuery struct {
		Times    int
		Interval time.Duration
	}
)

func (SetBehaviour) isAction()       {}
func (Crash) isAction()              {}
func (SetDomainCondition) isAction() {}
func (SetSnapshots) isAction()       {}
func (Repartition) isAction()        {}
func (SendCrashQuery) isAction()     {}

// Selection selects servers of the first customer by position: Service is the
// index of a service, Replica the index of a server of that service. The index All
// selects every service or replica.
type Selection struct {
	Service int
	Replica int
}

// All is the index that selects every service or replica.
const All = -1

// selects reports whether the server at the position is selected.
func (s Selection) selects(service, replica int) bool {
	return (s.Service == All || s.Service == service) && (s.Replica == All || s.Replica == replica)
}

// Requirement is the stated target that a measure must meet.
type Requirement struct {
	Measure Measure
	Target  float64
	// AtLeast is set if the target is the lowest permitted value instead of the
	// highest.
	AtLeast bool
}

// met reports whether the value meets the target.
func (r Requirement) met(value float64) bool {
	if r.AtLeast {
		return value >= r.Target
	}
	return value <= r.Target
}

// UnknownExperimentError reports that no experiment has the name.
type UnknownExperimentError struct {
	Name Name
}

// Error returns a message with the valid names.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("unknown experiment %q, must be one of %s", e.Name, strings.Join(Names(), ", "))
}

// Find returns the experiment with the name, or an *UnknownExperimentError.
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
