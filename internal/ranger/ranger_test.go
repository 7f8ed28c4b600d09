package ranger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/ranger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func TestRanger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ranger")
}

// startServer starts an HTTP server that reports the age of each request, and returns its address.
func startServer(ages chan<- identifier.Micros) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{ConnContext: ranger.ConnContext, Handler: ranger.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ages <- ranger.Age(r.Context())
	}))}
	go func() {
		defer ginkgo.GinkgoRecover()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			ginkgo.Fail(err.Error())
		}
	}()
	ginkgo.DeferCleanup(func() { gomega.Expect(server.Shutdown(context.Background())).To(gomega.Succeed()) })
	return l.Addr().String()
}

// Guards against orders that a link has held back, whose age was taken from the arrival of their bytes.
var _ = ginkgo.Describe("the age of a request", func() {
	const hold = 300 * time.Millisecond
	for _, c := range []struct {
		name string
		// answered is the number of requests that are answered on the connection before, and parts the number of segments
		// in which the request arrives, each held back.
		answered, parts int
		hold            time.Duration
	}{
		{"counts from the connection's start, for a request sent at once", 0, 1, 0},
		{"counts from the connection's start, for a request held back", 0, 1, hold},
		{"counts from the connection's start, for a request of which the end is held back", 0, 2, hold},
		{"counts from the last answer, for a request sent at once", 2, 1, 0},
		{"counts from the last answer, for a request held back", 2, 1, hold},
	} {
		ginkgo.It(c.name, func() {
			ages := make(chan identifier.Micros, 1)
			address := startServer(ages)
			quietSince := time.Now()
			conn, err := net.Dial("tcp", address)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			answers := bufio.NewReader(conn)
			const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
			for range c.answered {
				quietSince = time.Now()
				fmt.Fprint(conn, request)
				response, err := http.ReadResponse(answers, nil)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(response.Body.Close()).To(gomega.Succeed())
				<-ages
			}
			time.Sleep(c.hold)
			if c.parts > 1 {
				fmt.Fprint(conn, request[:5])
				time.Sleep(c.hold)
				fmt.Fprint(conn, request[5:])
			} else {
				fmt.Fprint(conn, request)
			}
			var age identifier.Micros
			gomega.Eventually(ages, "20s").Should(gomega.Receive(&age))
			elapsed := identifier.MicrosOf(time.Since(quietSince))
			gomega.Expect(age).To(gomega.And(
				gomega.BeNumerically(">=", identifier.MicrosOf(time.Duration(c.parts)*c.hold)), gomega.BeNumerically("<=", elapsed+identifier.Millisecond)))
		})
	}
})
