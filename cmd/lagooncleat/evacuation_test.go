package main_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/platform/imitator"
)

var _ = ginkgo.Describe("the evacuation of a failure domain", func() {
	ginkgo.It("keeps requests from its servers, also after a kill of all control hosts, until it ends", func() {
		const searchCount, interval, settlingTime = 100, 15 * time.Millisecond, 500 * time.Millisecond
		s := newSoak(98, 1, func(l *loader.Settings) {
			l.Fleet.DetourMillis, l.Fleet.EvacuationMillis = 25, 5000
			l.Fleet.Regions = map[identifier.DomainID]identifier.RegionID{"fd-0": "north", "fd-1": "north", "fd-2": "south"}
		})
		gomega.Eventually(func() bool { return s.declare(1) }, waitLimit, "100ms").Should(gomega.BeTrue())
		attempt := 0
		answered := func() bool { attempt++; return s.allAnswerInFull(attempt) }
		gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
		// arrivals sends searches to all entry hosts, and returns how many requests reach the servers in fd-1.
		arrivals := func() int {
			arrived, whole := 0, 0
			for shard := range imitator.Shards {
				gomega.Expect(s.servers.SetFault(shard, 1, imitator.Healthy)).To(gomega.Succeed())
			}
			for n := range searchCount {
				if s.search(1, imitator.Domains+n%imitator.Domains, fmt.Sprintf("evacuation-%d-%d", attempt, n)) {
					whole++
				}
				time.Sleep(interval)
			}
			for shard := range imitator.Shards {
				arrived += len(s.servers.Arrivals(shard, 1))
			}
			gomega.Expect(whole).To(gomega.BeNumerically(">=", 95))
			return arrived
		}
		order := func(control int, zone string, ended bool) bool {
			return s.operator.Evacuate(s.host(control).address(soakControlPort), zone, ended)
		}
		gomega.Expect(arrivals()).To(gomega.BeNumerically(">", 0))
		gomega.Expect(order(0, "fd-9", false)).To(gomega.BeFalse())
		gomega.Expect(order(1, "fd-1", false)).To(gomega.BeTrue())
		time.Sleep(settlingTime)
		gomega.Expect(arrivals()).To(gomega.Equal(0))
		for i := range imitator.Domains {
			s.host(i).session.Kill().Wait(waitLimit)
		}
		for i := range imitator.Domains {
			s.startHost(s.host(i))
		}
		gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
		gomega.Expect(arrivals()).To(gomega.Equal(0))
		gomega.Eventually(func() bool { return order(2, "fd-1", true) }, waitLimit, "100ms").Should(gomega.BeTrue())
		gomega.Eventually(arrivals, waitLimit).Should(gomega.BeNumerically(">", 0))
		gomega.Expect(s.violations).To(gomega.BeEmpty())
	})
})
