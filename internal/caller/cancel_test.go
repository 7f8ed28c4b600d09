package caller_test

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/caller"
	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const waitLimit = 30 * time.Second

var _ = ginkgo.Describe("cancellation", func() {
	cases := []struct {
		name string
		// cancel cancels a call. closeRequest cancels the context of the call's request.
		cancel func(c *caller.Caller, call reducer.Call, closeRequest context.CancelFunc)
		// connections holds the minimum and the maximum number of connections that the calls open.
		connections [2]int
	}{
		{"by attempt ID keeps the connections open", func(c *caller.Caller, call reducer.Call, _ context.CancelFunc) {
			gomega.Expect(c.Cancel(context.Background(), call)).To(gomega.Succeed())
		}, [2]int{1, 2}},
		{"by closing the request costs one connection for each call", func(_ *caller.Caller, _ reducer.Call, closeRequest context.CancelFunc) {
			closeRequest()
		}, [2]int{5, 5}},
	}
	for _, k := range cases {
		ginkgo.It(k.name, func() {
			fullRange := identifier.HashRange{From: 0, To: identifier.HashSpace}
			server, err := faker.New(faker.Parameters{
				Server: "s-1", Listen: "127.0.0.1:0", Slots: 1, Connections: 9, Queue: 9, ServiceTime: time.Hour,
				Distribution: faker.Constant{},
				Holdings:     []leaser.Holding{{Epoch: 1, Range: fullRange, Versions: []identifier.IndexVersion{1}}},
			}, hclog.NewNullLogger())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer server.Close()
			c := caller.New()
			defer c.Close()
			for i := range 5 {
				call := reducer.Call{
					Server: "s-1", Address: server.Address(), Connections: 9, Range: fullRange,
					Attempt:  identifier.AttemptID{Request: "q", Sequence: uint32(i)},
					Snapshot: identifier.Snapshot{Epoch: 1, Version: 1},
				}
				ctx, closeRequest := context.WithCancel(context.Background())
				results := make(chan reducer.SlotEvent, 1)
				go func() { results <- c.Do(ctx, call, identifier.Minute) }()
				gomega.Eventually(func() int { return server.Tally().Runs }, waitLimit).Should(gomega.Equal(i + 1))
				k.cancel(c, call, closeRequest)
				lost := reducer.CallLost{Server: "s-1", Attempt: call.Attempt}
				gomega.Eventually(results, waitLimit).Should(gomega.Receive(gomega.Equal(lost)))
				gomega.Eventually(func() int { return server.Tally().Cancelled }, waitLimit).Should(gomega.Equal(i + 1))
				closeRequest()
			}
			gomega.Expect(server.Tally().Connections).To(gomega.BeNumerically(">=", k.connections[0]))
			gomega.Expect(server.Tally().Connections).To(gomega.BeNumerically("<=", k.connections[1]))
		})
	}

	ginkgo.It("of an unknown attempt returns an error", func() {
		server, err := faker.New(faker.Parameters{Server: "s-1", Listen: "127.0.0.1:0", Slots: 1, Connections: 9}, hclog.NewNullLogger())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer server.Close()
		c := caller.New()
		defer c.Close()
		var unknown *caller.UnknownAttemptError
		err = c.Cancel(context.Background(), reducer.Call{Address: server.Address(), Connections: 9})
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(unknown))
	})
})
