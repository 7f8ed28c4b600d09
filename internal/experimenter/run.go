package experimenter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/internal/logger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// PolicyName is the name of the policy in reports.
	PolicyName = "lagooncleat"
	// readyTimeout limits the wait until all hosts answer completely.
	readyTimeout = 20 * time.Second
	// readyRetryInterval is the time between two queries of this wait.
	readyRetryInterval = 20 * time.Millisecond
	// outageSampleInterval is the time between two checks of which servers are down.
	outageSampleInterval = 20 * time.Millisecond
	// baselineStride is the number of runs per run of the baselines. Running them less
	// often keeps an experiment within a minute.
	baselineStride = 2
	// warmupLoad is the load of the warm-up segment, as a share of capacity.
	warmupLoad = 0.5
	// maxConnectionsPerHost limits the load tool's connections to one entry host.
	maxConnectionsPerHost = 1000
)

// ErrNotReady reports that the entry hosts did not answer completely before the
// timeout.
var ErrNotReady = errors.New("experimenter: entry hosts did not answer completely before the timeout")

// Options holds the options of an experiment. A zero measured duration or time
// scale means the experiment's default.
type Options struct {
	Region demonstrator.Region
	Runs   int
	// MeasuredDuration is the measured time of each segment.
	MeasuredDuration time.Duration
	TimeScale        float64
	Seed             uint64
}

// candidate is a policy under comparison, with the environment that the actions
// change.
type candidate struct {
	name        string
	system      system
	environment *environment
}

// harness holds the candidates of an experiment and the resources they run on.
type harness struct {
	experiment Experiment
	options    Options
	candidates []candidate
	closers    []func()
}

// Run runs an experiment. Each run takes every policy in turn through all
// conditions, with the same arrivals.
func Run(ctx context.Context, e Experiment, o Options, loggers *logger.Set) (*Report, error) {
	if o.TimeScale == 0 {
		o.TimeScale = e.TimeScale
	}
	if o.MeasuredDuration == 0 {
		o.MeasuredDuration = e.MeasuredDuration
	}
	h := &harness{experiment: e, options: o}
	defer h.close()
	if err := h.start(loggers); err != nil {
		return nil, err
	}
	for _, c := range h.candidates {
		if err := h.warmUp(ctx, c); err != nil {
			return nil, err
		}
	}
	report := &Report{Experiment: e, Options: o}
	for run := range o.Runs {
		for i := range h.candidates {
			// Rotate the order of the policies from run to run.
			c := h.candidates[(i+run)%len(h.candidates)]
			if c.name != PolicyName && run%baselineStride != 0 {
				continue
			}
			segments, err := h.runConditions(ctx, c, run)
			if err != nil {
				return nil, err
			}
			report.add(segments)
		}
	}
	return report, nil
}

// start starts the deployment and, for the baselines, separate backend servers.
func (h *harness) start(loggers *logger.Set) error {
	plan := h.options.Region.Plan(h.options.TimeScale)
	executed := &executedBodies{}
	plan.Observe = executed.add
	d, err := demonstrator.New(plan, loggers)
	if err != nil {
		return err
	}
	h.closers = append(h.closers, d.Close)
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxConnectionsPerHost, MaxConnsPerHost: maxConnectionsPerHost, DisableCompression: true,
	}}
	h.closers = append(h.closers, client.CloseIdleConnections)
	h.addCandidate(PolicyName, &deployedPolicy{d, client, executed}, d, plan)
	if !h.experiment.Baselines {
		return nil
	}
	plan.Observe = nil
	servers, err := demonstrator.NewServers(plan, loggers)
	if err != nil {
		return err
	}
	h.closers = append(h.closers, servers.Close)
	for _, l := range []loadBalancing{powerOfTwoChoices{}, leastOutstanding{}} {
		b := newBaseline(l, plan, servers.Servers)
		h.closers = append(h.closers, b.close)
		h.addCandidate(l.String(), b, servers, plan)
	}
	return nil
}

func (h *harness) addCandidate(name string, s system, d *demonstrator.Deployment, plan demonstrator.Plan) {
	g := &generator{
		region: h.options.Region, scale: h.options.TimeScale, customers: plan.Customers.Customers,
		system: s, hostCount: len(plan.Domains) * plan.HostsPerDomain, warmupDuration: h.experiment.WarmupDuration,
	}
	h.candidates = append(h.candidates, candidate{name, s, &environment{
		Deployment: d, plan: plan, firstCustomer: h.options.Region.Customers[0], generator: g,
		version: plan.Customers.Version, epoch: plan.Epoch,
	}})
}

func (h *harness) close() {
	for i := len(h.closers) - 1; i >= 0; i-- {
		h.closers[i]()
	}
}

// warmUp runs one segment without faults, so that new connections and missing
// latency estimates do not slow down the first run.
func (h *harness) warmUp(ctx context.Context, c candidate) error {
	if err := h.awaitReady(ctx, c); err != nil {
		return err
	}
	h.runSegment(ctx, c, Condition{Name: "warm-up", Loads: loadByRank(warmupLoad)}, 0)
	if b, ok := c.system.(*baseline); ok {
		b.closeIdleConnections()
	}
	return ctx.Err()
}

// runConditions runs all conditions with one policy.
func (h *harness) runConditions(ctx context.Context, c candidate, run int) ([]Segment, error) {
	var segments []Segment
	for _, condition := range h.experiment.Conditions {
		if err := h.awaitReady(ctx, c); err != nil {
			return nil, err
		}
		segments = append(segments, *h.runSegment(ctx, c, condition, run))
		c.environment.restore()
	}
	if b, ok := c.system.(*baseline); ok {
		b.closeIdleConnections()
	}
	return segments, ctx.Err()
}

// awaitReady waits until every host answers every customer completely.
func (h *harness) awaitReady(ctx context.Context, c candidate) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	g := c.environment.generator
	failures := make(chan error, g.hostCount*len(g.customers))
	var group sync.WaitGroup
	for host := range g.hostCount {
		for _, customer := range g.customers {
			group.Go(func() {
				q := query{customer: customer, work: demonstrator.DeferrableWork, timeout: time.Second, token: "ready", host: host}
				if !awaitCompleteAnswer(ctx, c.system, q) {
					failures <- fmt.Errorf("%w: policy %q, host %d, customer %s", ErrNotReady, c.name, host+1, customer.ID)
				}
			})
		}
	}
	group.Wait()
	close(failures)
	return <-failures
}

// awaitCompleteAnswer repeats a query until it is answered completely. It reports
// false if the context ends first.
func awaitCompleteAnswer(ctx context.Context, s system, q query) bool {
	for runQuery(ctx, s, q).coverage != 1 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(readyRetryInterval):
		}
	}
	return true
}

// runSegment runs one condition and collects its outcomes on one goroutine.
func (h *harness) runSegment(ctx context.Context, c candidate, condition Condition, run int) *Segment {
	s := newSegment()
	s.Policy, s.Condition = c.name, condition.Name
	s.Capacity = c.environment.firstCustomer.Capacity(h.options.TimeScale)
	s.MeasuredDuration = h.options.MeasuredDuration
	s.TimeScale = h.options.TimeScale
	s.Cores = runtime.NumCPU()
	end := h.experiment.WarmupDuration + h.options.MeasuredDuration
	arrivals := generateArrivals(h.options.Region, condition.Loads, h.options.TimeScale, end, h.options.Seed+uint64(run))
	totalsBefore := collectTotals(c.environment)
	start, cpuBefore := time.Now(), cpuTime()
	outcomes := make(chan outcome, len(arrivals))
	c.environment.generator.outcomes = outcomes
	taskCtx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { c.environment.runSteps(taskCtx, condition.Steps) })
	monitor := &outageMonitor{environment: c.environment}
	tasks.Go(func() { monitor.run(taskCtx) })
	var collector sync.WaitGroup
	collector.Go(func() {
		for o := range outcomes {
			s.add(o)
		}
	})
	c.environment.generator.send(ctx, arrivals, fmt.Sprintf("%s/%d", condition.Name, run))
	close(outcomes)
	collector.Wait()
	cancel()
	tasks.Wait()
	s.WallTime, s.CPUTime = time.Since(start), cpuTime()-cpuBefore
	s.LostServices = monitor.outages
	if d, ok := c.system.(*deployedPolicy); ok {
		s.checkRefusals(d.executed)
	}
	collectTotals(c.environment).recordSince(totalsBefore, s)
	return s
}

// serverTotals sums up the counters of the backend servers.
type serverTotals struct {
	executedAttempts, lateRuns int
	// crashes counts the crashes by service of the first customer.
	crashes []int
	// maxConnections is the highest number of connections open at one server when the
	// totals are collected.
	maxConnections int
}

func collectTotals(e *environment) serverTotals {
	t := serverTotals{crashes: make([]int, e.firstCustomer.Services)}
	for i, server := range e.Servers {
		tally := server.Tally()
		t.executedAttempts += tally.Runs
		t.lateRuns += tally.LateRuns
		t.maxConnections = max(t.maxConnections, tally.OpenConnections)
		if service := i / e.firstCustomer.Servers; service < len(t.crashes) {
			t.crashes[service] += tally.Crashes
		}
	}
	return t
}

// recordSince stores the differences from the earlier totals in the segment.
func (t serverTotals) recordSince(before serverTotals, s *Segment) {
	s.ExecutedAttempts = t.executedAttempts - before.executedAttempts
	s.LateRuns = t.lateRuns - before.lateRuns
	s.MaxConnections = t.maxConnections
	for i := range t.crashes {
		s.Crashes = max(s.Crashes, t.crashes[i]-before.crashes[i])
	}
}

// outageMonitor counts how often all servers of one of the first customer's
// services are down at once.
type outageMonitor struct {
	environment *environment
	outages     int
}

func (m *outageMonitor) run(ctx context.Context) {
	down := map[int]bool{}
	tick := time.NewTicker(outageSampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for service := range m.environment.firstCustomer.Services {
			isDown := m.allDown(service)
			if isDown && !down[service] {
				m.outages++
			}
			down[service] = isDown
		}
	}
}

func (m *outageMonitor) allDown(service int) bool {
	for _, server := range m.environment.selectServers(Selection{service, All}) {
		if !server.Down() {
			return false
		}
	}
	return true
}

// cpuTime returns the CPU time that the process has used, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// allRanks lists all ranks in order.
var allRanks = [identifier.RankCount]identifier.Rank{identifier.Urgent, identifier.Standard, identifier.Deferrable}
