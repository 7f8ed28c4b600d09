package encoder_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Allotments are of generic types, which the codecs of structs that got fields must match.
var _ = ginkgo.Describe("events about allotments", func() {
	session := permitter.SessionID{Owner: "h", Began: 4}
	for _, c := range []struct {
		name  string
		event reducer.Event
	}{
		{"of quotas", reducer.AllotmentsRequested{From: "h", Report: permitter.Report[identifier.CustomerID]{
			Session: session, Accounts: []permitter.AccountReport[identifier.CustomerID]{{Account: "c", Spent: 3, Waiting: 1}},
		}}},
		{"of cold servers", reducer.ColdAllotmentsRequested{From: "h", Report: permitter.Report[identifier.ServerRun]{
			Session: session, Accounts: []permitter.AccountReport[identifier.ServerRun]{{Account: "s#1", Target: 3, Lent: 2}},
		}}},
		{"answered", reducer.ColdAllotmentsSent{Answer: permitter.Answer[identifier.ServerRun]{
			Session: session, Accounts: []permitter.Allotment[identifier.ServerRun]{{Account: "s#1", Granted: 3, RetryAfter: 5}},
		}}},
		{"asked for by an entry host", reducer.ColdCreditRequested{From: "h", Server: "s", Incarnation: 1, Service: "a", Asked: 7}},
		{"lent", reducer.ColdCreditAnswered{From: "h", Server: "s", Incarnation: 1, Asked: 7, Hold: 8}},
		{"settled", reducer.ColdCreditSettled{From: "h", Server: "s", Incarnation: 1, Asked: 7, Used: true}},
	} {
		ginkgo.It("decode to the event that was encoded: "+c.name, func() {
			data, err := encoder.Encode(c.event)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(encoder.Decode(data)).To(gomega.Equal(c.event))
		})
	}
})
