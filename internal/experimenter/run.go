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
	// PolicyName is the name of the policy as it stands in reports.
	PolicyName = "lagooncleat"
	// readyTimeout bounds the wait until all hosts answer in full.
	readyTimeout = 20 * time.Second
	// readyInterval separates the tries.
	readyInterval = 20 * time.Millisecond
	// sampleInterval separates the looks at which servers are down.
	sampleInterval = 20 * time.Millisecond
	// baselineStride is of how many runs the baselines play one, so that an
	// experiment ends within a minute.
	baselineStride = 2
	// warmLoad is the load of the segment before the first run.
	warmLoad = 0.5
	// clientConnections bounds the tool's connections to one entry host.
	clientConnections = 1000
)

// ErrNotReady reports that the deployment never answered in full.
var ErrNotReady = errors.New("experimenter: the entry hosts did not answer in full")

// Options are the choices of a caller; zero values take the experiment's defaults.
type Options struct {
	Region demonstrator.Region
	Runs   int
	// Measured is the measured span of each segment.
	Measured  time.Duration
	TimeScale float64
	Seed      uint64
}

// contestant is a subject and the stage that its actions play on.
type contestant struct {
	name    string
	subject subject
	stage   *stage
}

// bench holds all that an experiment runs on.
type bench struct {
	experiment  Experiment
	options     Options
	contestants []contestant
	closers     []func()
}

// Run plays an experiment: in each run every policy in turn, and each in all
// conditions, with the same arrivals.
func Run(ctx context.Context, e Experiment, o Options, loggers *logger.Set) (*Report, error) {
	if o.TimeScale == 0 {
		o.TimeScale = e.TimeScale
	}
	if o.Measured == 0 {
		o.Measured = e.Measured
	}
	b := &bench{experiment: e, options: o}
	defer b.close()
	if err := b.open(loggers); err != nil {
		return nil, err
	}
	for _, c := range b.contestants {
		if err := b.warm(ctx, c); err != nil {
			return nil, err
		}
	}
	report := &Report{Experiment: e, Options: o}
	for run := range o.Runs {
		for i := range b.contestants {
			// The first of a run changes from run to run.
			c := b.contestants[(i+run)%len(b.contestants)]
			if c.name != PolicyName && run%baselineStride != 0 {
				continue
			}
			segments, err := b.playRun(ctx, c, run)
			if err != nil {
				return nil, err
			}
			report.add(segments)
		}
	}
	return report, nil
}

// open starts the deployment and, for the baselines, their own backend servers.
func (b *bench) open(loggers *logger.Set) error {
	plan := b.options.Region.Plan(b.options.TimeScale)
	ran := &ranTokens{}
	plan.Observe = ran.add
	d, err := demonstrator.New(plan, loggers)
	if err != nil {
		return err
	}
	b.closers = append(b.closers, d.Close)
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: clientConnections, MaxConnsPerHost: clientConnections, DisableCompression: true,
	}}
	b.closers = append(b.closers, client.CloseIdleConnections)
	b.enter(PolicyName, &deployed{d, client, ran}, d, plan)
	if !b.experiment.Baselines {
		return nil
	}
	plan.Observe = nil
	servers, err := demonstrator.NewServers(plan, loggers)
	if err != nil {
		return err
	}
	b.closers = append(b.closers, servers.Close)
	for _, c := range []choice{twoRandom{}, leastOwn{}} {
		a := newAlone(c, plan, servers.Servers)
		b.closers = append(b.closers, a.close)
		b.enter(c.String(), a, servers, plan)
	}
	return nil
}

func (b *bench) enter(name string, s subject, d *demonstrator.Deployment, plan demonstrator.Plan) {
	g := &generator{
		region: b.options.Region, scale: b.options.TimeScale, customers: plan.Customers.Customers,
		subject: s, hosts: len(plan.Domains) * plan.HostsPerDomain, warmup: b.experiment.Warmup,
	}
	b.contestants = append(b.contestants, contestant{name, s, &stage{
		Deployment: d, plan: plan, customer: b.options.Region.Customers[0], generator: g,
		version: plan.Customers.Version, epoch: plan.Epoch,
	}})
}

func (b *bench) close() {
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
}

// warm plays the load of the first condition once, without its faults, so that
// no run pays for first connections and estimates.
func (b *bench) warm(ctx context.Context, c contestant) error {
	if err := b.awaitReady(ctx, c); err != nil {
		return err
	}
	b.playSegment(ctx, c, Condition{Name: "warm-up", Loads: loads(warmLoad)}, 0)
	if a, ok := c.subject.(*alone); ok {
		a.rest()
	}
	return ctx.Err()
}

// playRun plays all conditions with one policy.
func (b *bench) playRun(ctx context.Context, c contestant, run int) ([]Segment, error) {
	var segments []Segment
	for _, condition := range b.experiment.Conditions {
		if err := b.awaitReady(ctx, c); err != nil {
			return nil, err
		}
		segments = append(segments, *b.playSegment(ctx, c, condition, run))
		c.stage.restore()
	}
	if a, ok := c.subject.(*alone); ok {
		a.rest()
	}
	return segments, ctx.Err()
}

// awaitReady waits until every host answers every customer in full.
func (b *bench) awaitReady(ctx context.Context, c contestant) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	g := c.stage.generator
	failures := make(chan error, g.hosts*len(g.customers))
	var group sync.WaitGroup
	for host := range g.hosts {
		for _, customer := range g.customers {
			group.Go(func() {
				q := query{customer: customer, work: demonstrator.DeferrableWork, timeout: time.Second, token: "ready", host: host}
				if !awaitAnswer(ctx, c.subject, q) {
					failures <- fmt.Errorf("%w: %s, host %d, customer %s", ErrNotReady, c.name, host+1, customer.ID)
				}
			})
		}
	}
	group.Wait()
	close(failures)
	return <-failures
}

// awaitAnswer repeats a query until it is answered in full. It reports false
// when the context ends first.
func awaitAnswer(ctx context.Context, s subject, q query) bool {
	for ask(ctx, s, q).coverage != 1 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(readyInterval):
		}
	}
	return true
}

// playSegment plays one condition and collects its outcomes on one goroutine.
func (b *bench) playSegment(ctx context.Context, c contestant, condition Condition, run int) *Segment {
	s := newSegment()
	s.Policy, s.Condition = c.name, condition.Name
	s.Capacity = c.stage.customer.Capacity(b.options.TimeScale)
	s.Measured = b.options.Measured
	s.TimeScale = b.options.TimeScale
	s.Cores = runtime.NumCPU()
	end := b.experiment.Warmup + b.options.Measured
	arrivals := schedule(b.options.Region, condition.Loads, b.options.TimeScale, end, b.options.Seed+uint64(run))
	before := takeTallies(c.stage)
	start, used := time.Now(), processorTime()
	outcomes := make(chan outcome, len(arrivals))
	c.stage.generator.outcomes = outcomes
	background, cancel := context.WithCancel(ctx)
	var helpers sync.WaitGroup
	helpers.Go(func() { c.stage.play(background, condition.Steps) })
	watch := &watcher{stage: c.stage}
	helpers.Go(func() { watch.run(background) })
	var collector sync.WaitGroup
	collector.Go(func() {
		for o := range outcomes {
			s.add(o)
		}
	})
	c.stage.generator.send(ctx, arrivals, fmt.Sprintf("%s/%d", condition.Name, run))
	close(outcomes)
	collector.Wait()
	cancel()
	helpers.Wait()
	s.Wall, s.Processor = time.Since(start), processorTime()-used
	s.LostServices = watch.lost
	if d, ok := c.subject.(*deployed); ok {
		s.checkRefusals(d.ran)
	}
	takeTallies(c.stage).since(before, s)
	return s
}

// tallies are what the backend servers have done until now.
type tallies struct {
	runs, lateRuns int
	// crashes are by service of the first customer.
	crashes     []int
	connections int
}

func takeTallies(s *stage) tallies {
	t := tallies{crashes: make([]int, s.customer.Services)}
	for i, f := range s.Servers {
		tally := f.Tally()
		t.runs += tally.Runs
		t.lateRuns += tally.LateRuns
		t.connections = max(t.connections, tally.Open)
		if service := i / s.customer.Servers; service < len(t.crashes) {
			t.crashes[service] += tally.Crashes
		}
	}
	return t
}

// since writes what was done after the earlier tallies into the segment.
func (t tallies) since(before tallies, s *Segment) {
	s.Runs = t.runs - before.runs
	s.LateRuns = t.lateRuns - before.lateRuns
	s.Connections = t.connections
	for i := range t.crashes {
		s.Crashes = max(s.Crashes, t.crashes[i]-before.crashes[i])
	}
}

// watcher counts the first customer's services that lose all servers at once.
type watcher struct {
	stage *stage
	lost  int
}

func (w *watcher) run(ctx context.Context) {
	down := map[int]bool{}
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for service := range w.stage.customer.Services {
			gone := w.allDown(service)
			if gone && !down[service] {
				w.lost++
			}
			down[service] = gone
		}
	}
}

func (w *watcher) allDown(service int) bool {
	for _, f := range w.stage.selected(Selection{service, All}) {
		if !f.Down() {
			return false
		}
	}
	return true
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ranks are all ranks, in order.
var ranks = [identifier.RankCount]identifier.Rank{identifier.Urgent, identifier.Standard, identifier.Deferrable}
