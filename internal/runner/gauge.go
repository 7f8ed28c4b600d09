package runner

import (
	"fmt"
	"math"
	"slices"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/internal/screener"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// gauges lists the gauges that every host serves. Each is read from the view published last.
var gauges = []struct {
	name string
	read func(*reducer.View) float64
}{
	{"lagooncleat_configuration_version", func(v *reducer.View) float64 { return float64(v.Configuration) }},
	{"lagooncleat_ready", func(v *reducer.View) float64 { return oneIf(v.Ready()) }},
	{"lagooncleat_servers", func(v *reducer.View) float64 { return float64(len(v.Servers)) }},
	{"lagooncleat_control_in_touch", func(v *reducer.View) float64 { return oneIf(v.Control.InTouch) }},
	{"lagooncleat_control_leader_known", func(v *reducer.View) float64 { return oneIf(v.Control.Leader != "") }},
	{"lagooncleat_control_members", func(v *reducer.View) float64 { return float64(len(v.ControlMembers)) }},
	{"lagooncleat_control_voters", func(v *reducer.View) float64 { return float64(v.ControlMembers.Voters()) }},
	{"lagooncleat_evacuated_domains", func(v *reducer.View) float64 { return float64(len(v.Evacuated)) }},
	{"lagooncleat_control_storage_failed", func(v *reducer.View) float64 { return oneIf(v.Control.StorageFailed) }},
}

// clientGauges lists the gauges of the listeners for callers and for backend servers together.
var clientGauges = []struct {
	name string
	read func(screener.Load) float64
}{
	{"lagooncleat_clients_connections", func(l screener.Load) float64 { return float64(l.Connections) }},
	{"lagooncleat_clients_ended", func(l screener.Load) float64 { return float64(l.Ended) }},
	{"lagooncleat_clients_memory_bytes", func(l screener.Load) float64 { return float64(l.Memory) }},
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// registerPermissionGauges registers the gauges of the proof, where the settings ask for one, and those of credits on
// control hosts that give them.
func (r *Runner) registerPermissionGauges(m *meter.Meter) {
	switch f := r.settings.Fleet; {
	case f.Duty == loader.FleetEntry && f.RevocationMillis > 0:
		m.RegisterGauge("lagooncleat_proof_age_seconds", func() float64 {
			return proofAge(r.host.Permissions().Proven, r.host.Now())
		})
	case f.Duty == loader.FleetControl && f.Quota.WindowMillis > 0:
		m.RegisterGauge("lagooncleat_credits_held", func() float64 { return float64(r.host.Permissions().Credits) })
		m.RegisterGauge("lagooncleat_quota_owner_sessions", func() float64 { return float64(r.host.Permissions().Sessions) })
		m.RegisterSeries("lagooncleat_customer_credits_held", "customer", func(write func(string, float64)) {
			for _, held := range r.host.Permissions().Customers {
				write(string(held.Account), float64(held.Count))
			}
		})
	}
}

// proofAge returns the age of a proof in seconds, or infinity without a proof.
func proofAge(proven, now identifier.Instant) float64 {
	if proven == 0 {
		return math.Inf(1)
	}
	return now.Since(proven).Duration().Seconds()
}

func (r *Runner) registerGauges(m *meter.Meter) {
	for _, g := range gauges {
		m.RegisterGauge(g.name, func() float64 { return g.read(r.host.View()) })
	}
	for _, g := range clientGauges {
		m.RegisterGauge(g.name, func() float64 {
			return g.read(r.screeners[Callers].Load()) + g.read(r.screeners[BackendServers].Load())
		})
	}
	if r.settings.Fleet == nil {
		return
	}
	r.registerPermissionGauges(m)
	// The settings bound the number of labels.
	for domain := range r.settings.Fleet.Regions {
		m.RegisterGauge(fmt.Sprintf("lagooncleat_evacuated{domain=%q}", domain), func() float64 {
			return oneIf(slices.Contains(r.host.View().Evacuated, domain))
		})
	}
}
