package screener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/screener"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

// Guards against a request that is refused at the moment when it has arrived in full, and whose connection was closed
// without the refusal.
var _ = ginkgo.Describe("requests that are refused while they arrive", func() {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
	} {
		ginkgo.It("get an answer: "+text[:4], func() {
			const clients, requests = 8, 150
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil {
					w.WriteHeader(http.StatusNoContent)
				}
			})}
			s := screener.New(reserver.Limits{Memory: 1 << 30, ClientMemory: 1 << 30, Connections: 100, ClientConnections: 100},
				func() declarer.Limits { return declarer.Limits{} })
			limited := s.Limit(server, l)
			go func() { _ = server.Serve(limited) }()
			defer server.Close()
			done := make(chan struct{})
			var refuser, group sync.WaitGroup
			refuser.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(50 * time.Microsecond):
						s.RefuseUnread()
					}
				}
			})
			for range clients {
				group.Go(func() {
					defer ginkgo.GinkgoRecover()
					for range requests {
						client, err := net.Dial("tcp", l.Addr().String())
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
						gomega.Expect(client.SetDeadline(time.Now().Add(20 * time.Second))).To(gomega.Succeed())
						_, err = client.Write([]byte(text))
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
						response, err := http.ReadResponse(bufio.NewReader(client), nil)
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
						gomega.Expect(response.StatusCode).To(gomega.BeElementOf(http.StatusNoContent, http.StatusServiceUnavailable))
						client.Close()
					}
				})
			}
			group.Wait()
			close(done)
			refuser.Wait()
		})
	}
})
