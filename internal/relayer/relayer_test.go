package relayer_test

import (
	"io"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// waitLimit limits each wait for bytes that must arrive. It far exceeds the normal duration.
	waitLimit = 20 * time.Second
	// withheldWait is how long a test waits for bytes that must not arrive.
	withheldWait = 50 * time.Millisecond
)

// connect returns a relay and both ends of a connection through it.
func connect(delay time.Duration) (*relayer.Relay, net.Conn, net.Conn) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(target.Close)
	r, err := relayer.New(relayer.Parameters{Target: identifier.Address(target.Addr().String()), Delay: delay})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(r.Close)
	from, err := net.Dial("tcp", string(r.Address()))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(from.Close)
	to, err := target.Accept()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(to.Close)
	return r, from, to
}

// byteArrives reports whether a byte sent on one end arrives at the other within the wait.
func byteArrives(from, to net.Conn, wait time.Duration) bool {
	_, err := from.Write([]byte{1})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(to.SetReadDeadline(time.Now().Add(wait))).To(gomega.Succeed())
	_, err = to.Read(make([]byte, 1))
	return err == nil
}

var _ = ginkgo.Describe("Relay", func() {
	cases := []struct {
		name              string
		condition         relayer.Condition
		forward, backward bool
	}{
		{"forwarding", relayer.Forwarding{}, true, true},
		{"frozen both ways", relayer.Stalled{Forward: true, Backward: true}, false, false},
		{"frozen forward", relayer.Stalled{Forward: true}, false, true},
		{"frozen backward", relayer.Stalled{Backward: true}, true, false},
	}
	for _, c := range cases {
		ginkgo.It("forwards only the open directions while "+c.name+", and the withheld bytes later", func() {
			r, from, to := connect(0)
			r.SetCondition(c.condition)
			wait := map[bool]time.Duration{true: waitLimit, false: withheldWait}
			gomega.Expect(byteArrives(from, to, wait[c.forward])).To(gomega.Equal(c.forward))
			gomega.Expect(byteArrives(to, from, wait[c.backward])).To(gomega.Equal(c.backward))
			r.SetCondition(relayer.Forwarding{})
			gomega.Expect(byteArrives(from, to, waitLimit)).To(gomega.BeTrue())
			gomega.Expect(byteArrives(to, from, waitLimit)).To(gomega.BeTrue())
		})
	}

	ginkgo.It("delays bytes", func() {
		_, from, to := connect(20 * time.Millisecond)
		start := time.Now()
		gomega.Expect(byteArrives(from, to, waitLimit)).To(gomega.BeTrue())
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 20*time.Millisecond))
	})

	ginkgo.It("closes open and new connections while disconnected", func() {
		r, from, to := connect(0)
		r.SetCondition(relayer.Disconnected{})
		for _, c := range []net.Conn{from, to} {
			gomega.Expect(c.SetReadDeadline(time.Now().Add(waitLimit))).To(gomega.Succeed())
			_, err := c.Read(make([]byte, 1))
			gomega.Expect(err).To(gomega.MatchError(io.EOF))
		}
		refused, err := net.Dial("tcp", string(r.Address()))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer refused.Close()
		gomega.Expect(refused.SetReadDeadline(time.Now().Add(waitLimit))).To(gomega.Succeed())
		_, err = refused.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
