package main_test

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/platform/imitator"
)

// Guards against orders that are executed after their senders gave up and went on.
var _ = ginkgo.Describe("a late copy of an operator's order", func() {
	const zone, settlingTime = "fd-1", 500 * time.Millisecond
	for i, c := range []struct {
		name string
		// frozen is set if the host is frozen; otherwise the link to it is slow.
		frozen bool
		// ended is whether the late order ends the evacuation.
		ended bool
	}{
		{"does not end an evacuation that was ordered again, from a frozen host", true, true},
		{"does not begin an evacuation that has ended, from a frozen host", true, false},
		{"does not end an evacuation that was ordered again, from a slow link", false, true},
		{"does not begin an evacuation that has ended, from a slow link", false, false},
	} {
		ginkgo.It(c.name, func() {
			s := newSoak(100+i, 1, func(l *loader.Settings) { l.Fleet.DetourMillis, l.Fleet.EvacuationMillis = 25, 5000 })
			gomega.Eventually(func() bool { return s.declare(1) }, waitLimit, "100ms").Should(gomega.BeTrue())
			attempt := 0
			answered := func() bool { attempt++; return s.allAnswerInFull(attempt) }
			gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
			slow := s.host(0)
			link, err := relayer.New(relayer.Parameters{Target: identifier.Address(slow.address(soakControlPort))})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(link.Close)
			order := func(control int, ended bool) {
				gomega.Eventually(func() bool {
					return s.operator.Evacuate(s.host(control).address(soakControlPort), zone, ended)
				}, waitLimit, "100ms").Should(gomega.BeTrue())
			}
			if c.ended {
				order(1, false)
			}
			if c.frozen {
				slow.session.Signal(syscall.SIGSTOP)
				time.Sleep(settlingTime)
			} else {
				link.SetCondition(relayer.Stalled{Forward: true})
			}
			gomega.Expect(s.operator.Evacuate(string(link.Address()), zone, c.ended)).To(gomega.BeFalse())
			order(1, c.ended)
			order(2, !c.ended)
			slow.session.Signal(syscall.SIGCONT)
			link.SetCondition(relayer.Forwarding{})
			time.Sleep(2 * settlingTime)
			for shard := range imitator.Shards {
				gomega.Expect(s.servers.SetFault(shard, 1, imitator.Healthy)).To(gomega.Succeed())
			}
			for n := range 100 {
				s.search(1, imitator.Domains+n%imitator.Domains, fmt.Sprintf("late-%d-%d", i, n))
				time.Sleep(10 * time.Millisecond)
			}
			arrived := 0
			for shard := range imitator.Shards {
				arrived += len(s.servers.Arrivals(shard, 1))
			}
			gomega.Expect(arrived > 0).To(gomega.Equal(!c.ended), "%d requests reach the zone", arrived)
			gomega.Expect(s.violations).To(gomega.BeEmpty())
		})
	}
})

// Guards against withdrawals that end the next incarnation of the server that sent them.
var _ = ginkgo.Describe("a late copy of a server's withdrawal", func() {
	for i, c := range []struct {
		name string
		// frozen is set if the host is frozen; otherwise the link to it is slow.
		frozen bool
	}{
		{"does not end the server that has started again under its ID, from a frozen host", true},
		{"does not end the server that has started again under its ID, from a slow link", false},
	} {
		ginkgo.It(c.name, func() {
			const downtime, settlingTime = time.Second, time.Second
			s := newSoak(104+i, 1)
			gomega.Eventually(func() bool { return s.declare(1) }, waitLimit, "100ms").Should(gomega.BeTrue())
			attempt := 0
			answered := func() bool { attempt++; return s.allAnswerInFull(attempt) }
			gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
			slow := s.host(0)
			link, err := relayer.New(relayer.Parameters{Target: identifier.Address(slow.address(soakControlPort))})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(link.Close)
			if c.frozen {
				slow.session.Signal(syscall.SIGSTOP)
				time.Sleep(settlingTime)
			} else {
				link.SetCondition(relayer.Stalled{Forward: true})
			}
			var calls sync.WaitGroup
			for shard := range imitator.Shards {
				calls.Go(func() { s.servers.Withdraw(shard, 1, string(link.Address())) })
			}
			calls.Wait()
			for shard := range imitator.Shards {
				gomega.Eventually(func() bool {
					return s.servers.Withdraw(shard, 1, s.host(1).address(soakControlPort))
				}, waitLimit, "100ms").Should(gomega.BeTrue())
			}
			time.Sleep(downtime)
			for shard := range imitator.Shards {
				s.servers.Restart(shard, 1)
			}
			time.Sleep(settlingTime)
			slow.session.Signal(syscall.SIGCONT)
			link.SetCondition(relayer.Forwarding{})
			time.Sleep(settlingTime)
			arrived := 0
			for shard := range imitator.Shards {
				gomega.Expect(s.servers.SetFault(shard, 1, imitator.Healthy)).To(gomega.Succeed())
			}
			for n := range 100 {
				s.search(1, imitator.Domains+n%imitator.Domains, fmt.Sprintf("withdrawn-%d-%d", i, n))
				time.Sleep(10 * time.Millisecond)
			}
			for shard := range imitator.Shards {
				arrived += len(s.servers.Arrivals(shard, 1))
			}
			gomega.Expect(arrived).To(gomega.BeNumerically(">", 0))
			gomega.Expect(s.violations).To(gomega.BeEmpty())
		})
	}
})
