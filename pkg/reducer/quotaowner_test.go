package reducer_test

import (
	"errors"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

var _ = ginkgo.Describe("the owner of quotas", func() {
	// Guards against customers without any limit while the leader can't interpret the declaration, as an older program
	// may not.
	ginkgo.It("gives nothing while it can't interpret the declaration", func() {
		q := newQuotaFleet(1)
		uninterpretable := true
		for i := range 3 {
			h := q.hosts[controlName(i)]
			h.parameters.Interpreter = func(text []byte) (*declarer.Declaration, error) {
				if uninterpretable {
					return nil, errors.New("unknown field")
				}
				return parseKeyedDeclaration(text)
			}
			q.stop(controlName(i), false)
		}
		for i := range 3 {
			q.start(controlName(i))
		}
		q.run(6 * identifier.Second)
		refused := q.load(0.9, 2*identifier.Second)
		q.run(2 * identifier.Second)
		for _, id := range refused {
			gomega.Expect(q.outcomes[id]).To(gomega.BeAssignableToTypeOf(reducer.Declined{}))
		}
		uninterpretable = false
		q.declareNext()
		q.run(6 * identifier.Second)
		for _, id := range q.load(0.5, 2*identifier.Second) {
			q.run(50 * identifier.Millisecond)
			gomega.Expect(q.outcomes[id]).To(gomega.BeAssignableToTypeOf(reducer.Gathered{}))
		}
	})

	// Guards against allotments of a stopped control host that count as spent for three seconds.
	ginkgo.It("gets back what a control host holds when that host stops", func() {
		q := newQuotaFleet(2)
		q.load(0.9, 3*identifier.Second)
		returned := map[identifier.HostID]bool{}
		q.onEffect = func(id identifier.HostID, e reducer.Effect) {
			send, ok := e.(reducer.Send)
			if !ok {
				return
			}
			if r, ok := send.Event.(reducer.AllotmentsRequested); ok {
				for _, a := range r.Report.Accounts {
					gomega.Expect(a.Target).To(gomega.BeZero())
					returned[id] = returned[id] || a.Returned > 0
				}
			}
		}
		for i := range 3 {
			q.reduce(controlName(i), reducer.HostLeaving{})
		}
		// The leader, which owns the quotas, reports to itself without a message.
		gomega.Expect(returned).To(gomega.HaveLen(2))
		for id, something := range returned {
			gomega.Expect(something).To(gomega.BeTrue(), id)
		}
	})
})
