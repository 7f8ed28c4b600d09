package allocator_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/allocator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	shards       = 36
	serverCount  = 3
	hosts        = 60
	queryCount   = 1035 // 115 a second for 9 s
	incidentTime = 9.0
	// extraShare and extraSlack limit the extra attempts to a service of all hosts together.
	extraShare, extraSlack = 0.2, 214
	// Each host earns and saves up extra attempts of its own, and borrows one at a time, as pkg/reducer does.
	earned, savedSlack, lentSlack = 0.65, 0.4, 0.55
	reportInterval                = 0.4
)

// playedBudget is the budget of extra attempts to one service.
type playedBudget struct {
	tokens       [hosts]float64
	borrowedAt   [hosts]float64
	lent, extras int
	firsts       int
}

// available returns how many extra attempts a host may send at a time.
func (b *playedBudget) available(host int, now float64) float64 {
	n := b.tokens[host]
	if float64(b.lent) < lentSlack*extraSlack && now-b.borrowedAt[host] >= reportInterval {
		n++
	}
	return n
}

func (b *playedBudget) spend(host int, now float64) {
	b.extras++
	if b.tokens[host] >= 1 {
		b.tokens[host]--
		return
	}
	b.lent++
	b.borrowedAt[host] = now
}

// play returns the shares of queries that are whole and begun, and how many were begun without a chance.
func play(seed uint64, share, ratio float64, required int) (whole, begun float64, hopeless int) {
	random := rand.New(rand.NewPCG(seed, 1))
	least := make([]float64, shards)
	for i := range least {
		least[i] = ratio
		for range serverCount {
			if random.Float64() >= share {
				least[i] = 0
			}
		}
	}
	budgets := make([]playedBudget, shards)
	for i := range budgets {
		for h := range hosts {
			budgets[i].tokens[h] = max(1, savedSlack*extraSlack/hosts)
		}
	}
	for n := range queryCount {
		now, host := 1+incidentTime*float64(n)/queryCount, random.IntN(hosts)
		pieces := make([]allocator.Piece, shards)
		refresh := func() {
			for i := range pieces {
				pieces[i].Budget = budgets[i].available(host, now)
			}
		}
		for i := range pieces {
			pieces[i].Rejection = identifier.Ratio(least[i])
		}
		refresh()
		if !allocator.MayBegin(pieces, required) {
			continue
		}
		begun++
		if (allocator.Decide(pieces, required) == allocator.Decision(allocator.Lost{})) {
			hopeless++
		}
		attempt := func(i int) {
			pieces[i].Stage = allocator.Rejected
			if random.Float64() >= least[i] {
				pieces[i].Stage = allocator.Served
			}
		}
		for i := range pieces {
			attempt(i)
			budgets[i].firsts++
			budgets[i].tokens[host] = min(max(1, savedSlack*extraSlack/hosts), budgets[i].tokens[host]+earned*extraShare)
		}
		for {
			refresh()
			proceed, ok := allocator.Decide(pieces, required).(allocator.Proceed)
			if !ok {
				break
			}
			if len(proceed.Pieces) == 0 {
				whole++
				break
			}
			for _, i := range proceed.Pieces {
				if budgets[i].available(host, now) >= 1 {
					budgets[i].spend(host, now)
					attempt(i)
				}
			}
		}
	}
	for i := range budgets {
		gomega.Expect(float64(budgets[i].extras)).To(gomega.BeNumerically("<=", extraShare*float64(budgets[i].firsts)+extraSlack))
	}
	return whole / queryCount, begun / queryCount, hopeless
}

var _ = ginkgo.Describe("an allocator", func() {
	for _, c := range []struct {
		share, ratio float64
		required     int
		// minWhole is the least share of whole queries, over several seeds.
		minWhole float64
	}{
		{0.5, 0.45, 35, 0.6},
		{0.5, 0.45, 31, 0.95},
		{0.8, 0.6, 35, 0},
		{0.8, 0.6, 31, 0.2},
		{0, 0, 36, 1},
	} {
		ginkgo.It(fmt.Sprintf("makes queries whole with %.2f of the servers rejecting %.2f and %d of 36 required", c.share, c.ratio, c.required), func() {
			const seeds = 20
			whole, begun, hopeless := 0.0, 0.0, 0
			for seed := range uint64(seeds) {
				w, b, h := play(seed, c.share, c.ratio, c.required)
				whole, begun, hopeless = whole+w/seeds, begun+b/seeds, hopeless+h
			}
			fmt.Fprintf(ginkgo.GinkgoWriter, "played: %.2f %.2f %d of 36: whole %.3f begun %.3f\n", c.share, c.ratio, c.required, whole, begun)
			gomega.Expect(whole).To(gomega.BeNumerically(">=", c.minWhole))
			gomega.Expect(hopeless).To(gomega.BeZero())
		})
	}
})
