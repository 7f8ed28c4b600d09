package messenger_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/lagooncleat/lagooncleat/internal/messenger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

func TestMessenger(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "messenger")
}

// waitLimit limits each wait for an event, with a wide margin.
const waitLimit = 20 * time.Second

// node is a messenger and the events that it delivered.
type node struct {
	*messenger.Messenger
	delivered chan reducer.Event
}

func startNode(host identifier.HostID, l net.Listener, peers map[identifier.HostID]identifier.Address) *node {
	n := &node{delivered: make(chan reducer.Event, 100)}
	n.Messenger = messenger.New(messenger.Parameters{Host: host, Process: processes[host], Peers: peers},
		func(e reducer.Event) { n.delivered <- e }, hclog.NewNullLogger())
	go func() {
		defer ginkgo.GinkgoRecover()
		gomega.Expect(n.Serve(l)).To(gomega.Succeed())
	}()
	return n
}

// processes are those of the nodes.
var processes = map[identifier.HostID]identifier.ProcessID{"h-1": 1, "h-2": 2}

// introduction is the first event that a node sends on a connection.
func introduction(host identifier.HostID) reducer.ProcessIntroduced {
	return reducer.ProcessIntroduced{Host: host, Process: processes[host]}
}

func listen() (net.Listener, identifier.Address) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return l, identifier.Address(l.Addr().String())
}

var submitted = reducer.AttemptSubmitted{
	From: "h-1", Attempt: identifier.AttemptID{Request: "q", Sequence: 4}, Server: "s-1", Body: []byte("body"),
}

var _ = ginkgo.Describe("a messenger", func() {
	ginkgo.It("delivers events in order and reports the end of a connection on both sides", func() {
		firstListener, firstAddress := listen()
		secondListener, secondAddress := listen()
		first := startNode("h-1", firstListener, map[identifier.HostID]identifier.Address{"h-2": secondAddress})
		second := startNode("h-2", secondListener, map[identifier.HostID]identifier.Address{"h-1": firstAddress})
		defer firstListener.Close()
		defer first.Close()
		cases := []reducer.Event{
			introduction("h-1"),
			reducer.HostHeard{Host: "h-1", Domain: "fd-1"},
			submitted,
			reducer.AttemptLost{Attempt: submitted.Attempt, Server: "s-1"},
		}
		for _, c := range cases[1:] {
			first.Send("h-2", c)
		}
		for _, c := range cases {
			gomega.Eventually(second.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(c)))
		}
		second.Close()
		secondListener.Close()
		gomega.Eventually(second.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(reducer.PeerDisconnected{Host: "h-1", Process: 1})))
		// Of the two connections, the one made by the first host may have been made before the second introduced itself.
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Or(
			gomega.Equal(reducer.PeerDisconnected{Host: "h-2"}), gomega.Equal(reducer.PeerDisconnected{Host: "h-2", Process: 2}))))
	})

	// Guards against the end of a connection to an earlier process that is taken for the end of the later one.
	ginkgo.It("names the process that had introduced itself when the connection was made", func() {
		firstListener, firstAddress := listen()
		secondListener, secondAddress := listen()
		first := startNode("h-1", firstListener, map[identifier.HostID]identifier.Address{"h-2": secondAddress})
		second := startNode("h-2", secondListener, nil)
		defer firstListener.Close()
		defer first.Close()
		defer secondListener.Close()
		defer second.Close()
		first.Send("h-2", submitted)
		gomega.Eventually(second.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(submitted)))
		earlier := messenger.New(messenger.Parameters{Host: "h-2", Process: 2, Peers: map[identifier.HostID]identifier.Address{
			"h-1": firstAddress,
		}}, func(reducer.Event) {}, hclog.NewNullLogger())
		earlier.Send("h-1", submitted)
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(introduction("h-2"))))
		first.Reconnect("h-2")
		first.Send("h-2", submitted)
		gomega.Eventually(second.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(submitted)))
		earlier.Close()
		later := messenger.New(messenger.Parameters{Host: "h-2", Process: 3, Peers: map[identifier.HostID]identifier.Address{
			"h-1": firstAddress,
		}}, func(reducer.Event) {}, hclog.NewNullLogger())
		defer later.Close()
		later.Send("h-1", submitted)
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(reducer.ProcessIntroduced{Host: "h-2", Process: 3})))
		first.Reconnect("h-2")
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(reducer.PeerDisconnected{Host: "h-2", Process: 2})))
	})

	// Guards against the loss of a connection to a later process that is taken for the end of the earlier one.
	ginkgo.It("names no process for a connection that was made before the later process introduced itself", func() {
		firstListener, firstAddress := listen()
		secondListener, secondAddress := listen()
		first := startNode("h-1", firstListener, nil)
		defer firstListener.Close()
		defer first.Close()
		// The later process of the host accepts connections, and the earlier one has introduced itself and gone.
		accepted := make(chan net.Conn, 4)
		go func() {
			for {
				conn, err := secondListener.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
		defer secondListener.Close()
		host := identifier.HostID(secondAddress)
		first.Send(host, submitted)
		var conn net.Conn
		gomega.Eventually(accepted, waitLimit).Should(gomega.Receive(&conn))
		earlier := messenger.New(messenger.Parameters{Host: host, Process: 2, Peers: map[identifier.HostID]identifier.Address{
			"h-1": firstAddress,
		}}, func(reducer.Event) {}, hclog.NewNullLogger())
		earlier.Send("h-1", submitted)
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(reducer.ProcessIntroduced{Host: host, Process: 2})))
		earlier.Close()
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(reducer.PeerDisconnected{Host: host, Process: 2})))
		first.Reconnect(host)
		first.Send(host, submitted)
		var next net.Conn
		gomega.Eventually(accepted, waitLimit).Should(gomega.Receive(&next))
		defer next.Close()
		gomega.Expect(conn.Close()).To(gomega.Succeed())
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(reducer.PeerDisconnected{Host: host})))
		first.Reconnect(host)
		first.Send(host, submitted)
		gomega.Eventually(first.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(reducer.PeerDisconnected{Host: host})))
	})

	ginkgo.It("reports an attempt that was never written as refused", func() {
		peerListener, address := listen()
		peerListener.Close()
		localListener, _ := listen()
		n := startNode("h-1", localListener, map[identifier.HostID]identifier.Address{"h-2": address})
		defer localListener.Close()
		defer n.Close()
		refusal := reducer.AttemptRefused{Attempt: submitted.Attempt, Server: "s-1", Reason: reducer.RefusedUnreachable}
		for _, to := range []identifier.HostID{"h-2", "nobody"} {
			n.Send(to, submitted)
			gomega.Eventually(n.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(refusal)))
		}
	})

	for _, c := range []struct {
		name string
		// size is the size of the event's body in bytes.
		size      int
		delivered bool
	}{
		{"of 1 MiB", 1 << 20, true},
		{"at the limit of a frame", 16 << 20, true},
		{"of 40 MiB, the size of a large snapshot", 40 << 20, true},
		{"above the limit, which is dropped", 65 << 20, false},
	} {
		ginkgo.It("delivers an event "+c.name+", and the next one", func() {
			senderListener, _ := listen()
			receiverListener, address := listen()
			sender := startNode("h-1", senderListener, map[identifier.HostID]identifier.Address{"h-2": address})
			receiver := startNode("h-2", receiverListener, nil)
			defer senderListener.Close()
			defer receiverListener.Close()
			defer sender.Close()
			defer receiver.Close()
			large := submitted
			large.Body = bytes.Repeat([]byte("snapshot"), c.size/8)
			sender.Send("h-2", large)
			sender.Send("h-2", submitted)
			if c.delivered {
				var event reducer.Event
				gomega.Eventually(receiver.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(introduction("h-1"))))
				gomega.Eventually(receiver.delivered, waitLimit).Should(gomega.Receive(&event))
				gomega.Expect(event.(reducer.AttemptSubmitted).Body).To(gomega.HaveLen(len(large.Body)))
			}
			gomega.Eventually(receiver.delivered, waitLimit).Should(gomega.Receive(gomega.Equal(submitted)))
		})
	}
})

// Guards against the loss of the first events to a host that has lost power and come back: the old connection still looks
// open on this side.
var _ = ginkgo.Describe("a replaced connection", func() {
	for _, c := range []struct {
		name string
		used bool
	}{
		{"carries no event that is sent afterwards", true},
		{"isn't made if there was none", false},
	} {
		ginkgo.It(c.name, func() {
			peerListener, address := listen()
			defer peerListener.Close()
			accepted := make(chan net.Conn, 4)
			go func() {
				for {
					conn, err := peerListener.Accept()
					if err != nil {
						return
					}
					accepted <- conn
				}
			}()
			localListener, _ := listen()
			n := startNode("h-1", localListener, nil)
			defer localListener.Close()
			defer n.Close()
			to := identifier.HostID(address)
			if !c.used {
				n.Reconnect(to)
				gomega.Consistently(accepted, "100ms").ShouldNot(gomega.Receive())
				return
			}
			n.Send(to, submitted)
			var first, second net.Conn
			gomega.Eventually(accepted, waitLimit).Should(gomega.Receive(&first))
			defer first.Close()
			data, err := readEvent(first)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(data).NotTo(gomega.BeEmpty())
			n.Reconnect(to)
			n.Send(to, submitted)
			gomega.Eventually(accepted, waitLimit).Should(gomega.Receive(&second))
			defer second.Close()
			again, err := readEvent(second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(again).To(gomega.Equal(data))
			_, err = first.Read(make([]byte, 1))
			gomega.Expect(err).To(gomega.MatchError(io.EOF))
		})
	}
})

// readEvent reads the name of the sender and its introduction from a connection, and returns the encoding of the event that
// follows.
func readEvent(conn net.Conn) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		return nil, err
	}
	var content []byte
	for range 3 {
		var header [4]byte
		if _, err := io.ReadFull(conn, header[:]); err != nil {
			return nil, err
		}
		content = make([]byte, binary.BigEndian.Uint32(header[:]))
		if _, err := io.ReadFull(conn, content); err != nil {
			return nil, err
		}
	}
	return content, nil
}
