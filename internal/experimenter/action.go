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

// staggerInterval is the time between two servers or hosts to which a change is
// applied one after the other.
const staggerInterval = 5 * time.Millisecond

// environment is the deployment that the actions of a segment change.
type environment struct {
	*demonstrator.Deployment
	plan          demonstrator.Plan
	firstCustomer demonstrator.RegionCustomer
	generator     *generator
	version       identifier.Version
	epoch         identifier.Epoch
	// crashQueries counts the crash queries, which gives each run a query that no
	// host has seen.
	crashQueries int
}

// runSteps applies the steps at their times and returns after the last one, or
// when the context ends.
func (e *environment) runSteps(ctx context.Context, steps []Step) {
	start := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for _, step := range steps {
		select {
		case <-time.After(time.Until(start.Add(step.After))):
		case <-ctx.Done():
			return
		}
		group.Go(func() { e.apply(ctx, step.Action) })
	}
}

func (e *environment) apply(ctx context.Context, action Action) {
	switch a := action.(type) {
	case SetBehaviour:
		for _, server := range e.selectServers(a.Servers) {
			server.SetBehaviour(a.Behaviour)
		}
	case Crash:
		for _, server := range e.selectServers(a.Servers) {
			server.Crash(a.Delay)
		}
	case SetDomainCondition:
		e.SetDomainCondition(a.Domain, a.Condition)
	case SetSnapshots:
		e.setSnapshots(a)
	case Repartition:
		e.repartition(a.Epoch)
	case SendCrashQuery:
		e.sendCrashQuery(ctx, a)
	default:
		panic(fmt.Sprintf("experimenter: unknown action %T", action))
	}
}

// selectServers returns the selected servers of the first customer. The plan
// starts these servers first, service by service.
func (e *environment) selectServers(selection Selection) []*faker.Server {
	var servers []*faker.Server
	for i, server := range e.Servers[:e.firstCustomer.Services*e.firstCustomer.Servers] {
		if selection.selects(i/e.firstCustomer.Servers, i%e.firstCustomer.Servers) {
			servers = append(servers, server)
		}
	}
	return servers
}

// partitionOf divides the hash space evenly among the first customer's services.
// Each epoch assigns the ranges to other services than the previous epoch.
func (e *environment) partitionOf(epoch identifier.Epoch) configurer.Partition {
	names := e.firstCustomer.ServiceNames()
	shift := int(epoch-1) % len(names)
	return configurer.EvenPartition(epoch, append(append([]identifier.ServiceID{}, names[shift:]...), names[:shift]...))
}

// setSnapshots makes all servers of the first customer hold the epochs and index
// versions.
func (e *environment) setSnapshots(a SetSnapshots) {
	for _, server := range e.selectServers(Selection{All, All}) {
		var holdings []leaser.Holding
		for _, epoch := range a.Epochs {
			for _, shard := range e.partitionOf(epoch).Shards {
				if shard.Service == server.Parameters().Service {
					holdings = append(holdings, leaser.Holding{Epoch: epoch, Range: shard.Range, Versions: a.Versions})
				}
			}
		}
		server.SetHoldings(holdings)
		time.Sleep(staggerInterval)
	}
}

// repartition puts a configuration with the next version and the epoch's partition
// in force on one entry host after the other.
func (e *environment) repartition(epoch identifier.Epoch) {
	e.version++
	e.epoch = epoch
	customers := append([]configurer.Customer{}, e.plan.Customers.Customers...)
	customers[0].Partition = e.partitionOf(epoch)
	for _, h := range e.Hosts {
		h.Deliver(reducer.ConfigurationLoaded{
			Version: e.version, Templates: e.plan.Customers.Templates, Customers: customers,
		})
		time.Sleep(staggerInterval)
	}
}

// sendCrashQuery repeatedly sends the same crash query to one entry host after the
// other.
func (e *environment) sendCrashQuery(ctx context.Context, a SendCrashQuery) {
	var group sync.WaitGroup
	defer group.Wait()
	timeout := demonstrator.Scaled(e.generator.region.Timeouts[identifier.Urgent], e.generator.scale)
	e.crashQueries++
	token := fmt.Sprintf("%s-%d", crashMarker, e.crashQueries)
	tick := time.NewTicker(a.Interval)
	defer tick.Stop()
	for i := range a.Times {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
			defer cancel()
			runQuery(ctx, e.generator.system, query{
				customer: e.generator.customers[0], work: demonstrator.UrgentWork,
				timeout: timeout, token: token, host: i % e.generator.hostCount,
			})
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// restore undoes the actions of a segment. The servers hold both epochs during
// the repartition.
func (e *environment) restore() {
	for _, server := range e.Servers {
		server.SetBehaviour(faker.Behaviour{})
	}
	for _, l := range e.Links {
		l.Relay.SetCondition(relayer.Forwarding{})
	}
	if e.epoch == e.plan.Epoch {
		return
	}
	e.setSnapshots(SetSnapshots{Epochs: []identifier.Epoch{e.epoch, e.plan.Epoch}, Versions: e.plan.Versions})
	e.repartition(e.plan.Epoch)
	e.setSnapshots(SetSnapshots{Epochs: []identifier.Epoch{e.plan.Epoch}, Versions: e.plan.Versions})
}
