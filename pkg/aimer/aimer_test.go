package aimer_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/aimer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func TestAimer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "aimer")
}

const (
	ms = identifier.Millisecond
	// delay is how late a host may send the answer: a late timer and a busy processor.
	delay = 4 * ms
)

var _ = ginkgo.Describe("the time to answer", func() {
	for _, c := range []struct {
		name   string
		target identifier.Micros
		// oneWay is the latency to the client, and known whether the host has measured the round trip.
		oneWay        identifier.Micros
		newConnection bool
		known         bool
	}{
		{"a near client with a kept connection", 50 * ms, ms, false, true},
		{"a near client with a new connection", 50 * ms, ms, true, true},
		{"a remote client with a kept connection", 50 * ms, 3 * ms, false, true},
		{"a remote client with a new connection", 50 * ms, 3 * ms, true, true},
		{"a slow route of a remote client", 120 * ms, 3 * ms, true, true},
		{"a client at an unknown distance in the same region", 50 * ms, ms, true, false},
	} {
		ginkgo.It("reaches the client within the target latency: "+c.name, func() {
			sent := identifier.Instant(100 * ms)
			trips := identifier.Micros(1)
			if c.newConnection {
				trips = 3
			}
			arrival := sent.Add(trips * c.oneWay)
			d := aimer.Distance{NewConnection: c.newConnection}
			if c.known {
				d.RoundTrip = 2 * c.oneWay
			}
			t := aimer.New(arrival, c.target, d)
			received := t.AnswerAt.Add(delay + c.oneWay)
			gomega.Expect(received.Since(sent)).To(gomega.BeNumerically("<=", c.target))
			gomega.Expect(received.Since(sent)).To(gomega.BeNumerically(">=", c.target-c.target/10), "the servers get the time that is left")
			if c.known {
				gomega.Expect(t.Started).To(gomega.Equal(sent))
				gomega.Expect(t.LateFrom.Add(c.oneWay).Since(sent)).To(gomega.Equal(c.target))
			}
		})
	}

	ginkgo.It("leaves time to the servers where the target latency can't be met", func() {
		t := aimer.New(0, 50*ms, aimer.Distance{RoundTrip: 300 * ms, NewConnection: true})
		gomega.Expect(t.AnswerAt).To(gomega.BeNumerically(">=", identifier.Instant(25*ms)))
	})
})
