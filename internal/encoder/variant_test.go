package encoder_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

func TestEncoder(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "encoder")
}

var (
	putTemplate = registrar.TemplatePut{Template: configurer.Template{
		ID: "t", Works: []configurer.Work{{Kind: "w", Rank: "urgent"}},
		Ranks: []configurer.RankParameters{{Rank: "urgent", TimeoutMillis: 5, MinCoverage: 0.5}},
	}}
	putCustomer = registrar.CustomerPut{Customer: configurer.Customer{
		ID: "c", Template: "t", Budgets: &configurer.Budgets{Hedge: 0.1},
		Partition: configurer.EvenPartition(1, []identifier.ServiceID{"s"}),
	}}
	intent = deduplicator.Intent{
		Key: deduplicator.Key{Customer: "c", Key: "k"}, Request: "r", IssuedAt: 5, Fingerprint: 1 << 63, At: 6,
	}
	answered = reducer.Answered{Configuration: 2, Coverage: 0.5, Parts: []reducer.Part{{Service: "s", Body: []byte("{}")}}}
)

func proposal(c reducer.Command) reducer.Event {
	return reducer.OperationForwarded{From: "h", Number: 1 << 63, Operation: reducer.Proposal{Command: c}}
}

func answer(a reducer.Answer) reducer.Event {
	return reducer.OperationAnswered{From: "h", Number: 7, Answer: a}
}

var roundTripCases = []struct {
	name  string
	event reducer.Event
}{
	{"a command without fields", proposal(reducer.NoCommand{})},
	{"an imported configuration", proposal(reducer.ConfigurationImported{At: 3, Import: registrar.Import{Version: 1, Templates: []configurer.Template{putTemplate.Template}}})},
	{"a change", proposal(reducer.ObjectChanged{Change: registrar.Change{ID: "i", Replaces: 4, At: 5, Edit: putCustomer}})},
	{"an intent", proposal(reducer.IntentRecorded{Intent: intent})},
	{"an abandoned intent", proposal(reducer.IntentAbandoned{Intent: intent})},
	{"an outcome", proposal(reducer.OutcomeRecorded{Intent: intent, Outcome: answered})},
	{"a read", reducer.OperationForwarded{Operation: reducer.ObjectsRead{Name: putCustomer.Target(), History: true}}},
	{"an accepted change", answer(reducer.ChangeDecided{Result: registrar.Accepted{Target: putTemplate.Target(), Version: 9}})},
	{"a conflict with an unknown object", answer(reducer.ChangeDecided{Result: registrar.Conflict{Target: putTemplate.Target()}})},
	{"a conflict with a deletion", answer(reducer.ChangeDecided{Result: registrar.Conflict{
		Target: putTemplate.Target(), Current: registrar.Revision{Version: 2, Edit: registrar.TemplateDeleted{Template: "t"}},
	}})},
	{"objects that were read", answer(reducer.ObjectsFound{Version: 2, Revisions: []registrar.Revision{{Version: 2, Edit: putTemplate}, {Version: 1, Edit: putCustomer}}})},
	{"a granted intent", answer(reducer.IntentDecided{Decision: deduplicator.Granted{}})},
	{"a completed intent", answer(reducer.IntentDecided{Decision: deduplicator.Settled{}, Outcome: reducer.Failed{Kind: "k", Ran: "yes"}})},
	{"a committed command", answer(reducer.Committed{})},
	{"an order to evacuate", proposal(reducer.EvacuationOrdered{At: 3, Domain: "d", Ended: true, Base: 1 << 63})},
	{"a read of an order to evacuate", reducer.OperationForwarded{Operation: reducer.EvacuationRead{Domain: "d"}}},
	{"a read of the membership", reducer.OperationForwarded{Operation: reducer.MembershipRead{}}},
	{"a change of the control hosts", reducer.OperationForwarded{Operation: reducer.MemberOrder{Operation: reducer.RemoveMember{Host: "h"}, Base: 7}}},
	{"a membership that was read", answer(reducer.MembershipFound{Index: 1 << 63})},
	{"an order to evacuate that was read", answer(reducer.EvacuationFound{Revision: 1 << 63})},
	{"evacuations", reducer.ServerListSent{From: "h", Evacuations: &reducer.Evacuations{Revision: 1 << 63, Domains: []identifier.DomainID{"d"}}}},
	{"homes", reducer.PartsRequested{From: "h", Homes: [][]identifier.RegionID{{"r", "s"}, {"r"}}}},
	{"a redirect", reducer.OperationRedirected{Number: 7, Leader: "h"}},
	{"configuration contents", reducer.ContentsSent{Host: "h", InTouch: true, Contents: registrar.Contents{Version: 2, Revisions: []registrar.Revision{{Version: 2, Edit: putCustomer}}}}},
	{"revisions", reducer.RevisionsSent{Host: "h", Version: 3, Revisions: []registrar.Revision{{Version: 3, Edit: registrar.CustomerDeleted{Customer: "c"}}}}},
}

// untypedAnswer has the fields of reducer.OperationAnswered, but accepts an answer of any type.
type untypedAnswer struct {
	From   string
	Number uint64
	Answer any
}

var _ = ginkgo.Describe("events with variants", func() {
	ginkgo.It("are rejected with a variant in the wrong field", func() {
		data, err := encoder.Encode(answer(reducer.Committed{}))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var body bytes.Buffer
		e := msgpack.NewEncoder(&body)
		e.UseArrayEncodedStructs(true)
		gomega.Expect(e.Encode(untypedAnswer{"h", 7, reducer.NoCommand{}})).To(gomega.Succeed())
		_, err = encoder.Decode(append(data[:1], body.Bytes()...))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("wrong field")))
	})

	ginkgo.It("are rejected when variants are nested too deeply", func() {
		data, err := encoder.Encode(answer(reducer.Committed{}))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		// Each extension has an 8-bit length and contains the next as the only element of an array.
		inner := []byte{0x90}
		for range 20 {
			inner = append([]byte{0xc7, byte(len(inner) + 1), 24, 0x91}, inner...)
		}
		body := append([]byte{0x93, 0xa1, 'h', 7}, inner...)
		_, err = encoder.Decode(append(data[:1], body...))
		var tooDeep *encoder.MalformedDataError
		gomega.Expect(errors.As(err, &tooDeep)).To(gomega.BeTrue())
	})

	for _, c := range roundTripCases {
		ginkgo.It("decode to the event that was encoded: "+c.name, func() {
			data, err := encoder.Encode(c.event)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			event, err := encoder.Decode(data)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(event).To(gomega.Equal(c.event))
			for length := range len(data) {
				_, err := encoder.Decode(data[:length])
				gomega.Expect(err).To(gomega.HaveOccurred(), "truncated to %d bytes", length)
			}
		})
	}
})
