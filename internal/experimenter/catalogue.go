package experimenter

import (
	"time"

	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

const (
	// floodLoad is the offered load of a flood, as a multiple of capacity.
	floodLoad = 5
	// warmupDuration is the time at the start of a segment that is not measured.
	warmupDuration = 400 * time.Millisecond
	// latencyMeasuredDuration is the measured time of a segment that compares
	// latencies.
	latencyMeasuredDuration = time.Second
	// floodMeasuredDuration is the measured time of a segment with a flood.
	floodMeasuredDuration = 800 * time.Millisecond
	// faultMeasuredDuration is the measured time of a segment with a sequence of
	// faults.
	faultMeasuredDuration = 3500 * time.Millisecond
	// faultDelay is the time from the start of a segment to its first fault. It is
	// also the restart delay of the crashed server in cold-start.
	faultDelay = 300 * time.Millisecond
	// crashMarker is the text in a query's body that crashes the servers running it.
	crashMarker = "crash-marker"
)

// loadByRank divides an offered load among the ranks.
func loadByRank(total float64) [identifier.RankCount]float64 {
	return [identifier.RankCount]float64{0.6 * total, 0.2 * total, 0.2 * total}
}

// firstServer selects the first server of the first customer's first service.
var firstServer = Selection{Service: 0, Replica: 0}

// catalogue returns all experiments.
func catalogue() []Experiment {
	return []Experiment{
		straggler(), leastUrgentFlood(), urgentFlood(), capacity(), drain(),
		lossyReports(), coldStart(), repartition(), crashRequest(), partition(),
	}
}

func straggler() Experiment {
	return Experiment{
		Name: "straggler", TimeScale: 1, WarmupDuration: warmupDuration, MeasuredDuration: latencyMeasuredDuration, Baselines: true,
		Conditions: []Condition{
			{Name: "none slow", Loads: loadByRank(0.5)},
			{Name: "one slow", Loads: loadByRank(0.5), Steps: []Step{
				{0, SetBehaviour{firstServer, faker.Behaviour{SlowFactor: 10}}},
			}},
		},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Target: 1.3},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
			{Measure: ExtraLoad{}, Target: 0.05},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func leastUrgentFlood() Experiment {
	base := loadByRank(0.5)
	flood := base
	flood[identifier.Deferrable] = floodLoad
	return Experiment{
		Name: "least-urgent-flood", TimeScale: 2.5, WarmupDuration: warmupDuration, MeasuredDuration: floodMeasuredDuration, Baselines: true,
		Conditions: []Condition{{Name: "no flood", Loads: base}, {Name: "flood", Loads: flood}},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Target: 1.2},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
			{Measure: ExtraLoad{}, Target: 0.01},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func urgentFlood() Experiment {
	return Experiment{
		Name: "urgent-flood", TimeScale: 2.5, WarmupDuration: warmupDuration, MeasuredDuration: 2 * latencyMeasuredDuration, Baselines: true,
		Conditions: []Condition{
			{Name: "flood", Loads: [identifier.RankCount]float64{floodLoad, 0.3, 0.3}},
		},
		Requirements: []Requirement{
			{Measure: FloorShare{}, Target: 0.1, AtLeast: true},
			{Measure: ExtraLoad{}, Target: 0.01},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func capacity() Experiment {
	return Experiment{
		Name: "capacity", TimeScale: 2.5, WarmupDuration: warmupDuration, MeasuredDuration: floodMeasuredDuration, Baselines: true,
		Conditions: []Condition{{Name: "1 times", Loads: loadByRank(1)}, {Name: "5 times", Loads: loadByRank(floodLoad)}},
		Requirements: []Requirement{
			{Measure: GoodputRatio{}, Target: 0.95, AtLeast: true},
			{Measure: ExtraLoad{}, Target: 0.01},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func drain() Experiment {
	silent := Selection{Service: 1, Replica: 1}
	return Experiment{
		Name: "drain", TimeScale: 2, WarmupDuration: warmupDuration, MeasuredDuration: faultMeasuredDuration,
		Conditions: []Condition{{Name: "drain and silence", Loads: loadByRank(0.5), Steps: []Step{
			{faultDelay, SetBehaviour{firstServer, faker.Behaviour{State: leaser.Draining}}},
			{faultDelay, SetBehaviour{silent, faker.Behaviour{Silent: true}}},
		}}},
		Requirements: []Requirement{
			{Measure: LateRuns{}, Target: 0},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func lossyReports() Experiment {
	idle, busy := 0, 1000
	return Experiment{
		Name: "lossy-reports", TimeScale: 1.5, WarmupDuration: warmupDuration, MeasuredDuration: latencyMeasuredDuration, Baselines: true,
		Conditions: []Condition{
			{Name: "true reports", Loads: loadByRank(0.7)},
			{Name: "frozen reports", Loads: loadByRank(0.7), Steps: []Step{
				{0, SetBehaviour{Selection{All, 0}, faker.Behaviour{ReportedLoad: &idle}}},
				{0, SetBehaviour{Selection{All, 1}, faker.Behaviour{ReportedLoad: &busy}}},
			}},
		},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Target: 1.3},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func coldStart() Experiment {
	cold := faker.Behaviour{Faults: []faker.Fault{faker.ColdStart{Requests: 50, Factor: 10}}}
	return Experiment{
		Name: "cold-start", TimeScale: 1.5, WarmupDuration: warmupDuration, MeasuredDuration: latencyMeasuredDuration, Baselines: true,
		Conditions: []Condition{
			{Name: "all warm", Loads: loadByRank(0.5)},
			{Name: "one restarts cold", Loads: loadByRank(0.5), Steps: []Step{
				{0, SetBehaviour{firstServer, cold}},
				{faultDelay, Crash{firstServer, faultDelay}},
			}},
		},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Target: 1.3},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func repartition() Experiment {
	return Experiment{
		Name: "repartition", TimeScale: 2, WarmupDuration: warmupDuration, MeasuredDuration: faultMeasuredDuration,
		Conditions: []Condition{{Name: "index changes and repartition", Loads: loadByRank(0.5), Steps: []Step{
			{faultDelay, SetSnapshots{[]identifier.Epoch{1}, []identifier.IndexVersion{1, 2}}},
			{900 * time.Millisecond, SetSnapshots{[]identifier.Epoch{1}, []identifier.IndexVersion{2}}},
			{1500 * time.Millisecond, SetSnapshots{[]identifier.Epoch{1, 2}, []identifier.IndexVersion{2}}},
			{2100 * time.Millisecond, Repartition{2}},
			{2700 * time.Millisecond, SetSnapshots{[]identifier.Epoch{2}, []identifier.IndexVersion{2, 3}}},
			{3300 * time.Millisecond, SetSnapshots{[]identifier.Epoch{2}, []identifier.IndexVersion{3}}},
		}}},
		Requirements: []Requirement{
			{Measure: Violations{}, Target: 0},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
		},
	}
}

func crashRequest() Experiment {
	crash := faker.Behaviour{Faults: []faker.Fault{
		faker.CrashOn{Marker: []byte(crashMarker), Delay: 500 * time.Millisecond},
	}}
	return Experiment{
		Name: "crash-request", TimeScale: 2, WarmupDuration: warmupDuration, MeasuredDuration: faultMeasuredDuration,
		Conditions: []Condition{{Name: "one request resent", Loads: loadByRank(0.5), Steps: []Step{
			{0, SetBehaviour{Selection{All, All}, crash}},
			{faultDelay, SendCrashQuery{Times: 20, Interval: 150 * time.Millisecond}},
		}}},
		Requirements: []Requirement{
			{Measure: Crashes{}, Target: 2},
			{Measure: LostServices{}, Target: 0},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
			{Measure: Violations{}, Target: 0},
		},
	}
}

func partition() Experiment {
	const domain identifier.DomainID = "fd-3"
	return Experiment{
		Name: "partition", TimeScale: 2, WarmupDuration: warmupDuration, MeasuredDuration: faultMeasuredDuration,
		Conditions: []Condition{{Name: "one failure domain cut off", Loads: loadByRank(0.3), Steps: []Step{
			{warmupDuration, SetDomainCondition{domain, relayer.Stalled{Forward: true, Backward: true}}},
			{warmupDuration + 2500*time.Millisecond, SetDomainCondition{domain, relayer.Forwarding{}}},
		}}},
		Requirements: []Requirement{
			{Measure: Violations{}, Target: 0},
			{Measure: GoodputShare{identifier.Urgent}, Target: 0.99, AtLeast: true},
		},
	}
}
