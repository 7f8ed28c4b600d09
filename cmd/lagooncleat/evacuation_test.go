package main_test

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/platform/imitator"
)

var _ = ginkgo.Describe("the evacuation of a failure domain", func() {
	const (
		duration = 2 * time.Second
		interval = 15 * time.Millisecond
		// settlingTime is how long an order may take to reach all entry hosts.
		settlingTime = 500 * time.Millisecond
	)
	ginkgo.It("keeps requests from its servers, also after a kill of all control hosts, until it ends", func() {
		regions := map[identifier.DomainID]identifier.RegionID{"fd-0": "north", "fd-1": "north", "fd-2": "south"}
		s := newSoak(98, 1, func(l *loader.Settings) {
			l.Fleet.DetourMillis, l.Fleet.EvacuationMillis, l.Fleet.Regions = 25, 5000, regions
		})
		gomega.Eventually(func() bool { return s.declare(1) }, waitLimit, "100ms").Should(gomega.BeTrue())
		attempt := 0
		answered := func() bool { attempt++; return s.allAnswerInFull(attempt) }
		gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
		searches := 0
		// arrivals sends searches to all entry hosts, and returns how many arrive in fd-1 and how many are whole.
		arrivals := func() (arrived, whole int) {
			for shard := range imitator.Shards {
				gomega.Expect(s.servers.SetFault(shard, 1, imitator.Healthy)).To(gomega.Succeed())
			}
			for end := time.Now().Add(duration); time.Now().Before(end); searches++ {
				if s.search(1, imitator.Domains+searches%imitator.Domains, fmt.Sprintf("evacuation-%d", searches)) {
					whole++
				}
				time.Sleep(interval)
			}
			for shard := range imitator.Shards {
				arrived += len(s.servers.Arrivals(shard, 1))
			}
			return arrived, whole
		}
		order := func(control int, zone string, ended bool) func() bool {
			return func() bool { return s.operator.Evacuate(s.host(control).address(soakControlPort), zone, ended) }
		}
		before, _ := arrivals()
		gomega.Expect(before).To(gomega.BeNumerically(">", 0))
		gomega.Expect(order(0, "fd-9", false)()).To(gomega.BeFalse())
		gomega.Eventually(order(1, "fd-1", false), waitLimit, "100ms").Should(gomega.BeTrue())
		time.Sleep(settlingTime)
		first := searches
		during, whole := arrivals()
		gomega.Expect(during).To(gomega.Equal(0))
		gomega.Expect(float64(whole)).To(gomega.BeNumerically(">=", 0.95*float64(searches-first)))
		response, err := httpClient.Get("http://" + s.host(imitator.Domains).address(soakOperatorPort) + "/metrics")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		text, err := io.ReadAll(response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(text)).To(gomega.ContainSubstring("lagooncleat_evacuated_domains 1\n"))
		gomega.Expect(string(text)).To(gomega.ContainSubstring("lagooncleat_evacuated{domain=\"fd-1\"} 1\n"))

		for i := range imitator.Domains {
			s.host(i).session.Kill().Wait(waitLimit)
		}
		for i := range imitator.Domains {
			s.startHost(s.host(i))
		}
		gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
		during, _ = arrivals()
		gomega.Expect(during).To(gomega.Equal(0))
		gomega.Eventually(order(2, "fd-1", true), waitLimit, "100ms").Should(gomega.BeTrue())
		gomega.Eventually(func() int { after, _ := arrivals(); return after }, waitLimit).Should(gomega.BeNumerically(">", 0))
		gomega.Expect(s.violations).To(gomega.BeEmpty())
	})
})
