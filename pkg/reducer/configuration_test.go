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

// entryHostParameters describe an entry host without a disk and with two control hosts.
var entryHostParameters = reducer.Parameters{
	Host: "h-1", Domain: "fd-1", Strict: true,
	Peers:        []router.Host{{ID: "c-1", Domain: "fd-1"}, {ID: "c-2", Domain: "fd-2"}},
	ControlHosts: []identifier.HostID{"c-1", "c-2"},
}

// deskContents returns the desk customer's configuration as control hosts send it.
func deskContents(version identifier.Version) registrar.Contents {
	loaded := deskConfiguration().event.(reducer.ConfigurationLoaded)
	catalog := registrar.NewCatalog()
	catalog.Import(0, registrar.Import{Version: version, Templates: loaded.Templates, Customers: loaded.Customers})
	return catalog.Contents()
}

// attemptUnreachable reports an attempt that could not be sent. Its retry is not budgeted.
func attemptUnreachable(at identifier.Instant, request identifier.RequestID, sequence uint32) input {
	return input{at, reducer.AttemptRefused{
		Attempt: identifier.AttemptID{Request: request, Sequence: sequence},
		Reason:  reducer.RefusedUnreachable,
	}}
}

// entryHostInputs starts an entry host with the desk customer at version 3 and adds more inputs.
func entryHostInputs(inputs ...input) []input {
	return append([]input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{1 * ms, reducer.HostHeard{Host: "c-1", Domain: "fd-2"}},
		{1 * ms, reducer.ContentsSent{Host: "c-1", Contents: deskContents(3), InTouch: true}},
		{2 * ms, reducer.RevisionsSent{Host: "c-2", Version: 3}},
		serverAnnounced("low-1", "low", lowerHalf, 7),
		serverAnnounced("high-1", "high", upperHalf, 7),
	}, inputs...)
}

func templateEdit(urgentMillis int64) registrar.Edit {
	return registrar.TemplatePut{Template: configurer.Template{
		ID:    "t",
		Works: []configurer.Work{{Kind: "lookup", Rank: "urgent"}},
		Ranks: []configurer.RankParameters{
			{Rank: "urgent", TimeoutMillis: urgentMillis},
			{Rank: "standard", TimeoutMillis: 1000},
			{Rank: "deferrable", TimeoutMillis: 1000},
		},
	}}
}

var templateName = registrar.Name{Kind: registrar.TemplateKind, ID: "t"}

// changeRequested returns the input in which an operator requests a change. The number of its
// operation is the seed plus the count of operations so far.
func changeRequested(at identifier.Instant, id identifier.ChangeID) input {
	return input{at, reducer.ChangeRequested{Ticket: 9, Change: registrar.Change{ID: id, Replaces: 3, Edit: templateEdit(70)}}}
}

func operationAnswered(at identifier.Instant, number reducer.OperationNumber, a reducer.Answer) input {
	return input{at, reducer.OperationAnswered{From: "c-1", Number: number, Answer: a}}
}

// nonRepeatableArrived returns the arrival of a non-repeatable query.
func nonRepeatableArrived(at identifier.Instant, request identifier.RequestID) input {
	i := queryArrived(at, request, "lookup")
	q := i.event.(reducer.QueryArrived)
	q.Repeatable, q.IdempotencyKey, q.IssuedAt = false, "k", 5*ms
	return input{at, q}
}

func intentGranted(at identifier.Instant, number reducer.OperationNumber) input {
	return operationAnswered(at, number, reducer.IntentDecided{Decision: deduplicator.Granted{}})
}

// suspectNonRepeatableArrived returns the arrival of a non-repeatable query with the suspect
// fingerprint.
func suspectNonRepeatableArrived(at identifier.Instant, request identifier.RequestID) input {
	i := nonRepeatableArrived(at, request)
	q := i.event.(reducer.QueryArrived)
	q.Fingerprint = suspectFingerprint
	return input{at, q}
}

// fingerprintCrashed reports that the suspect fingerprint crashed a server.
func fingerprintCrashed(at identifier.Instant, server identifier.ServerID, probe bool) input {
	return input{at, reducer.FingerprintCrashed{
		Fingerprint: suspectFingerprint, Crash: quarantiner.Crash{Server: server, Incarnation: 1, Probe: probe},
	}}
}

var changeAccepted = reducer.ChangeDecided{Result: registrar.Accepted{Target: templateName, Version: 4}}

// wakeUps returns a wake-up every 250 ms from the first instant up to the last.
func wakeUps(from, to identifier.Instant) []input {
	var inputs []input
	for at := from; at <= to; at += 250 * ms {
		inputs = append(inputs, input{at, reducer.Woken{}})
	}
	return inputs
}

var entryHostSessions = []struct {
	name   string
	inputs []input
}{
	{"change-accepted", entryHostInputs(
		changeRequested(10*ms, "one"),
		input{12 * ms, reducer.OperationRedirected{Number: 2, Leader: "c-1"}},
		operationAnswered(20*ms, 2, changeAccepted),
		input{21 * ms, reducer.RevisionsSent{Host: "c-1", Version: 4, Revisions: []registrar.Revision{{Version: 4, Change: "one", Edit: templateEdit(70)}}, InTouch: true}},
		queryArrived(30*ms, "q", "lookup"),
	)},
	{"change-conflict", entryHostInputs(
		changeRequested(10*ms, "late"),
		operationAnswered(20*ms, 2, reducer.ChangeDecided{Result: registrar.Conflict{
			Target: templateName, Current: registrar.Revision{Version: 4, Change: "early", Edit: templateEdit(60)},
		}}),
	)},
	{"change-resent", entryHostInputs(append(append([]input{
		changeRequested(10*ms, "one"),
	}, wakeUps(250*ms, 5250*ms)...),
		changeRequested(5300*ms, "one"),
		operationAnswered(5320*ms, 3, changeAccepted),
		operationAnswered(5330*ms, 2, changeAccepted),
	)...)},
	{"older-configuration-ignored", entryHostInputs(
		input{10 * ms, reducer.RevisionsSent{Host: "c-1", Version: 4, Revisions: []registrar.Revision{{Version: 4, Change: "one", Edit: templateEdit(70)}}}},
		input{20 * ms, reducer.ContentsSent{Host: "c-2", Contents: deskContents(3)}},
		input{21 * ms, reducer.RevisionsSent{Host: "c-2", Version: 4, Revisions: []registrar.Revision{{Version: 4, Change: "one", Edit: templateEdit(70)}}}},
		input{22 * ms, reducer.RevisionsSent{Host: "c-2", Version: 6, Revisions: []registrar.Revision{{Version: 6, Change: "three", Edit: templateEdit(90)}}}},
	)},
	{"startup-takes-the-highest", []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{1 * ms, reducer.ContentsSent{Host: "c-2", Contents: deskContents(3)}},
		queryArrived(2*ms, "too-early", "lookup"),
		{3 * ms, reducer.RevisionsSent{Host: "c-1", Version: 5}},
		{4 * ms, reducer.ContentsSent{Host: "c-1", Contents: deskContents(5)}},
	}},
	{"startup-with-a-silent-control-host", []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{1 * ms, reducer.ContentsSent{Host: "c-2", Contents: deskContents(3)}},
		{700 * ms, reducer.Woken{}},
	}},
	{"stale-get", entryHostInputs(append([]input{
		{10 * ms, reducer.ObjectsRequested{Ticket: 9, Read: reducer.ObjectsRead{Name: templateName}}},
	}, wakeUps(250*ms, 2250*ms)...)...)},
	{"ledger-grant", entryHostInputs(
		nonRepeatableArrived(10*ms, "q"),
		intentGranted(15*ms, 2),
		intentGranted(16*ms, 2),
		input{17 * ms, reducer.IntentAnswered{Request: "q", Answer: reducer.IntentDecided{Decision: deduplicator.Granted{}}}},
		callServed(20*ms, "q", 1, "low-1", lowerHalf, snapshot),
		callServed(21*ms, "q", 2, "high-1", upperHalf, snapshot),
	)},
	{"ledger-resend", entryHostInputs(
		nonRepeatableArrived(10*ms, "stored"),
		operationAnswered(15*ms, 2, reducer.IntentDecided{Decision: deduplicator.Settled{}, Outcome: reducer.Answered{Coverage: 1, Snapshot: snapshot}}),
		nonRepeatableArrived(20*ms, "unknown"),
		operationAnswered(25*ms, 3, reducer.IntentDecided{Decision: deduplicator.Unsettled{}}),
		nonRepeatableArrived(30*ms, "mismatched"),
		operationAnswered(35*ms, 4, reducer.IntentDecided{Decision: deduplicator.Mismatched{}}),
	)},
	{"ledger-in-overload", entryHostInputs(
		queuesOverloaded(9*ms, "low-1", "high-1"),
		nonRepeatableArrived(10*ms, "resent"),
		operationAnswered(15*ms, 2, reducer.IntentDecided{Decision: deduplicator.Unsettled{}}),
		nonRepeatableArrived(20*ms, "fresh"),
		intentGranted(25*ms, 3),
	)},
	{"ledger-with-a-quarantined-request", entryHostInputs(
		fingerprintCrashed(5*ms, "low-1", false),
		fingerprintCrashed(6*ms, "high-1", true),
		suspectNonRepeatableArrived(10*ms, "resent"),
		operationAnswered(15*ms, 2, reducer.IntentDecided{Decision: deduplicator.Unsettled{}}),
		suspectNonRepeatableArrived(20*ms, "fresh"),
		intentGranted(25*ms, 3),
	)},
	{"ledger-without-quorum", entryHostInputs(
		nonRepeatableArrived(10*ms, "q"),
		input{12 * ms, reducer.OperationRedirected{Number: 2}},
		input{35 * ms, reducer.Woken{}},
		intentGranted(40*ms, 2),
	)},
	{"ledger-lost-attempt", entryHostInputs(
		serverAnnounced("low-2", "low", lowerHalf, 7),
		serverAnnounced("high-2", "high", upperHalf, 7),
		nonRepeatableArrived(10*ms, "q"),
		intentGranted(15*ms, 2),
		input{20 * ms, reducer.AttemptLost{Attempt: identifier.AttemptID{Request: "q", Sequence: 1}}},
		input{21 * ms, reducer.AttemptServed{Attempt: identifier.AttemptID{Request: "q", Sequence: 2}, Snapshot: snapshot, Range: upperHalf}},
	)},
	{"ledger-refused-attempts", entryHostInputs(
		serverAnnounced("low-2", "low", lowerHalf, 7),
		nonRepeatableArrived(10*ms, "q"),
		intentGranted(15*ms, 2),
		attemptUnreachable(20*ms, "q", 1),
		attemptUnreachable(21*ms, "q", 2),
		attemptUnreachable(22*ms, "q", 3),
		input{30 * ms, reducer.Woken{}},
		attemptUnreachable(31*ms, "q", 4),
		attemptUnreachable(32*ms, "q", 5),
		input{58 * ms, reducer.Woken{}},
	)},
}

var _ = ginkgo.Describe("sessions of an entry host that uses control hosts", func() {
	for _, s := range entryHostSessions {
		ginkgo.It("match the golden file of "+s.name, func() {
			expectGolden(s.name, entryHostParameters, s.inputs)
		})
	}
})
