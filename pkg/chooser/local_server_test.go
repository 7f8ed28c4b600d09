package chooser_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("a server of the local failure domain", func() {
	const (
		typical = 10 * ms
		// interval is the time between two attempts of a host on a server if many hosts
		// share few requests.
		interval = 800 * ms
	)
	for _, c := range []struct {
		name string
		// latencies are those of the local server, one per interval; inFlight is the
		// number of attempts in flight there.
		latencies []identifier.Micros
		interval  identifier.Micros
		inFlight  int
		chosen    identifier.ServerID
	}{
		{"is chosen without samples", nil, 0, 0, "local"},
		{"is chosen while its slots are in use", []identifier.Micros{typical, typical}, interval, 3, "local"},
		{"is not chosen when many attempts wait for each of its slots", []identifier.Micros{typical, typical}, interval, 12, "remote"},
		{"is chosen after one slow answer", []identifier.Micros{typical, 150 * ms}, interval, 0, "local"},
		{"is chosen after one slow answer with work in flight", []identifier.Micros{typical, 150 * ms}, interval, 1, "local"},
		{"is chosen after one slow answer long after the previous one", []identifier.Micros{typical, 150 * ms}, 5 * interval, 1, "local"},
		{"is chosen after two pauses", []identifier.Micros{typical, 150 * ms, typical, typical, typical, 150 * ms}, interval, 1, "local"},
		{"is chosen when its first answer was slow", []identifier.Micros{150 * ms}, interval, 0, "local"},
		{"is not chosen when it stays slow", []identifier.Micros{80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms}, interval, 0, "remote"},
	} {
		ginkgo.It(c.name, func() {
			x := chooser.New()
			candidates := []chooser.Candidate{
				{Server: "local", Slots: 3}, {Server: "remote", Slots: 3, Detour: 25 * ms},
			}
			// The highest draw neither raises the cost of a cold server nor decides a tie.
			highest := func(n int) int { return n - 1 }
			var now identifier.Instant
			choose := func() identifier.ServerID {
				id, ok := x.Choose(now, candidates, highest)
				gomega.Expect(ok).To(gomega.BeTrue())
				return id
			}
			choose()
			x.RecordLatencyWithPrior(now, "remote", typical, typical)
			for _, latency := range c.latencies {
				now = now.Add(c.interval)
				x.RecordLatencyWithPrior(now, "local", latency, typical)
			}
			for range c.inFlight {
				x.RecordStart("local", identifier.Urgent)
			}
			gomega.Expect(choose()).To(gomega.Equal(c.chosen))
		})
	}

	ginkgo.It("is chosen again some time after its only answer was slow", func() {
		x := chooser.New()
		candidates := []chooser.Candidate{{Server: "local", Slots: 3}, {Server: "remote", Slots: 3, Detour: 25 * ms}}
		choose := func(now identifier.Instant) identifier.ServerID {
			id, _ := x.Choose(now, candidates, func(n int) int { return n - 1 })
			return id
		}
		choose(0)
		x.RecordLatency(0, "local", 150*ms)
		var now identifier.Instant
		for range 40 {
			now = now.Add(interval)
			x.RecordLatencyWithPrior(now, "remote", typical, typical)
		}
		gomega.Expect(choose(now)).To(gomega.Equal(identifier.ServerID("local")))
	})

	for _, c := range []struct {
		name string
		// local and remote are the ratios of attempts that each server rejects.
		local, remote identifier.Ratio
		chosen        identifier.ServerID
	}{
		{"is chosen while it rejects few attempts", 0.1, 0, "local"},
		{"is not chosen while it rejects half of them and a remote one is sound", 0.5, 0, "remote"},
		{"is chosen while the remote one rejects as many", 0.5, 0.5, "local"},
		{"is chosen while the remote one rejects nearly as many", 0.6, 0.45, "local"},
	} {
		ginkgo.It(c.name, func() {
			x := chooser.New()
			for range 30 {
				x.RecordLatency(0, "local", typical)
			}
			id, _ := x.Choose(0, []chooser.Candidate{
				{Server: "local", Slots: 3, Rejection: c.local}, {Server: "remote", Slots: 3, Detour: 25 * ms, Rejection: c.remote},
			}, func(int) int { return 0 })
			gomega.Expect(id).To(gomega.Equal(c.chosen))
		})
	}
})
