package experimenter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// stagger separates the servers or hosts that take up a change one after the other.
const stagger = 5 * time.Millisecond

// stage is where the actions of a segment take effect.
type stage struct {
	*demonstrator.Deployment
	plan      demonstrator.Plan
	customer  demonstrator.RegionCustomer
	generator *generator
	version   identifier.Version
	epoch     identifier.Epoch
	// marked counts the queries that crash servers, so that each run has one
	// that no host has seen.
	marked int
}

// play carries out the steps at their times and returns after the last one, or
// when the context ends.
func (s *stage) play(ctx context.Context, steps []Step) {
	start := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for _, step := range steps {
		select {
		case <-time.After(time.Until(start.Add(step.After))):
		case <-ctx.Done():
			return
		}
		group.Go(func() { s.act(ctx, step.Action) })
	}
}

func (s *stage) act(ctx context.Context, action Action) {
	switch a := action.(type) {
	case Conduct:
		for _, f := range s.selected(a.Server) {
			f.SetConduct(a.Conduct)
		}
	case Crash:
		for _, f := range s.selected(a.Server) {
			f.Crash(a.Delay)
		}
	case SetDomainCondition:
		s.SetDomainCondition(a.Domain, a.Condition)
	case HoldSnapshots:
		s.holdSnapshots(a)
	case Repartition:
		s.repartition(a.Epoch)
	case SendMarked:
		s.sendMarked(ctx, a)
	default:
		panic(fmt.Sprintf("experimenter: unknown action %T", action))
	}
}

// selected returns the first customer's servers at the selected positions. The
// plan starts them first, service by service.
func (s *stage) selected(selection Selection) []*faker.Server {
	var list []*faker.Server
	for i, f := range s.Servers[:s.customer.Services*s.customer.Servers] {
		if selection.selects(i/s.customer.Servers, i%s.customer.Servers) {
			list = append(list, f)
		}
	}
	return list
}

// partitionOf divides the hash space among the first customer's services. Each
// epoch gives the ranges to other services than the one before.
func (s *stage) partitionOf(e identifier.Epoch) configurer.Partition {
	names := s.customer.ServiceNames()
	turn := int(e-1) % len(names)
	return configurer.EvenPartition(e, append(append([]identifier.ServiceID{}, names[turn:]...), names[:turn]...))
}

func (s *stage) holdSnapshots(a HoldSnapshots) {
	for _, f := range s.selected(Selection{All, All}) {
		var holdings []leaser.Holding
		for _, e := range a.Epochs {
			for _, shard := range s.partitionOf(e).Shards {
				if shard.Service == f.Parameters().Service {
					holdings = append(holdings, leaser.Holding{Epoch: e, Range: shard.Range, Versions: a.Versions})
				}
			}
		}
		f.SetHoldings(holdings)
		time.Sleep(stagger)
	}
}

// repartition puts a configuration of a higher version in force, host by host.
func (s *stage) repartition(e identifier.Epoch) {
	s.version++
	s.epoch = e
	customers := append([]configurer.Customer{}, s.plan.Customers.Customers...)
	customers[0].Partition = s.partitionOf(e)
	for _, h := range s.Hosts {
		h.Deliver(reducer.ConfigurationLoaded{
			Version: s.version, Templates: s.plan.Customers.Templates, Customers: customers,
		})
		time.Sleep(stagger)
	}
}

// sendMarked resends one query that crashes servers to one host after the other.
func (s *stage) sendMarked(ctx context.Context, a SendMarked) {
	var group sync.WaitGroup
	defer group.Wait()
	timeout := demonstrator.Scaled(s.generator.region.Timeouts[identifier.Urgent], s.generator.scale)
	s.marked++
	token := fmt.Sprintf("%s-%d", marker, s.marked)
	tick := time.NewTicker(a.Interval)
	defer tick.Stop()
	for i := range a.Times {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
			defer cancel()
			ask(ctx, s.generator.subject, query{
				customer: s.generator.customers[0], work: demonstrator.UrgentWork,
				timeout: timeout, token: token, host: i % s.generator.hosts,
			})
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// restore undoes what the actions of a segment did.
func (s *stage) restore() {
	for _, f := range s.Servers {
		f.SetConduct(faker.Conduct{})
	}
	for _, l := range s.Links {
		l.Relay.SetCondition(relayer.Forwarding{})
	}
	if s.epoch == s.plan.Epoch {
		return
	}
	s.holdSnapshots(HoldSnapshots{Epochs: []identifier.Epoch{s.epoch, s.plan.Epoch}, Versions: s.plan.Versions})
	s.repartition(s.plan.Epoch)
	s.holdSnapshots(HoldSnapshots{Epochs: []identifier.Epoch{s.plan.Epoch}, Versions: s.plan.Versions})
}
