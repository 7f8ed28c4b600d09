package reducer_test

import (
	"github.com/onsi/ginkgo/v2"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// controlled is an entry host without a disk beside two control hosts.
var controlled = reducer.Parameters{
	Host: "h-1", Domain: "fd-1", Strict: true,
	Peers:        []router.Host{{ID: "c-1", Domain: "fd-1"}, {ID: "c-2", Domain: "fd-2"}},
	ControlHosts: []identifier.HostID{"c-1", "c-2"},
}

// deskRevisions returns the desk customer's configuration as control hosts send it.
func deskRevisions(version identifier.Version) registrar.Contents {
	loaded := desk().event.(reducer.ConfigurationLoaded)
	catalog := registrar.NewCatalog()
	catalog.Import(0, registrar.Import{Version: version, Templates: loaded.Templates, Customers: loaded.Customers})
	return catalog.Contents()
}

// unreachable is an attempt that could not be sent, so that a retry costs its service nothing.
func unreachable(at identifier.Instant, request identifier.RequestID, sequence uint32) input {
	return input{at, reducer.AttemptRefused{
		Attempt: identifier.AttemptID{Request: request, Sequence: sequence},
		Reason:  reducer.RefusedUnreachable,
	}}
}

// controlledDesk is a started host with the desk customer at version 3.
func controlledDesk(inputs ...input) []input {
	return append([]input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{1 * ms, reducer.HostHeard{Host: "c-1", Domain: "fd-2"}},
		{1 * ms, reducer.ContentsSent{Host: "c-1", Contents: deskRevisions(3), InTouch: true}},
		{2 * ms, reducer.RevisionsSent{Host: "c-2", Version: 3}},
		announced("low-1", "low", lowerHalf, 7),
		announced("high-1", "high", upperHalf, 7),
	}, inputs...)
}

func timeouts(urgent int64) registrar.Edit {
	return registrar.TemplatePut{Template: configurer.Template{
		ID:    "t",
		Works: []configurer.Work{{Kind: "lookup", Rank: "urgent"}},
		Ranks: []configurer.RankParameters{
			{Rank: "urgent", TimeoutMillis: urgent},
			{Rank: "standard", TimeoutMillis: 1000},
			{Rank: "deferrable", TimeoutMillis: 1000},
		},
	}}
}

var templateT = registrar.Name{Kind: registrar.TemplateKind, ID: "t"}

// changed is an operator's change; the operation's number is the seed plus the count of operations so far.
func changed(at identifier.Instant, id identifier.ChangeID) input {
	return input{at, reducer.ChangeRequested{Ticket: 9, Change: registrar.Change{ID: id, Replaces: 3, Edit: timeouts(70)}}}
}

func answered(at identifier.Instant, number reducer.OperationNumber, a reducer.Answer) input {
	return input{at, reducer.OperationAnswered{From: "c-1", Number: number, Answer: a}}
}

// transferred is a query that isn't repeatable.
func transferred(at identifier.Instant, request identifier.RequestID) input {
	i := arrived(at, request, "lookup")
	q := i.event.(reducer.QueryArrived)
	q.Repeatable, q.IdempotencyKey, q.IssuedAt = false, "k", 5*ms
	return input{at, q}
}

func granted(at identifier.Instant, number reducer.OperationNumber) input {
	return answered(at, number, reducer.IntentDecided{Decision: deduplicator.Granted{}})
}

// guiltyTransfer is such a query that crashes servers.
func guiltyTransfer(at identifier.Instant, request identifier.RequestID) input {
	i := transferred(at, request)
	q := i.event.(reducer.QueryArrived)
	q.Fingerprint = guilty
	return input{at, q}
}

// crashedBy is the news of a server that the guilty request crashed.
func crashedBy(at identifier.Instant, server identifier.ServerID, probe bool) input {
	return input{at, reducer.FingerprintCrashed{
		Fingerprint: guilty, Crash: quarantiner.Crash{Server: server, Incarnation: 1, Probe: probe},
	}}
}

var accepted = reducer.ChangeDecided{Result: registrar.Accepted{Target: templateT, Version: 4}}

// woken are the wake-ups at every 250 ms from the first instant to the last.
func woken(from, to identifier.Instant) []input {
	var inputs []input
	for at := from; at <= to; at += 250 * ms {
		inputs = append(inputs, input{at, reducer.Woken{}})
	}
	return inputs
}

var controlledSessions = []struct {
	name   string
	inputs []input
}{
	{"change-accepted", controlledDesk(
		changed(10*ms, "one"),
		input{12 * ms, reducer.OperationRedirected{Number: 2, Leader: "c-1"}},
		answered(20*ms, 2, accepted),
		input{21 * ms, reducer.RevisionsSent{Host: "c-1", Version: 4, Revisions: []registrar.Revision{{Version: 4, Change: "one", Edit: timeouts(70)}}, InTouch: true}},
		arrived(30*ms, "q", "lookup"),
	)},
	{"change-conflict", controlledDesk(
		changed(10*ms, "late"),
		answered(20*ms, 2, reducer.ChangeDecided{Result: registrar.Conflict{
			Target: templateT, Current: registrar.Revision{Version: 4, Change: "early", Edit: timeouts(60)},
		}}),
	)},
	{"change-resent", controlledDesk(append(append([]input{
		changed(10*ms, "one"),
	}, woken(250*ms, 5250*ms)...),
		changed(5300*ms, "one"),
		answered(5320*ms, 3, accepted),
		answered(5330*ms, 2, accepted),
	)...)},
	{"older-configuration-ignored", controlledDesk(
		input{10 * ms, reducer.RevisionsSent{Host: "c-1", Version: 4, Revisions: []registrar.Revision{{Version: 4, Change: "one", Edit: timeouts(70)}}}},
		input{20 * ms, reducer.ContentsSent{Host: "c-2", Contents: deskRevisions(3)}},
		input{21 * ms, reducer.RevisionsSent{Host: "c-2", Version: 4, Revisions: []registrar.Revision{{Version: 4, Change: "one", Edit: timeouts(70)}}}},
		input{22 * ms, reducer.RevisionsSent{Host: "c-2", Version: 6, Revisions: []registrar.Revision{{Version: 6, Change: "three", Edit: timeouts(90)}}}},
	)},
	{"startup-takes-the-highest", []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{1 * ms, reducer.ContentsSent{Host: "c-2", Contents: deskRevisions(3)}},
		arrived(2*ms, "too-early", "lookup"),
		{3 * ms, reducer.RevisionsSent{Host: "c-1", Version: 5}},
		{4 * ms, reducer.ContentsSent{Host: "c-1", Contents: deskRevisions(5)}},
	}},
	{"startup-with-a-silent-control-host", []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{1 * ms, reducer.ContentsSent{Host: "c-2", Contents: deskRevisions(3)}},
		{700 * ms, reducer.Woken{}},
	}},
	{"stale-get", controlledDesk(append([]input{
		{10 * ms, reducer.ObjectsRequested{Ticket: 9, Read: reducer.ObjectsRead{Name: templateT}}},
	}, woken(250*ms, 2250*ms)...)...)},
	{"ledger-grant", controlledDesk(
		transferred(10*ms, "q"),
		granted(15*ms, 2),
		granted(16*ms, 2),
		input{17 * ms, reducer.IntentAnswered{Request: "q", Answer: reducer.IntentDecided{Decision: deduplicator.Granted{}}}},
		served(20*ms, "q", 1, "low-1", lowerHalf, snapshot),
		served(21*ms, "q", 2, "high-1", upperHalf, snapshot),
	)},
	{"ledger-resend", controlledDesk(
		transferred(10*ms, "stored"),
		answered(15*ms, 2, reducer.IntentDecided{Decision: deduplicator.Settled{}, Outcome: reducer.Answered{Coverage: 1, Snapshot: snapshot}}),
		transferred(20*ms, "unknown"),
		answered(25*ms, 3, reducer.IntentDecided{Decision: deduplicator.Unsettled{}}),
		transferred(30*ms, "mismatched"),
		answered(35*ms, 4, reducer.IntentDecided{Decision: deduplicator.Mismatched{}}),
	)},
	{"ledger-in-overload", controlledDesk(
		overloaded(9*ms, "low-1", "high-1"),
		transferred(10*ms, "resent"),
		answered(15*ms, 2, reducer.IntentDecided{Decision: deduplicator.Unsettled{}}),
		transferred(20*ms, "fresh"),
		granted(25*ms, 3),
	)},
	{"ledger-with-a-quarantined-request", controlledDesk(
		crashedBy(5*ms, "low-1", false),
		crashedBy(6*ms, "high-1", true),
		guiltyTransfer(10*ms, "resent"),
		answered(15*ms, 2, reducer.IntentDecided{Decision: deduplicator.Unsettled{}}),
		guiltyTransfer(20*ms, "fresh"),
		granted(25*ms, 3),
	)},
	{"ledger-without-quorum", controlledDesk(
		transferred(10*ms, "q"),
		input{12 * ms, reducer.OperationRedirected{Number: 2}},
		input{35 * ms, reducer.Woken{}},
		granted(40*ms, 2),
	)},
	{"ledger-lost-attempt", controlledDesk(
		announced("low-2", "low", lowerHalf, 7),
		announced("high-2", "high", upperHalf, 7),
		transferred(10*ms, "q"),
		granted(15*ms, 2),
		input{20 * ms, reducer.AttemptLost{Attempt: identifier.AttemptID{Request: "q", Sequence: 1}}},
		input{21 * ms, reducer.AttemptServed{Attempt: identifier.AttemptID{Request: "q", Sequence: 2}, Snapshot: snapshot, Range: upperHalf}},
	)},
	{"ledger-refused-attempts", controlledDesk(
		announced("low-2", "low", lowerHalf, 7),
		transferred(10*ms, "q"),
		granted(15*ms, 2),
		unreachable(20*ms, "q", 1),
		unreachable(21*ms, "q", 2),
		unreachable(22*ms, "q", 3),
		input{30 * ms, reducer.Woken{}},
		unreachable(31*ms, "q", 4),
		unreachable(32*ms, "q", 5),
		input{58 * ms, reducer.Woken{}},
	)},
}

var _ = ginkgo.Describe("sessions beside control hosts", func() {
	for _, s := range controlledSessions {
		ginkgo.It("match the golden file of "+s.name, func() {
			expectGolden(s.name, controlled, s.inputs)
		})
	}
})
