package stopper_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/screener"
	"github.com/lagooncleat/lagooncleat/internal/stopper"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

// Guards against a close with unread bytes directly after the answer 413: the reset fails the client's next write, and a
// client that stops there never reads the answer.
var _ = ginkgo.Describe("the answer to a request whose body is over the limit", func() {
	const limit = 64 << 10
	for _, c := range []struct {
		name    string
		limited bool
	}{
		{name: "reaches a client that reads once it has sent the body"},
		{name: "reaches such a client through a screener", limited: true},
	} {
		ginkgo.It(c.name, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			server := stopper.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(stopper.MaxBytesReader(w, r.Body, limit))
				var tooLarge *http.MaxBytesError
				if errors.As(err, &tooLarge) {
					w.WriteHeader(http.StatusRequestEntityTooLarge)
				}
			})})
			if c.limited {
				s := screener.New(reserver.Limits{Memory: 1 << 30, ClientMemory: 1 << 30, Connections: 100, ClientConnections: 100},
					func() declarer.Limits { return declarer.Limits{} })
				server.Limit = s.Limit
			}
			served := make(chan error, 1)
			go func() { served <- server.Serve(l) }()
			client, err := net.Dial("tcp", l.Addr().String())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer client.Close()
			gomega.Expect(client.SetDeadline(time.Now().Add(waitLimit))).To(gomega.Succeed())
			// net/http reads up to 256 KB of what a handler has left unread, and the rest fits into the socket's buffers.
			const step, steps = 64 << 10, 9
			_, err = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for range steps {
				_, err = io.WriteString(client, strings.Repeat("x", step))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(settleTime / 2)
			}
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
			gomega.Expect(response.Close).To(gomega.BeTrue())
			gomega.Expect(server.Close()).To(gomega.Succeed())
			gomega.Eventually(served, waitLimit).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
		})
	}
})
