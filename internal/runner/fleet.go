package runner

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/exchanger"
	"github.com/lagooncleat/lagooncleat/internal/executor"
	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/logger"
	"github.com/lagooncleat/lagooncleat/internal/messenger"
	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	exchangerSubsystem reducer.Subsystem = "exchanger"
	adapterSubsystem   reducer.Subsystem = "adapter"
)

// Adapter implements the protocol of the clients, backend servers and operators of a fleet.
type Adapter struct {
	// Clients returns the handler of an entry host for clients. Control returns that of a
	// control host for backend servers and operators, and Readiness that of an entry host for
	// the load balancer.
	Clients   func(h *executor.Host) http.Handler
	Control   func(h *executor.Host, f *loader.Fleet, logger hclog.Logger) http.Handler
	Readiness func(ready func() bool) http.Handler
	// Codec encodes attempts for backend servers and decodes the responses.
	Codec exchanger.Codec
	// Interpreter parses declarations.
	Interpreter declarer.Interpreter
}

// NewFleet starts a host of a fleet on the open listeners. The Runner closes the listeners when
// it stops. When the data folder of a control host can't be used, NewFleet closes the listeners
// and returns the error.
func NewFleet(s loader.Settings, a Adapter, listeners Listeners, loggers *logger.Set) (*Runner, error) {
	r := newRunner(s, listeners, loggers)
	metrics := meter.New()
	dependencies := executor.Dependencies{Metrics: metrics, Loggers: loggers}
	if err := r.openJournal(&dependencies); err != nil {
		listeners.Close()
		return nil, err
	}
	if s.Fleet.Duty == loader.FleetEntry {
		r.exchanger = exchanger.New(a.Codec, loggers.Logger(exchangerSubsystem))
		dependencies.Exchanger = r.exchanger
	}
	process := newProcessID()
	r.host = executor.New(executor.Parameters{
		Reducer: reducer.Parameters{
			Host: s.Host, Domain: s.Domain, Process: process, Duty: dutyOf(s), Interpreter: a.Interpreter,
		},
		// A host of a fleet has a single core, so a second traffic state would add no
		// throughput, and would measure every backend server a second time.
		TrafficStates: 1,
		Seed:          uint64(time.Now().UnixNano()),
	}, dependencies)
	r.messenger = messenger.New(messenger.Parameters{Host: s.Host, Process: process}, r.host.Deliver, loggers.Logger(messengerSubsystem))
	r.host.Start(r.messenger)
	r.serveOperators(metrics)
	switch s.Fleet.Duty {
	case loader.FleetEntry:
		r.serve(a.Clients(r.host), Callers)
		r.serve(a.Readiness(r.Ready), Readiness)
	case loader.FleetControl:
		r.serve(a.Control(r.host, s.Fleet, loggers.Logger(adapterSubsystem)), BackendServers)
	}
	r.servePeers()
	r.logger.Info("host started", "host", s.Host, "failure-domain", s.Domain, "duty", s.Fleet.Duty)
	return r, nil
}

// Reload applies the seeds from reloaded settings. All other settings take effect only at startup.
func (r *Runner) Reload(s loader.Settings) {
	if s.Fleet == nil || r.settings.Fleet == nil {
		return
	}
	r.logger.Info("settings reloaded", "seeds", s.Fleet.Seeds)
	r.host.Deliver(reducer.SeedsChanged{Seeds: s.Fleet.SeedHosts()})
}

// dutyOf returns the reducer.Duty for the host's role in the fleet.
func dutyOf(s loader.Settings) reducer.Duty {
	seeds := s.Fleet.SeedHosts()
	extra := reducer.ExtraAttempts{
		Share: s.Fleet.ExtraAttempts.Share, Slack: s.Fleet.ExtraAttempts.Slack,
		Window: identifier.Micros(s.Fleet.ExtraAttempts.WindowMillis) * identifier.Millisecond,
	}
	if s.Fleet.Duty == loader.FleetEntry {
		return reducer.EntryDuty{
			Seeds: seeds, ExtraAttempts: extra,
			Detour:     identifier.Micros(s.Fleet.DetourMillis * float64(identifier.Millisecond)),
			Revocation: identifier.Micros(s.Fleet.RevocationMillis) * identifier.Millisecond,
			Quotas:     s.Fleet.Quota.WindowMillis > 0,
			Regions:    s.Fleet.Regions,
			WarmUp:     s.Fleet.WarmUp.Overage > 0,
		}
	}
	warmUp := permitter.Tolerance{}
	if s.Fleet.WarmUp.Overage > 0 {
		warmUp = permitter.Tolerance{Window: identifier.Second, Overage: s.Fleet.WarmUp.Overage - 1, Slack: s.Fleet.WarmUp.Slack}
	}
	return reducer.ControlDuty{
		Seeds: seeds, Founder: s.Fleet.Founder, Announcements: s.Listen.BackendServers,
		AnnouncementInterval: identifier.Micros(s.Fleet.AnnouncementIntervalMillis) * identifier.Millisecond,
		ExtraAttempts:        extra,
		Quotas: permitter.Tolerance{
			Window:  identifier.Micros(s.Fleet.Quota.WindowMillis) * identifier.Millisecond,
			Overage: s.Fleet.Quota.Overage, Slack: s.Fleet.Quota.Slack,
		},
		Regions: s.Fleet.Regions,
		WarmUp:  warmUp,
	}
}
