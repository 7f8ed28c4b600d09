package screener_test

import (
	"bufio"
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
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

func TestScreener(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "screener")
}

const (
	waitLimit = 10 * time.Second
	maxHead   = 16384
	maxBody   = 262144
	// largeAnswer is more than the kernel buffers of a connection.
	largeAnswer = 32 << 20
)

// served is a server with the limits of a declaration, and room for one request that uses them to the full.
type served struct {
	address  string
	screener *screener.Screener
	runs     atomic.Int32
	// answer lets requests end once it is closed.
	answer chan struct{}
}

func serve() *served {
	s := &served{answer: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: screener.HeaderTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.runs.Add(1)
		if r.URL.Path == "/wait" {
			<-s.answer
		}
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, largeAnswer))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})}
	limits := reserver.Limits{Memory: 2 << 20, ClientMemory: 2 << 20, Connections: 20, ClientConnections: 20}
	declared := declarer.Limits{
		MaxHeaderSize: maxHead, MaxBodySize: maxBody,
		HeaderTimeout: 300 * identifier.Millisecond, IdleTimeout: 600 * identifier.Millisecond,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s.screener = screener.New(limits, func() declarer.Limits { return declared })
	limited := s.screener.Limit(server, l)
	s.address = l.Addr().String()
	go func() { _ = server.Serve(limited) }()
	ginkgo.DeferCleanup(server.Close)
	return s
}

// send opens a connection and sends a text.
func (s *served) send(text string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(c.Close)
	gomega.Expect(c.SetDeadline(time.Now().Add(waitLimit))).To(gomega.Succeed())
	// The server may refuse the request before it has read all.
	_, _ = c.Write([]byte(text))
	return c, bufio.NewReader(c)
}

// status returns the status of the next answer, or 0 if the connection is closed.
func status(r *bufio.Reader) int {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// head returns a head of a size, made of lines of the form "a:" as far as possible.
func head(first string, size int) string {
	rest := size - len(first) - len("Host: h\r\n\r\n")
	return first + "Host: h\r\n" + strings.Repeat("a:\r\n", rest/4-2) + "b:" + strings.Repeat(" ", 4+rest%4) + "\r\n\r\n"
}

var _ = ginkgo.Describe("a screener", func() {
	const post = "POST /x HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct {
		name, text string
		status     int
		runs       int32
	}{
		{"serves a request", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 204, 1},
		{"serves a head at the limit", head("GET /x HTTP/1.1\r\n", maxHead), 204, 1},
		{"refuses a head beyond the limit", head("GET /x HTTP/1.1\r\n", maxHead+1), 431, 0},
		{"serves a head and a body at their limits", head("POST /x HTTP/1.1\r\nContent-Length: 262144\r\n", maxHead) + strings.Repeat("b", maxBody), 204, 1},
		{"refuses a head without end", "GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1<<16), 431, 0},
		{"refuses a request line without end", "GET /" + strings.Repeat("x", 1<<20), 431, 0},
		{"refuses a head that stops", "GET /x HTTP/1.1\r\nHo", 408, 0},
		{"closes a connection that stays idle", "", 0, 0},
		{"refuses a body for which there is no room", post + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("b", 1200000), 503, 0},
		{"refuses chunks for which there is no room", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("b", 4096)+"\r\n", 300), 503, 0},
		{"serves a chunked body", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nbb\r\n0\r\n\r\n", 204, 1},
	} {
		ginkgo.It(c.name, func() {
			s := serve()
			_, r := s.send(c.text)
			var allowed gomega.OmegaMatcher = gomega.Equal(c.status)
			if c.status == http.StatusServiceUnavailable {
				// A close with unread bytes is a reset, which may overtake the refusal.
				allowed = gomega.Or(allowed, gomega.Equal(0))
			}
			gomega.Expect(status(r)).To(allowed)
			gomega.Expect(s.runs.Load()).To(gomega.Equal(c.runs))
		})
	}

	const large = "Host: h\r\nContent-Length: 240000\r\n\r\n"
	body := strings.Repeat("b", 240000)

	ginkgo.It("ends the oldest unfinished requests as not run, and serves the ordinary ones", func() {
		s := serve()
		_, oldest := s.send("POST /x HTTP/1.1\r\n" + large + body[1:])
		for range 5 {
			s.send("POST /x HTTP/1.1\r\n" + large + body[1:])
		}
		gomega.Expect(status(oldest)).To(gomega.Equal(http.StatusServiceUnavailable))
		_, r := s.send(post + "Content-Length: 2\r\n\r\nbb")
		gomega.Expect(status(r)).To(gomega.Equal(http.StatusNoContent))
		gomega.Expect(s.runs.Load()).To(gomega.Equal(int32(1)))
	})

	ginkgo.It("ends no running request, and has its room again afterwards", func() {
		s := serve()
		var running []*bufio.Reader
		for range 4 {
			_, r := s.send("POST /wait HTTP/1.1\r\n" + large + body)
			running = append(running, r)
		}
		gomega.Eventually(s.runs.Load, waitLimit).Should(gomega.Equal(int32(4)))
		_, late := s.send("POST /x HTTP/1.1\r\n" + large + body)
		gomega.Expect(status(late)).To(gomega.Or(gomega.Equal(http.StatusServiceUnavailable), gomega.Equal(0)))
		close(s.answer)
		for _, r := range running {
			gomega.Expect(status(r)).To(gomega.Equal(http.StatusNoContent))
		}
		_, r := s.send("POST /x HTTP/1.1\r\n" + large + body)
		gomega.Expect(status(r)).To(gomega.Equal(http.StatusNoContent))
		gomega.Expect(s.runs.Load()).To(gomega.Equal(int32(5)))
	})

	ginkgo.It("ends an answer that isn't read when another one needs the room", func() {
		s := serve()
		_, unread := s.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		gomega.Eventually(func() identifier.Bytes { return s.screener.Load().Memory }, waitLimit).Should(gomega.BeNumerically(">", largeAnswer/2))
		_, r := s.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		read, err := io.ReadAll(r)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(len(read)).To(gomega.BeNumerically(">", largeAnswer))
		lost, _ := io.ReadAll(unread)
		gomega.Expect(len(lost)).To(gomega.BeNumerically("<", largeAnswer))
	})

	ginkgo.It("serves requests that arrive together, and slow ones within the timeouts", func() {
		s := serve()
		one := post + "Content-Length: 2\r\n\r\nbb"
		c, r := s.send(strings.Repeat(one, 30))
		for range 30 {
			gomega.Expect(status(r)).To(gomega.Equal(http.StatusNoContent))
		}
		for _, part := range []struct {
			after time.Duration
			text  string
		}{{400 * time.Millisecond, one[:10]}, {200 * time.Millisecond, one[10 : len(one)-1]}, {700 * time.Millisecond, "b"}} {
			time.Sleep(part.after)
			_, err := io.WriteString(c, part.text)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(status(r)).To(gomega.Equal(http.StatusNoContent))
	})
})
