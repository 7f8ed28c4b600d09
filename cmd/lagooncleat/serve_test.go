package main_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// balancer is a load balancer: it distributes requests over the hosts whose readiness check succeeds.
type balancer struct {
	ready []atomic.Bool
	next  atomic.Uint64
	stop  chan struct{}
}

const readinessCheckInterval = 50 * time.Millisecond

func newBalancer(d *deployment) *balancer {
	b := &balancer{ready: make([]atomic.Bool, len(d.hosts)), stop: make(chan struct{})}
	go func() {
		for {
			for i, h := range d.hosts {
				b.ready[i].Store(httpStatus(fmt.Sprintf("http://%s/ready", h.Listen.Operators)) == http.StatusOK)
			}
			select {
			case <-b.stop:
				return
			case <-time.After(readinessCheckInterval):
			}
		}
	}()
	return b
}

// pick returns the index of the next ready host. It waits until there is one.
func (b *balancer) pick() int {
	for {
		i := int(b.next.Add(1) % uint64(len(b.ready)))
		if b.ready[i].Load() {
			return i
		}
		time.Sleep(time.Millisecond)
	}
}

var _ = ginkgo.Describe("serve", func() {
	ginkgo.It("answers every request whole while one host shuts down under load", func() {
		d := newDeployment(1)
		sessions := d.startDesk()
		for _, h := range d.hosts {
			awaitFullAnswer(h.Listen.Callers)
		}
		b := newBalancer(d)
		defer close(b.stop)
		const clients, requests = 8, 60
		var group sync.WaitGroup
		var answered atomic.Int64
		for c := range clients {
			group.Go(func() {
				defer ginkgo.GinkgoRecover()
				for i := range requests {
					token := fmt.Sprintf(`"caller %d request %d"`, c, i)
					queryInFull(d.hosts[b.pick()].Listen.Callers, token)
					if answered.Add(1) == clients*requests/4 {
						sessions[0].Terminate()
					}
				}
			})
		}
		group.Wait()
		gomega.Expect(answered.Load()).To(gomega.Equal(int64(clients * requests)))
		gomega.Eventually(sessions[0], waitLimit).Should(gexec.Exit(0))
	})

	ginkgo.It("handles a SIGHUP that arrives during startup", func() {
		d := newDeployment(3)
		settings := loader.Settings{
			Host: identifier.HostID(d.address(7401)), Domain: "fd-1",
			Listen: loader.Listen{
				Callers: d.address(7400), Readiness: d.address(7402), Operators: d.address(7403), Peers: d.address(7401),
			},
			Fleet: &loader.Fleet{Duty: loader.FleetEntry, Seeds: []identifier.Address{d.address(7404)}, PeerPort: 7401},
		}
		text, err := os.ReadFile(d.writeYAML("settings.yaml", settings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		// Reads from a named pipe block, so the test controls when startup continues.
		pipe := filepath.Join(d.folder, "pipe.yaml")
		gomega.Expect(syscall.Mkfifo(pipe, 0o600)).To(gomega.Succeed())
		session := d.startProcess(programPath, "serve", "--settings", pipe)
		writeSettings := func(before func()) {
			// OpenFile returns once the process opens the pipe for reading.
			writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer writer.Close()
			before()
			_, err = writer.Write(text)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		writeSettings(func() {
			session.Signal(syscall.SIGHUP)
			gomega.Consistently(session, "200ms").ShouldNot(gexec.Exit())
		})
		gomega.Eventually(session.Out, waitLimit).Should(gbytes.Say("host started"))
		writeSettings(func() {})
		gomega.Eventually(session.Out, waitLimit).Should(gbytes.Say("settings reloaded"))
		session.Terminate()
		gomega.Eventually(session, waitLimit).Should(gexec.Exit(0))
	})

	ginkgo.It("rejects malformed requests and stays up", func() {
		d := newDeployment(2)
		d.startDesk()
		address := d.hosts[0].Listen.Callers
		awaitFullAnswer(address)
		cases := []struct {
			name, customer, body string
			status               int
			kind                 string
		}{
			{"unknown customer", "nobody", lookupBody, http.StatusNotFound, "unknown-customer"},
			{"unknown work", "desk", `{"work":"x","timeout-ms":9}`, http.StatusUnprocessableEntity, "unknown-work"},
			{"unknown field", "desk", `{"work":"lookup","timeout-ms":9,"rank":"urgent"}`, http.StatusBadRequest, "malformed-request"},
			{"malformed JSON", "desk", `{"work":`, http.StatusBadRequest, "malformed-request"},
			{"data after the value", "desk", lookupBody + "{}", http.StatusBadRequest, "malformed-request"},
			{"negative timeout", "desk", `{"work":"lookup","timeout-ms":-1}`, http.StatusBadRequest, "malformed-request"},
			{"missing timeout", "desk", `{"work":"lookup"}`, http.StatusBadRequest, "malformed-request"},
			{"coverage over 1", "desk", `{"work":"lookup","timeout-ms":9,"min-coverage":2}`, http.StatusBadRequest, "malformed-request"},
			{"body over the limit", "desk", `{"work":"` + strings.Repeat("x", 2<<20) + `"}`, http.StatusRequestEntityTooLarge, "body-too-large"},
			{"no idempotency key", "desk", `{"work":"lookup","timeout-ms":9,"repeatable":false}`, http.StatusBadRequest, "malformed-request"},
		}
		for _, c := range cases {
			r, err := sendQuery(address, c.customer, c.body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred(), c.name)
			gomega.Expect(r.status).To(gomega.Equal(c.status), c.name)
			gomega.Expect(r.Kind).To(gomega.Equal(c.kind), c.name)
			gomega.Expect(r.Ran).To(gomega.Equal("no"), c.name)
			gomega.Expect(r.Coverage).To(gomega.Equal(identifier.Ratio(0)), c.name)
		}
		awaitFullAnswer(address)
	})
})
