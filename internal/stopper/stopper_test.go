package stopper_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/screener"
	"github.com/lagooncleat/lagooncleat/internal/stopper"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

func TestStopper(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "stopper")
}

const (
	// waitLimit limits each wait, with a wide margin.
	waitLimit = 20 * time.Second
	// settleTime is enough for bytes and wake-ups to arrive; a test on a slower machine checks less.
	settleTime = 50 * time.Millisecond
	whole      = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	running    = "GET /running HTTP/1.1\r\nHost: h\r\n\r\n"
	chunked    = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
)

// gate is a listener whose connections, once armed, hold back what a read has returned.
type gate struct {
	net.Listener
	armed   chan struct{}
	release chan struct{}
	// read is the number of bytes that were read.
	read atomic.Int64
}

type gated struct {
	net.Conn
	gate *gate
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gated{c, g}, nil
}

func (c *gated) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

func (c *gated) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.read.Add(int64(n))
	select {
	case <-c.gate.armed:
		if n > 0 {
			<-c.gate.release
		}
	default:
	}
	return n, err
}

var _ = ginkgo.Describe("a server that stops", func() {
	for _, c := range []struct {
		name string
		// first is answered before the server stops. before is sent before, after once it has stopped accepting.
		first, before, after string
		// held holds back what was read until the server has stopped accepting.
		held     bool
		timeout  time.Duration
		statuses []int
	}{
		{name: "answers a request that a read has returned to no one yet", first: whole, before: whole, held: true, statuses: []int{204}},
		{name: "answers a first request that a read has returned to no one yet", before: whole, held: true, statuses: []int{204}},
		{name: "answers a request that began in the buffer of the previous one", first: whole + whole[:20], after: whole[20:], statuses: []int{204}},
		{name: "answers the first request of a new connection", after: whole, statuses: []int{204}},
		{name: "closes an idle connection and reads no request after that", first: whole},
		{name: "refuses a head that doesn't arrive in time", first: whole, before: whole[:20], timeout: time.Second, statuses: []int{503}},
		{name: "refuses a body that doesn't arrive in time", before: chunked, timeout: time.Second, statuses: []int{503}},
		{name: "doesn't destroy an answer by unread bytes", before: running, after: strings.Repeat("x", 64<<10), statuses: []int{200}},
	} {
		ginkgo.It(c.name, func() {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			l := &gate{Listener: tcp, armed: make(chan struct{}), release: make(chan struct{})}
			server := stopper.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/running" {
					<-l.release
					_, _ = io.WriteString(w, strings.Repeat("y", 64<<10))
				} else if _, err := io.ReadAll(r.Body); err == nil {
					w.WriteHeader(http.StatusNoContent)
				}
			})})
			s := screener.New(reserver.Limits{Memory: 1 << 30, ClientMemory: 1 << 30, Connections: 100, ClientConnections: 100},
				func() declarer.Limits { return declarer.Limits{} })
			server.Limit, server.RefuseUnread = s.Limit, s.RefuseUnread
			served := make(chan error, 1)
			go func() { served <- server.Serve(l) }()
			client, err := net.Dial("tcp", l.Addr().String())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer client.Close()
			gomega.Expect(client.SetDeadline(time.Now().Add(waitLimit))).To(gomega.Succeed())
			send := func(text string) {
				_, err := client.Write([]byte(text))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(settleTime)
			}
			r := bufio.NewReader(client)
			if send(c.first); c.first != "" {
				response, err := http.ReadResponse(r, nil)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(response.Close).To(gomega.BeFalse())
			}
			if c.held {
				close(l.armed)
			}
			send(c.before)
			timeout := waitLimit
			if c.timeout > 0 {
				timeout = c.timeout
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Shutdown(ctx) }()
			gomega.Eventually(served, waitLimit).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
			send(c.after)
			close(l.release)
			time.Sleep(settleTime)
			for _, status := range c.statuses {
				response, err := http.ReadResponse(r, nil)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(response.StatusCode).To(gomega.Equal(status))
				gomega.Expect(response.Close).To(gomega.BeTrue())
				_, err = io.Copy(io.Discard, response.Body)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			_, err = r.ReadByte()
			gomega.Expect(err).To(gomega.MatchError(io.EOF))
			if len(c.statuses) == 0 {
				before := l.read.Load()
				send(whole)
				gomega.Expect(l.read.Load() - before).To(gomega.BeNumerically("<=", 1))
			}
			gomega.Expect(client.Close()).To(gomega.Succeed())
			gomega.Eventually(stopped, waitLimit).Should(gomega.Receive(gomega.BeNil()))
			gomega.Expect(server.Close()).To(gomega.Succeed())
		})
	}

	// Guards against a connection that stays open until the timeout, since another deadline undid the wake-up.
	ginkgo.It("closes a connection whose read deadline is removed after the reader was woken", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		accepted := make(capture, 1)
		server := stopper.New(&http.Server{ConnContext: accepted.add})
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()
		client, err := net.Dial("tcp", l.Addr().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer client.Close()
		var c net.Conn
		gomega.Eventually(accepted, waitLimit).Should(gomega.Receive(&c))
		time.Sleep(settleTime)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(ctx) }()
		gomega.Eventually(served, waitLimit).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
		// The reader has the deadline of a new connection now.
		time.Sleep(settleTime)
		gomega.Expect(c.SetReadDeadline(time.Time{})).To(gomega.Succeed())
		gomega.Eventually(stopped, 2*waitLimit).Should(gomega.Receive(gomega.BeNil()))
	})
})

// capture receives the connections that a server accepts.
type capture chan net.Conn

func (a capture) add(ctx context.Context, c net.Conn) context.Context {
	a <- c
	return ctx
}
