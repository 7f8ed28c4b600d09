package permitter_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/authenticator"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

const keyCount = 10_000

func manyCustomers() ([]declarer.Customer, []string) {
	var customers []declarer.Customer
	var keys []string
	for i := range keyCount {
		key := fmt.Sprintf("k%019d", i)
		keys = append(keys, key)
		customers = append(customers, declarer.Customer{
			ID: customer(fmt.Sprintf("customer-%d", i)), Keys: []declarer.KeyDigest{declarer.DigestKey(key)}, Rate: 5, Burst: 5,
		})
	}
	return customers, keys
}

// BenchmarkAdmission measures what keys, the proof and quotas add to the path of a request: the digest of the key,
// the lookup of its customer, the check of the proof, and a credit. The target is 2 us and no allocation.
func BenchmarkAdmission(b *testing.B) {
	customers, keys := manyCustomers()
	a := authenticator.New(customers, true)
	var proof permitter.Permission
	proof.Renew(identifier.Instant(identifier.Minute), identifier.Second)
	now := identifier.Instant(identifier.Minute)
	holder := permitter.NewHolder[customer](permitter.QuotaTerms)
	for i := range customers {
		holder.Use(now, customers[i].ID)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		c, ok := a.Authenticate(declarer.DigestKey(keys[i%keyCount]))
		if !ok || !proof.Holds(now) {
			b.Fatal("not admitted")
		}
		holder.Use(now, c.ID)
		holder.Take(now, c.ID)
		i++
	}
}

// BenchmarkCustomersMemory reports the memory that 10,000 customers need on an entry host, besides the declaration's
// other parts.
func BenchmarkCustomersMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		customers, keys := manyCustomers()
		clear(keys)
		a := authenticator.New(customers, true)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(a)
	}
}

// BenchmarkCredit plays a minute of requests of 75 customers at 8 control hosts, one of them the owner, and
// reports what a request waits for its credit, which share is refused, and the messages a second at the owner.
// A message takes a millisecond.
func BenchmarkCredit(b *testing.B) {
	for _, load := range []float64{0.5, 0.95, 1.5} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) {
			for b.Loop() {
				r := playCredits(load, permitter.Limit{Rate: 5, Burst: 5})
				slices.Sort(r.waits)
				b.ReportMetric(float64(r.waits[len(r.waits)/2]), "p50-us")
				b.ReportMetric(float64(r.waits[len(r.waits)*99/100]), "p99-us")
				b.ReportMetric(float64(r.refused)/float64(r.refused+len(r.waits)), "refused")
				b.ReportMetric(float64(r.reports)/60, "reports/s")
			}
		})
	}
}

// BenchmarkMessages reports the messages a second at the owner and at each control host for quotas, and the reads of
// the declaration's version for proofs, by the number of entry hosts, each with two requests a second of 75 customers.
// Answers are not counted.
func BenchmarkMessages(b *testing.B) {
	const (
		load           = 0.6
		requestsByHost = 2
		customers      = 75
		controlHosts   = 8
		polls          = 2.5
	)
	for _, hosts := range []int{62, 195, 600} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				rate := identifier.Rate(float64(hosts) * requestsByHost / customers / load)
				r := playCredits(load, permitter.Limit{Rate: rate, Burst: float64(rate)})
				b.ReportMetric(float64(r.reports)/60, "reports-at-owner/s")
				b.ReportMetric(float64(len(r.waits)+r.refused)/60/controlHosts, "credits-at-control-host/s")
				b.ReportMetric(playProofs(hosts/controlHosts, polls), "reads-by-control-host/s")
			}
		})
	}
}

// playProofs returns how many reads a second a control host begins for the polls of its entry hosts.
func playProofs(hosts int, polls float64) float64 {
	p := permitter.NewProver()
	now := identifier.Instant(identifier.Minute)
	reads := 0
	interval := identifier.Micros(float64(identifier.Second) / polls / float64(hosts))
	for i := range int(60 * polls * float64(hosts)) {
		now = now.Add(interval)
		p.Finish(true, 1)
		p.Ask(identifier.HostID(fmt.Sprint(i%hosts)), permitter.Reading{Process: 1, At: now})
		if p.Begin(now) {
			reads++
		}
	}
	return float64(reads) / 60
}

type creditResult struct {
	waits            []identifier.Micros
	refused, reports int
}

// playCredits plays requests at a fraction of the customers' limits, which are the same for all.
func playCredits(load float64, limit permitter.Limit) creditResult {
	const (
		hosts     = 8
		customers = 75
		way       = identifier.Millisecond
		patience  = 125 * identifier.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 1))
	now := identifier.Instant(identifier.Minute)
	owner := permitter.NewAllotter[customer](now, "owner", tolerance, permitter.QuotaTerms)
	limits := map[customer]permitter.Limit{}
	for i := range customers {
		limits[customer(fmt.Sprintf("c-%d", i))] = limit
	}
	owner.SetLimits(now, limits)
	ids := owner.Accounts()
	holders := make([]*permitter.Holder[customer], hosts)
	for i := range holders {
		holders[i] = permitter.NewHolder[customer](permitter.QuotaTerms)
	}
	type waiting struct {
		host int
		id   customer
		at   identifier.Instant
	}
	var (
		result  creditResult
		queue   []waiting
		answers []permitter.Answer[customer]
		to      []int
	)
	now = now.Add(20 * identifier.Second)
	end := now.Add(identifier.Minute)
	next := now
	for ; now < end; now = now.Add(way) {
		for i, a := range answers {
			holders[to[i]].Receive(now, a)
		}
		answers, to = answers[:0], to[:0]
		for next <= now {
			next = next.Add(identifier.Micros(random.ExpFloat64() * float64(identifier.Second) / (load * customers * float64(limit.Rate))))
			w := waiting{random.IntN(hosts), ids[random.IntN(customers)], now}
			holders[w.host].Use(now, w.id)
			holders[w.host].Wait(w.id, 1)
			queue = append(queue, w)
		}
		queue = slices.DeleteFunc(queue, func(w waiting) bool {
			h := holders[w.host]
			switch {
			case h.Take(now, w.id):
				result.waits = append(result.waits, now.Since(w.at))
			case h.DeniedUntil(w.id) > now || now.Since(w.at) > patience:
				result.refused++
			default:
				return false
			}
			h.Wait(w.id, -1)
			return true
		})
		for i, h := range holders {
			if h.NextReport(now) <= now {
				result.reports++
				answers = append(answers, owner.Handle(now, identifier.HostID(fmt.Sprint(i)), h.Report(permitter.Reading{Process: 1, At: now})))
				to = append(to, i)
			}
		}
	}
	return result
}
