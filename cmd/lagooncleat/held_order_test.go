package main_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/platform/imitator"
)

// heldOrder is an order that a link holds back.
type heldOrder struct {
	name, method string
	// hold is how long the link holds the order back, and end how long the end of its connection after it; 0 if that never
	// comes while the test runs.
	hold, end time.Duration
	// kept is set if a read of the declaration was answered on the connection before.
	kept bool
}

// send sends the order and returns the answer; nil if the connection ends before. A connection without an end stays open
// until the channel is closed.
func (o heldOrder) send(address, zone string, done <-chan struct{}) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", address, orderTimeout)
	if err != nil {
		return nil, err
	}
	go func() {
		<-done
		conn.Close()
	}()
	if err := conn.SetDeadline(time.Now().Add(o.hold + waitLimit)); err != nil {
		return nil, err
	}
	answers := bufio.NewReader(conn)
	if o.kept {
		fmt.Fprintf(conn, "GET /config HTTP/1.1\r\nHost: control\r\n\r\n")
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return nil, err
		}
		if err := response.Body.Close(); err != nil {
			return nil, err
		}
	}
	time.Sleep(o.hold)
	fmt.Fprintf(conn, "%s /evacuation/%s HTTP/1.1\r\nHost: control\r\n\r\n", o.method, zone)
	if o.end > 0 {
		time.AfterFunc(o.end, func() { conn.Close() })
		return nil, nil
	}
	return http.ReadResponse(answers, nil)
}

// Guards against orders that a link holds back for longer than their senders wait, while the end of their connection is late
// or lost (review/13).
var _ = ginkgo.Describe("an order that a link holds back", func() {
	const zone = "fd-1"
	for i, method := range []string{http.MethodDelete, http.MethodPost} {
		ginkgo.It("has no effect after its sender has gone on: "+method, func() {
			s := newSoak(106+i, 1, func(l *loader.Settings) { l.Fleet.DetourMillis, l.Fleet.EvacuationMillis = 25, 5000 })
			gomega.Eventually(func() bool { return s.declare(1) }, waitLimit, "100ms").Should(gomega.BeTrue())
			attempt := 0
			answered := func() bool { attempt++; return s.allAnswerInFull(attempt) }
			gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
			done := make(chan struct{})
			defer close(done)
			ends := method == http.MethodDelete
			order := func(ended bool) {
				gomega.Eventually(func() bool {
					return s.operator.Evacuate(s.host(1).address(soakControlPort), zone, ended)
				}, waitLimit, "100ms").Should(gomega.BeTrue())
			}
			for k, c := range []heldOrder{
				{"the end never comes", method, 3500 * time.Millisecond, 0, false},
				{"the end never comes, on a kept connection", method, 1500 * time.Millisecond, 0, true},
				{"the end comes 250 ms later", method, 2 * time.Second, 250 * time.Millisecond, false},
				{"the end comes 900 ms later, on a kept connection", method, 1500 * time.Millisecond, 900 * time.Millisecond, true},
			} {
				order(!ends)
				order(ends)
				order(!ends)
				response, err := c.send(s.host(0).address(soakControlPort), zone, done)
				gomega.Expect(err).NotTo(gomega.HaveOccurred(), c.name)
				if response != nil {
					gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), c.name)
					gomega.Expect(response.Close).To(gomega.BeTrue(), c.name)
					gomega.Expect(response.Body.Close()).To(gomega.Succeed())
				}
				time.Sleep(time.Second)
				for shard := range imitator.Shards {
					gomega.Expect(s.servers.SetFault(shard, 1, imitator.Healthy)).To(gomega.Succeed())
				}
				for n := range 60 {
					s.search(1, imitator.Domains+n%imitator.Domains, fmt.Sprintf("held-%d-%d-%d", i, k, n))
				}
				arrived := 0
				for shard := range imitator.Shards {
					arrived += len(s.servers.Arrivals(shard, 1))
				}
				gomega.Expect(arrived > 0).To(gomega.Equal(!ends), "%s: %d requests reach the zone", c.name, arrived)
			}
			gomega.Expect(s.violations).To(gomega.BeEmpty())
		})
	}
})
