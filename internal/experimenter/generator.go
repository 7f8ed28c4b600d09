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
	// backgroundLoad is the load offered to every customer but the first, as a
	// share of what its slots can serve.
	backgroundLoad = 0.1
	// replyGrace is how long the tool waits for an answer after its timeout.
	replyGrace = time.Second
)

// arrival is the intended send time of a query, from the start of the segment.
type arrival struct {
	at       time.Duration
	customer int
	rank     identifier.Rank
}

// schedule draws Poisson arrivals for all customers of the region until the
// end, in order of time. The same seed gives the same arrivals.
func schedule(
	r demonstrator.Region, offered [identifier.RankCount]float64, scale float64, end time.Duration, seed uint64,
) []arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var list []arrival
	for customer, shape := range r.Customers {
		shares := offered
		if customer > 0 {
			shares = loads(backgroundLoad)
		}
		for rank, share := range shares {
			rate := share * shape.Capacity(scale)
			if rate == 0 {
				continue
			}
			mean := float64(time.Second) / rate
			for at := time.Duration(0); ; {
				at += time.Duration(random.ExpFloat64() * mean)
				if at >= end {
					break
				}
				list = append(list, arrival{at, customer, identifier.Rank(rank)})
			}
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

// generator sends the load of one segment, open loop.
type generator struct {
	region    demonstrator.Region
	scale     float64
	customers []configurer.Customer
	subject   subject
	hosts     int
	warmup    time.Duration
	outcomes  chan<- outcome
}

// send plays the arrivals and returns when every query has ended. The token
// makes bodies unique.
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
			g.outcomes <- g.one(ctx, a, intended, fmt.Sprintf("%s/%d", token, i), i%g.hosts)
		})
	}
}

// one sends one query. Its latency counts from the intended send time and
// includes the delay to the caller both ways.
func (g *generator) one(ctx context.Context, a arrival, intended time.Time, token string, host int) outcome {
	delay := demonstrator.Scaled(g.region.ClientDelay, g.scale)
	timeout := demonstrator.Scaled(g.region.Timeouts[a.rank], g.scale)
	lag := time.Since(intended) - delay
	ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
	defer cancel()
	r := ask(ctx, g.subject, query{
		customer: g.customers[a.customer], work: demonstrator.WorkKinds[a.rank], timeout: timeout,
		minCoverage: identifier.Ratio(g.region.MinCoverage[a.rank]), token: token, host: host,
	})
	latency := time.Since(intended) + delay
	return outcome{
		kind: r.kind, customer: a.customer, rank: a.rank, measured: a.at >= g.warmup,
		latency: latency, inTime: latency <= timeout+2*delay+timeoutSlack, lag: lag,
		parts: r.parts, coverage: r.coverage, violation: r.violation, token: token,
	}
}

// timeoutSlack is how far past its timeout an answer may reach the caller and
// still count as in time.
const timeoutSlack = 10 * time.Millisecond
