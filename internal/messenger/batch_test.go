package messenger

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// TestSlowEncoding guards against a write timeout that encoding uses up, which ended the connection and lost
// the events after a large one. Its clock advances only while all goroutines wait.
func TestSlowEncoding(t *testing.T) {
	for _, c := range []struct {
		name string
		// sizes are the sizes of the encoded events of a batch, and received is what arrives of them with
		// their headers. Each event takes longer to encode than the write timeout.
		sizes    []int
		received identifier.Bytes
		// unread is set if the peer reads nothing, so that the write timeout must end the batch.
		unread bool
	}{
		{name: "an event", sizes: []int{1}, received: 5},
		{name: "several events", sizes: []int{1, bufferSize, 1}, received: bufferSize + 14},
		{name: "a dropped event and the next one", sizes: []int{maxEventSize + 1, 1}, received: 5},
		{name: "a dropped event after another one", sizes: []int{1, maxEventSize + 1}, received: 5},
		{name: "an event in parts", sizes: []int{1, maxFrameSize + 1, 1}, received: maxFrameSize + 1 + 17*headerSize + 10},
		{name: "an event that the peer doesn't read", sizes: []int{bufferSize}, unread: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := New(Parameters{Host: "h-1"}, func(reducer.Event) {}, hclog.NewNullLogger())
				encoded := 0
				m.encode = func(reducer.Event) ([]byte, error) {
					time.Sleep(writeTimeout + time.Second)
					encoded++
					return make([]byte, c.sizes[encoded-1]), nil
				}
				queue := make(chan reducer.Event, len(c.sizes))
				for range c.sizes[1:] {
					queue <- reducer.HostHeard{}
				}
				sender, receiver := net.Pipe()
				received := make(chan identifier.Bytes, 1)
				go func() {
					total, buffer := identifier.Bytes(0), make([]byte, partSize)
					for !c.unread {
						n, err := receiver.Read(buffer)
						if total += identifier.Bytes(n); err != nil {
							break
						}
					}
					received <- total
				}()
				err := m.writeBatch(sender, bufio.NewWriterSize(sender, bufferSize), reducer.HostHeard{}, queue)
				sender.Close()
				g.Expect(err != nil).To(gomega.Equal(c.unread), "error: %v", err)
				g.Expect(<-received).To(gomega.Equal(c.received))
			})
		})
	}
}
