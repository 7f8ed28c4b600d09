package exchanger_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/exchanger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// chunkCodec writes requests in chunks, whatever their size is said to be, and reads responses of one line.
type chunkCodec struct {
	chunks [][]byte
}

// Size makes every request a small one.
func (chunkCodec) Size(reducer.Exchange) identifier.Bytes { return 1 }

func (c chunkCodec) Write(w *bufio.Writer, _ reducer.Exchange, _ identifier.Micros) error {
	for _, chunk := range c.chunks {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (chunkCodec) Read(r *exchanger.Reader, e reducer.Exchange) (exchanger.Reply, error) {
	if _, err := r.ReadString('\n'); err != nil {
		return exchanger.Reply{}, err
	}
	return exchanger.Reply{Event: reducer.ExchangeAnswered{Attempt: e.Attempt, Server: e.Server}, Reusable: true}, nil
}

// Guards against a request that holds up its caller, or is damaged, when the socket accepts only a part of it at once.
var _ = ginkgo.Describe("a request that the socket doesn't accept at once", func() {
	for _, sizes := range [][]int{
		{16 << 20},
		{100, 16 << 20},
		{16 << 20, 100},
		{16 << 20, 100, 16 << 20},
		{3000, 16 << 20, 3000, 5000, 16 << 20, 1},
	} {
		ginkgo.It(fmt.Sprintf("is written whole by another goroutine: %d", sizes), func() {
			var sent []byte
			codec := chunkCodec{}
			for i, size := range sizes {
				chunk := bytes.Repeat([]byte{byte('a' + i)}, size)
				codec.chunks = append(codec.chunks, chunk)
				sent = append(sent, chunk...)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer l.Close()
			reads := make(chan struct{})
			received := make(chan []byte, 2)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				for i := range 2 {
					if i == 1 {
						<-reads
					}
					request := make([]byte, len(sent))
					if _, err := io.ReadFull(c, request); err != nil {
						return
					}
					received <- request
					if _, err := c.Write([]byte("ok\n")); err != nil {
						return
					}
				}
				// Blocks until the exchanger closes the connection.
				_, _ = c.Read(make([]byte, 1))
			}()
			events := make(chan reducer.Event, 2)
			x := exchanger.New(codec, hclog.NewNullLogger())
			now := func() identifier.Instant { return identifier.Instant(time.Now().UnixMicro()) }
			x.Start(func(e reducer.Event) { events <- e }, now)
			defer x.Close()
			exchange := func(sequence uint32) {
				x.Exchange(reducer.Exchange{
					Attempt: identifier.ExchangeID{Request: "q", Sequence: sequence}, Server: "s", Deadline: now().Add(10 * identifier.Second),
					Address: identifier.Address(l.Addr().String()), Payload: reducer.Payload{ClientRequestID: fmt.Sprint(sequence)},
				})
			}
			exchange(1)
			gomega.Eventually(events, "5s").Should(gomega.Receive(gomega.BeAssignableToTypeOf(reducer.ExchangeAnswered{})))
			gomega.Expect(bytes.Equal(<-received, sent)).To(gomega.BeTrue())
			// The connection is idle soon after the response.
			time.Sleep(50 * time.Millisecond)
			// The server reads only after this returns, so a write that waits for it loses the attempt.
			exchange(2)
			close(reads)
			gomega.Eventually(events, "5s").Should(gomega.Receive(gomega.BeAssignableToTypeOf(reducer.ExchangeAnswered{})))
			gomega.Expect(bytes.Equal(<-received, sent)).To(gomega.BeTrue())
		})
	}
})
