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
	// warmup is the span of a segment before it is measured.
	warmup = 400 * time.Millisecond
	// measured is the measured span of a segment that compares latencies.
	measured = time.Second
	// flooded is the measured span of a segment that floods.
	flooded = 800 * time.Millisecond
	// scenario is the measured span of a segment that plays faults in sequence.
	scenario = 3500 * time.Millisecond
	// settled is when the faults of a sequence begin.
	settled = 300 * time.Millisecond
	// marker is the text in a body that crashes the servers that run it.
	marker = "crash-marker"
)

// loads spreads an offered load over the ranks.
func loads(total float64) [identifier.RankCount]float64 {
	return [identifier.RankCount]float64{0.6 * total, 0.2 * total, 0.2 * total}
}

// firstServer is one of the first customer's servers.
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
		Name: "straggler", TimeScale: 1, Warmup: warmup, Measured: measured, Baselines: true,
		Conditions: []Condition{
			{Name: "none slow", Loads: loads(0.5)},
			{Name: "one slow", Loads: loads(0.5), Steps: []Step{
				{0, Conduct{firstServer, faker.Conduct{SlowFactor: 10}}},
			}},
		},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Bound: 1.3},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
			{Measure: ExtraLoad{}, Bound: 0.05},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func leastUrgentFlood() Experiment {
	base := loads(0.5)
	flood := base
	flood[identifier.Deferrable] = floodLoad
	return Experiment{
		Name: "least-urgent-flood", TimeScale: 2.5, Warmup: warmup, Measured: flooded, Baselines: true,
		Conditions: []Condition{{Name: "no flood", Loads: base}, {Name: "flood", Loads: flood}},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Bound: 1.2},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
			{Measure: ExtraLoad{}, Bound: 0.01},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func urgentFlood() Experiment {
	return Experiment{
		Name: "urgent-flood", TimeScale: 2.5, Warmup: warmup, Measured: 2 * measured, Baselines: true,
		Conditions: []Condition{
			{Name: "flood", Loads: [identifier.RankCount]float64{floodLoad, 0.3, 0.3}},
		},
		Requirements: []Requirement{
			{Measure: FloorShare{}, Bound: 0.1, AtLeast: true},
			{Measure: ExtraLoad{}, Bound: 0.01},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func capacity() Experiment {
	return Experiment{
		Name: "capacity", TimeScale: 2.5, Warmup: warmup, Measured: flooded, Baselines: true,
		Conditions: []Condition{{Name: "1 times", Loads: loads(1)}, {Name: "5 times", Loads: loads(floodLoad)}},
		Requirements: []Requirement{
			{Measure: GoodputRatio{}, Bound: 0.95, AtLeast: true},
			{Measure: ExtraLoad{}, Bound: 0.01},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func drain() Experiment {
	silent := Selection{Service: 1, Replica: 1}
	return Experiment{
		Name: "drain", TimeScale: 2, Warmup: warmup, Measured: scenario,
		Conditions: []Condition{{Name: "drain and silence", Loads: loads(0.5), Steps: []Step{
			{settled, Conduct{firstServer, faker.Conduct{State: leaser.Draining}}},
			{settled, Conduct{silent, faker.Conduct{Mute: true}}},
		}}},
		Requirements: []Requirement{
			{Measure: LateRuns{}, Bound: 0},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func lossyReports() Experiment {
	idle, busy := 0, 1000
	return Experiment{
		Name: "lossy-reports", TimeScale: 1.5, Warmup: warmup, Measured: measured, Baselines: true,
		Conditions: []Condition{
			{Name: "true reports", Loads: loads(0.7)},
			{Name: "frozen reports", Loads: loads(0.7), Steps: []Step{
				{0, Conduct{Selection{All, 0}, faker.Conduct{ReportedLoad: &idle}}},
				{0, Conduct{Selection{All, 1}, faker.Conduct{ReportedLoad: &busy}}},
			}},
		},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Bound: 1.3},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func coldStart() Experiment {
	cold := faker.Conduct{Behaviours: []faker.Behaviour{faker.Cold{Requests: 50, Factor: 10}}}
	return Experiment{
		Name: "cold-start", TimeScale: 1.5, Warmup: warmup, Measured: measured, Baselines: true,
		Conditions: []Condition{
			{Name: "all warm", Loads: loads(0.5)},
			{Name: "one restarts cold", Loads: loads(0.5), Steps: []Step{
				{0, Conduct{firstServer, cold}},
				{settled, Crash{firstServer, settled}},
			}},
		},
		Requirements: []Requirement{
			{Measure: LatencyRatio{identifier.Urgent}, Bound: 1.3},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func repartition() Experiment {
	return Experiment{
		Name: "repartition", TimeScale: 2, Warmup: warmup, Measured: scenario,
		Conditions: []Condition{{Name: "index changes and repartition", Loads: loads(0.5), Steps: []Step{
			{settled, HoldSnapshots{[]identifier.Epoch{1}, []identifier.IndexVersion{1, 2}}},
			{900 * time.Millisecond, HoldSnapshots{[]identifier.Epoch{1}, []identifier.IndexVersion{2}}},
			{1500 * time.Millisecond, HoldSnapshots{[]identifier.Epoch{1, 2}, []identifier.IndexVersion{2}}},
			{2100 * time.Millisecond, Repartition{2}},
			{2700 * time.Millisecond, HoldSnapshots{[]identifier.Epoch{2}, []identifier.IndexVersion{2, 3}}},
			{3300 * time.Millisecond, HoldSnapshots{[]identifier.Epoch{2}, []identifier.IndexVersion{3}}},
		}}},
		Requirements: []Requirement{
			{Measure: Violations{}, Bound: 0},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
		},
	}
}

func crashRequest() Experiment {
	crash := faker.Conduct{Behaviours: []faker.Behaviour{
		faker.CrashOn{Marker: []byte(marker), Delay: 500 * time.Millisecond},
	}}
	return Experiment{
		Name: "crash-request", TimeScale: 2, Warmup: warmup, Measured: scenario,
		Conditions: []Condition{{Name: "one request resent", Loads: loads(0.5), Steps: []Step{
			{0, Conduct{Selection{All, All}, crash}},
			{settled, SendMarked{Times: 20, Interval: 150 * time.Millisecond}},
		}}},
		Requirements: []Requirement{
			{Measure: Crashes{}, Bound: 2},
			{Measure: LostServices{}, Bound: 0},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
			{Measure: Violations{}, Bound: 0},
		},
	}
}

func partition() Experiment {
	const domain identifier.DomainID = "fd-3"
	return Experiment{
		Name: "partition", TimeScale: 2, Warmup: warmup, Measured: scenario,
		Conditions: []Condition{{Name: "one failure domain cut off", Loads: loads(0.3), Steps: []Step{
			{warmup, SetDomainCondition{domain, relayer.Stalled{Forward: true, Backward: true}}},
			{warmup + 2500*time.Millisecond, SetDomainCondition{domain, relayer.Forwarding{}}},
		}}},
		Requirements: []Requirement{
			{Measure: Violations{}, Bound: 0},
			{Measure: GoodputShare{identifier.Urgent}, Bound: 0.99, AtLeast: true},
		},
	}
}
