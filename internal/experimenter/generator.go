package experimenter

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// backgroundLoad is the offered load of every customer but the first, as a share
	// of the capacity of its slots.
	backgroundLoad = 0.1
	// replyGrace is how long the load tool waits for an answer after the timeout.
	replyGrace = time.Second
)

// arrival is a query to send. Its time counts from the start of the segment.
type arrival struct {
	at       time.Duration
	customer int
	rank     identifier.Rank
}

// generateArrivals returns random Poisson arrivals for all customers of the region until
// the end, in order of time. The same seed gives the same arrivals.
func generateArrivals(
	r demonstrator.Region, firstCustomerLoads [identifier.RankCount]float64, scale float64, end time.Duration, seed uint64,
) []arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var arrivals []arrival
	for i, customer := range r.Customers {
		shares := firstCustomerLoads
		if i > 0 {
			shares = loadByRank(backgroundLoad)
		}
		for rank, share := range shares {
			rate := share * customer.Capacity(scale)
			if rate == 0 {
				continue
			}
			mean := float64(time.Second) / rate
			for at := time.Duration(0); ; {
				at += time.Duration(random.ExpFloat64() * mean)
				if at >= end {
					break
				}
				arrivals = append(arrivals, arrival{at, i, identifier.Rank(rank)})
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}

// generator sends the load of a segment, open loop.
type generator struct {
	region         demonstrator.Region
	scale          float64
	customers      []configurer.Customer
	system         system
	hostCount      int
	warmupDuration time.Duration
	outcomes       chan<- outcome
}

// send sends the queries at their arrival times and returns when all have ended.
// The token is a prefix that makes query bodies unique.
func (g *generator) send(ctx context.Context, arrivals []arrival, token string) {
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	delay := demonstrator.Scaled(g.region.ClientDelay, g.scale)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, a := range arrivals {
		intended := start.Add(a.at)
		if wait := time.Until(intended.Add(delay)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		group.Go(func() {
			g.outcomes <- g.sendQuery(ctx, a, intended, fmt.Sprintf("%s/%d", token, i), i%g.hostCount)
		})
	}
}

// sendQuery sends one query. Its latency counts from the intended send time and
// includes the network latency between client and entry host in both directions.
func (g *generator) sendQuery(ctx context.Context, a arrival, intended time.Time, token string, host int) outcome {
	delay := demonstrator.Scaled(g.region.ClientDelay, g.scale)
	timeout := demonstrator.Scaled(g.region.Timeouts[a.rank], g.scale)
	sendLag := time.Since(intended) - delay
	ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
	defer cancel()
	r := runQuery(ctx, g.system, query{
		customer: g.customers[a.customer], work: demonstrator.WorkKinds[a.rank], timeout: timeout,
		minCoverage: identifier.Ratio(g.region.MinCoverage[a.rank]), token: token, host: host,
	})
	latency := time.Since(intended) + delay
	return outcome{
		kind: r.kind, customer: a.customer, rank: a.rank, measured: a.at >= g.warmupDuration,
		latency: latency, inTime: latency <= timeout+2*delay+timeoutSlack, sendLag: sendLag,
		parts: r.parts, coverage: r.coverage, violation: r.violation, token: token,
	}
}

// timeoutSlack is how long after its timeout an answer may reach the client and
// still count as in time.
const timeoutSlack = 10 * time.Millisecond
