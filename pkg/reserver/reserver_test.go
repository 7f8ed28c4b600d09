package reserver_test

import (
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

const unit identifier.Bytes = 1 << 20

// limits allow eight units with four connections, and six units with three connections to each client.
var limits = reserver.Limits{
	Memory: 8*unit + 4*reserver.ConnectionSize, ClientMemory: 6*unit + 3*reserver.ConnectionSize,
	Connections: 4, ClientConnections: 3,
}

// step is a call of a Reserver. Its result lists the connections that are ended, those with an unfinished
// request as negative numbers.
type step struct {
	call   string
	id     int
	client reserver.Client
	units  identifier.Bytes
	ended  []int
}

func open(id int, client reserver.Client, ended ...int) step {
	return step{"open", id, client, 0, ended}
}

func hold(id int, units identifier.Bytes, ended ...int) step {
	return step{"hold", id, "", units, ended}
}
func run(id int) step { return step{"run", id, "", 0, nil} }
func answer(id int, units identifier.Bytes, ended ...int) step {
	return step{"answer", id, "", units, ended}
}

func refuse(id int, ended ...int) step { return step{"refuse", id, "", 0, ended} }
func finish(id int) step               { return step{"finish", id, "", 0, nil} }

func (s step) apply(r *reserver.Reserver) []reserver.Ended {
	id := reserver.ConnectionID(s.id)
	switch s.call {
	case "open":
		return r.Open(id, s.client)
	case "hold":
		return r.Reserve(id, s.units*unit)
	case "answer":
		return r.Answer(id, s.units*unit)
	case "refuse":
		if e, ok := r.Refuse(id); ok {
			return []reserver.Ended{e}
		}
	case "run":
		r.Run(id)
	case "finish":
		r.Finish(id)
	}
	return nil
}

// These guard against ending what need not or must not be ended.
var _ = ginkgo.Describe("a reserver", func() {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"serves a single request that uses its client's limit to the full", []step{open(1, "a"), hold(1, 6)}},
		{"ends a single request beyond the limit", []step{open(1, "a"), hold(1, 6), hold(1, 1, -1)}},
		{"ends the client's oldest unfinished request", []step{open(1, "b"), open(2, "a"), open(3, "a"), hold(1, 1), hold(2, 5), hold(3, 2, -2)}},
		{"ends the oldest unfinished request of all", []step{open(1, "a"), open(2, "b"), hold(1, 4), hold(2, 3), open(3, "c"), hold(3, 2, -1)}},
		{"ends no newer request for an older one", []step{open(1, "a"), open(2, "b"), hold(1, 4), hold(2, 4), hold(1, 1, -1)}},
		{"ends idle connections before the request that needs room", []step{
			open(1, "a"), hold(1, 6), run(1), open(2, "a"), open(3, "b"), hold(3, 2), hold(3, 1, 2, -3),
		}},
		{"refuses a request for which only running ones could make room", []step{open(1, "a"), open(2, "a"), hold(1, 6), run(1), hold(2, 1, -2)}},
		{"has room again when a request is answered", []step{open(1, "a"), open(2, "a"), hold(1, 6), run(1), finish(1), hold(2, 6)}},
		{"ends the client's longest idle connection for a new one", []step{open(1, "a"), open(2, "a"), open(3, "a"), open(4, "a", 1)}},
		{"ends the longest idle connection of all for a new one", []step{open(1, "a"), open(2, "a"), open(3, "b"), open(4, "b"), open(5, "c", 1)}},
		{"ends an unfinished request for a new connection if none is idle", []step{
			open(1, "a"), open(2, "a"), open(3, "a"), hold(2, 1), hold(1, 1), hold(3, 1), open(4, "a", -2),
		}},
		{"refuses a new connection if all others run requests", []step{
			open(1, "a"), open(2, "a"), open(3, "a"), run(1), run(2), run(3), open(4, "a", 4),
		}},
		{"ends an answer that isn't read for a request", []step{open(1, "a"), hold(1, 2), run(1), answer(1, 4), open(2, "a"), hold(2, 1, 1)}},
		{"ends unfinished requests and older answers for an answer", []step{
			open(1, "a"), open(2, "a"), open(3, "a"), run(1), answer(1, 4), hold(2, 1), run(3), answer(3, 3, -2, 1),
		}},
		{"ends no answer for its own size", []step{open(1, "a"), hold(1, 6), run(1), answer(1, 3), answer(1, 3)}},
		{"refuses an unfinished request once", []step{open(1, "a"), hold(1, 1), refuse(1, -1), refuse(1)}},
		{"refuses no running request, idle connection or answer", []step{
			open(1, "a"), open(2, "a"), open(3, "a"), hold(1, 1), run(1), run(2), answer(2, 1), refuse(1), refuse(2), refuse(3),
		}},
		{"counts an answered request's connection as newly idle", []step{open(1, "a"), open(2, "a"), open(3, "a"), run(1), finish(1), open(4, "a", 2)}},
	} {
		ginkgo.It(c.name, func() {
			r := reserver.New(limits)
			for i, s := range c.steps {
				var ended []int
				for _, e := range s.apply(r) {
					number := int(e.Connection)
					if e.Unfinished {
						number = -number
					}
					ended = append(ended, number)
				}
				gomega.Expect(ended).To(gomega.Equal(s.ended), "step %d", i)
			}
		})
	}

	ginkgo.It("stays within its limits, and runs nothing that it ended, whatever is called", func() {
		random := rand.New(rand.NewPCG(1, 1))
		clients := []reserver.Client{"a", "b", "c"}
		r := reserver.New(limits)
		ended := map[reserver.ConnectionID]bool{}
		for i := range 100_000 {
			id := reserver.ConnectionID(max(1, i/8-random.IntN(8)))
			var now []reserver.Ended
			switch random.IntN(6) {
			case 0:
				if i%8 == 0 {
					now = r.Open(reserver.ConnectionID(i/8+1), clients[random.IntN(len(clients))])
				}
			case 1, 2:
				now = r.Reserve(id, identifier.Bytes(random.IntN(int(2*unit))))
			case 3:
				gomega.Expect(r.Run(id) && ended[id]).To(gomega.BeFalse())
			case 4:
				r.Finish(id)
			case 5:
				r.Close(id)
			}
			for _, e := range now {
				ended[e.Connection] = true
			}
			memory, connections := r.Held()
			gomega.Expect(memory).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", limits.Memory)))
			gomega.Expect(connections).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", limits.Connections)))
		}
	})
})
