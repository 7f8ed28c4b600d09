package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestRunner(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "runner")
}

// waitLimit limits each wait, with a wide margin.
const waitLimit = 20 * time.Second

var _ = ginkgo.Describe("a server that shuts down", func() {
	const (
		whole   = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
		chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
	)
	for _, c := range []struct {
		name string
		// before is sent before the shutdown begins, and after once it has begun. answers is the
		// number of answers that the client gets, and kept whether the connection has served a
		// request before.
		before, after string
		kept          bool
		answers       int
	}{
		{"the head of the next request on a kept connection", whole[:20], whole[20:], true, 1},
		{"the first byte of the next request on a kept connection", whole[:1], whole[1:], true, 1},
		{"a chunked body on a kept connection", chunked, "0\r\n\r\n", true, 1},
		{"the head of the first request on a connection", whole[:20], whole[20:], false, 1},
		{"a chunked body on a new connection", chunked, "0\r\n\r\n", false, 1},
		{"nothing on a kept connection", "", "", true, 0},
		{"nothing on a new connection", "", "", false, 0},
	} {
		ginkgo.It("answers what has begun to arrive: "+c.name, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil {
					w.WriteHeader(http.StatusNoContent)
				}
			})
			server := newServer(handler)
			served := make(chan error, 1)
			go func() { served <- server.Serve(l) }()
			client, err := net.Dial("tcp", l.Addr().String())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer client.Close()
			gomega.Expect(client.SetDeadline(time.Now().Add(waitLimit))).To(gomega.Succeed())
			r := bufio.NewReader(client)
			if c.kept {
				expectAnswer(client, r, whole)
			}
			_, err = client.Write([]byte(c.before))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			// The server reads what has arrived.
			time.Sleep(50 * time.Millisecond)
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			go func() { stopped <- server.Shutdown(ctx) }()
			gomega.Eventually(served, waitLimit).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
			time.Sleep(50 * time.Millisecond)
			if c.answers > 0 {
				expectAnswer(client, r, c.after)
			}
			_, err = r.ReadByte()
			gomega.Expect(err).To(gomega.MatchError(io.EOF))
			gomega.Eventually(stopped, waitLimit).Should(gomega.Receive(gomega.BeNil()))
			gomega.Expect(server.Close()).To(gomega.Succeed())
		})
	}
})

var _ = ginkgo.Describe("requests that arrive at the moment of the shutdown", func() {
	ginkgo.It("are answered if a handler gets them", func() {
		const (
			rounds  = 40
			clients = 20
		)
		for round := range rounds {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			var handled, answered atomic.Int64
			server := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/last" {
					handled.Add(1)
				}
				w.WriteHeader(http.StatusNoContent)
			}))
			go func() {
				defer ginkgo.GinkgoRecover()
				gomega.Expect(server.Serve(l)).To(gomega.MatchError(http.ErrServerClosed))
			}()
			start := make(chan struct{})
			var group sync.WaitGroup
			for i := range clients {
				client, err := net.Dial("tcp", l.Addr().String())
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(client.SetDeadline(time.Now().Add(waitLimit))).To(gomega.Succeed())
				r := bufio.NewReader(client)
				if i%2 == 0 {
					expectAnswer(client, r, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
				}
				group.Go(func() {
					defer client.Close()
					<-start
					time.Sleep(time.Duration(i*round) * time.Microsecond)
					if _, err := client.Write([]byte("GET /last HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
						return
					}
					if response, err := http.ReadResponse(r, nil); err == nil && response.StatusCode == http.StatusNoContent {
						answered.Add(1)
					}
				})
			}
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			close(start)
			gomega.Expect(server.Shutdown(ctx)).To(gomega.Succeed())
			gomega.Expect(server.Close()).To(gomega.Succeed())
			cancel()
			group.Wait()
			gomega.Expect(answered.Load()).To(gomega.Equal(handled.Load()), "round %d", round)
		}
	})
})

func expectAnswer(client net.Conn, r *bufio.Reader, request string) {
	_, err := client.Write([]byte(request))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(r, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusNoContent))
}
