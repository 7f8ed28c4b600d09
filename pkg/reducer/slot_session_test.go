package reducer_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// attemptSubmitted returns the submission, by another host, of an attempt for the server low-1.
func attemptSubmitted(at identifier.Instant, request identifier.RequestID, rank identifier.Rank, remaining identifier.Instant) input {
	return input{at, reducer.AttemptSubmitted{
		From: "h-2", Attempt: identifier.AttemptID{Request: request, Sequence: 1}, Server: "low-1",
		Customer: "desk", Rank: rank, Remaining: identifier.Micros(remaining),
		Snapshot: snapshot, Range: lowerHalf, Repeatable: true,
	}}
}

// fromLocalHost returns the submission with this host as the submitter.
func fromLocalHost(i input) input {
	e := i.event.(reducer.AttemptSubmitted)
	e.From = "h-1"
	return input{i.at, e}
}

// attemptEnded returns the answer of low-1 to an attempt of attemptSubmitted.
func attemptEnded(at identifier.Instant, request identifier.RequestID) input {
	return callServed(at, request, 1, "low-1", lowerHalf, snapshot)
}

func attemptCancelled(at identifier.Instant, request identifier.RequestID) input {
	return input{at, reducer.AttemptCancelled{Attempt: identifier.AttemptID{Request: request, Sequence: 1}, Server: "low-1"}}
}

// lowServerAnnounced returns a later announcement of low-1 with the given slots and state.
func lowServerAnnounced(at identifier.Instant, sequence identifier.Sequence, slots identifier.Slots, state leaser.ServerState) input {
	i := serverAnnounced("low-1", "low", lowerHalf, 7)
	a := i.event.(reducer.ServerAnnounced)
	a.Announcement.Sequence, a.Announcement.Slots, a.Announcement.State = sequence, slots, state
	return input{at, a}
}

// hostHeard returns a heartbeat of h-2, which owns low-1 if its failure domain is fd-1.
func hostHeard(at identifier.Instant, domain identifier.DomainID, leaving bool) input {
	return input{at, reducer.HostHeard{Host: "h-2", Domain: domain, Leaving: leaving}}
}

// queuesOverloaded reports that urgent work waits for 200 ms at the servers.
func queuesOverloaded(at identifier.Instant, servers ...identifier.ServerID) input {
	var estimates []reducer.ServerEstimate
	for _, id := range servers {
		estimates = append(estimates, reducer.ServerEstimate{Server: id, Estimate: estimator.Estimate{
			Backlog: [identifier.RankCount]uint32{40, 0, 0},
			Step:    [identifier.RankCount]identifier.Micros{5000, 5000, 5000},
			Service: 5000,
		}})
	}
	return input{at, reducer.QueuesEstimated{Servers: estimates}}
}

// floodInputs submits one deferrable attempt and 13 urgent ones, of which the first 12 take 5 ms
// each.
func floodInputs() []input {
	inputs := []input{attemptSubmitted(0, "deferrable", identifier.Deferrable, 500*ms)}
	inputs = append([]input{attemptSubmitted(0, "u-0", identifier.Urgent, 500*ms)}, inputs...)
	for i := range 12 {
		inputs = append(inputs, attemptSubmitted(0, identifier.RequestID(fmt.Sprintf("u-%d", i+1)), identifier.Urgent, 500*ms))
	}
	for i := range 12 {
		inputs = append(inputs, attemptEnded(identifier.Instant(5*(i+1))*ms, identifier.RequestID(fmt.Sprintf("u-%d", i))))
	}
	return inputs
}

var slotSessions = []struct {
	name   string
	inputs []input
}{
	{"rank-order-with-floors", sessionInputs([]input{hostHeard(0, "fd-2", false)}, floodInputs())},
	{"expired-in-queue", sessionInputs([]input{
		hostHeard(0, "fd-2", false),
		attemptSubmitted(0, "runs", identifier.Urgent, 100*ms),
		attemptSubmitted(1*ms, "expires", identifier.Urgent, 20*ms),
		attemptSubmitted(1*ms, "waits", identifier.Standard, 500*ms),
		{21 * ms, reducer.Woken{}},
		attemptEnded(30*ms, "runs"),
	})},
	{"cancelled-in-queue-and-in-flight", sessionInputs([]input{
		hostHeard(0, "fd-2", false),
		attemptSubmitted(0, "runs", identifier.Urgent, 100*ms),
		attemptSubmitted(0, "waits", identifier.Urgent, 100*ms),
		attemptSubmitted(0, "next", identifier.Urgent, 100*ms),
		attemptCancelled(1*ms, "waits"),
		attemptCancelled(2*ms, "runs"),
		attemptCancelled(3*ms, "runs"),
		{5 * ms, reducer.CallLost{Server: "low-1", Attempt: identifier.AttemptID{Request: "runs", Sequence: 1}}},
		attemptEnded(9*ms, "next"),
	})},
	{"owner-takeover", sessionInputs([]input{
		lowServerAnnounced(0, 2, 3, leaser.Serving),
		hostHeard(1*ms, "fd-1", false),
		lowServerAnnounced(900*ms, 3, 3, leaser.Serving),
		{950 * ms, reducer.Woken{}},
		{1001 * ms, reducer.Woken{}},
		fromLocalHost(attemptSubmitted(1002*ms, "first", identifier.Urgent, 5000*ms)),
		fromLocalHost(attemptSubmitted(1002*ms, "second", identifier.Urgent, 5000*ms)),
		fromLocalHost(attemptSubmitted(1002*ms, "third", identifier.Urgent, 5000*ms)),
		{1500 * ms, reducer.Woken{}},
		lowServerAnnounced(1700*ms, 4, 3, leaser.Serving),
		{1900 * ms, reducer.Woken{}},
		{2101 * ms, reducer.Woken{}},
		{2201 * ms, reducer.Woken{}},
	})},
	{"owner-handover", sessionInputs([]input{
		lowServerAnnounced(0, 2, 3, leaser.Serving),
		hostHeard(1*ms, "fd-1", false),
		hostHeard(2*ms, "fd-1", true),
		attemptSubmitted(3*ms, "first", identifier.Urgent, 5000*ms),
		attemptSubmitted(3*ms, "second", identifier.Urgent, 5000*ms),
		{202 * ms, reducer.Woken{}},
	})},
	{"own-shutdown", sessionInputs([]input{
		hostHeard(0, "fd-2", false),
		attemptSubmitted(1*ms, "runs", identifier.Urgent, 100*ms),
		attemptSubmitted(1*ms, "waits", identifier.Urgent, 100*ms),
		{2 * ms, reducer.HostLeaving{}},
		attemptSubmitted(3*ms, "late", identifier.Urgent, 100*ms),
		attemptEnded(4*ms, "runs"),
	})},
	{"leaving-owner", sessionInputs([]input{
		hostHeard(1*ms, "fd-1", false),
		queryArrived(2*ms, "q", "lookup"),
		callServed(4*ms, "q", 2, "high-1", upperHalf, snapshot),
		hostHeard(5*ms, "fd-1", true),
		{6 * ms, reducer.AttemptServed{
			Attempt: identifier.AttemptID{Request: "q", Sequence: 1}, Server: "low-1", Snapshot: snapshot, Range: lowerHalf,
		}},
	})},
	{"draining-server", sessionInputs([]input{
		hostHeard(0, "fd-2", false),
		attemptSubmitted(0, "runs", identifier.Urgent, 100*ms),
		attemptSubmitted(0, "waits", identifier.Urgent, 100*ms),
		lowServerAnnounced(5*ms, 2, 1, leaser.Draining),
		attemptSubmitted(6*ms, "late", identifier.Urgent, 100*ms),
		attemptEnded(9*ms, "runs"),
	})},
	{"lapsed-lease", sessionInputs([]input{
		hostHeard(0, "fd-2", false),
		{900 * ms, reducer.OwnershipRenewed{Until: 1900 * ms}},
		{1700 * ms, reducer.OwnershipRenewed{Until: 2700 * ms}},
		attemptSubmitted(1799*ms, "runs", identifier.Urgent, 100*ms),
		attemptSubmitted(1799*ms, "waits", identifier.Urgent, 100*ms),
		attemptEnded(1800*ms, "runs"),
		attemptSubmitted(1801*ms, "late", identifier.Urgent, 100*ms),
	})},
	{"frozen-owner", sessionInputs([]input{
		lowServerAnnounced(0, 2, 3, leaser.Serving),
		hostHeard(0, "fd-2", false),
		attemptSubmitted(1200*ms, "unconfirmed", identifier.Urgent, 100*ms),
		{1300 * ms, reducer.Woken{}},
		attemptSubmitted(1301*ms, "first", identifier.Urgent, 100*ms),
		attemptSubmitted(1301*ms, "second", identifier.Urgent, 100*ms),
	})},
	{"shedding-server", sessionInputs([]input{
		lowServerAnnounced(0, 2, 3, leaser.Serving),
		hostHeard(0, "fd-2", false),
		attemptSubmitted(0, "first", identifier.Urgent, 100*ms),
		attemptSubmitted(0, "second", identifier.Urgent, 100*ms),
		attemptSubmitted(0, "third", identifier.Urgent, 100*ms),
		{1 * ms, reducer.CallRefused{Server: "low-1", Attempt: identifier.AttemptID{Request: "third", Sequence: 1}}},
		attemptSubmitted(2*ms, "fourth", identifier.Urgent, 500*ms),
		{101 * ms, reducer.Woken{}},
	})},
	{"lost-origin", sessionInputs([]input{
		hostHeard(0, "fd-2", false),
		attemptSubmitted(0, "runs", identifier.Urgent, 100*ms),
		attemptSubmitted(0, "waits", identifier.Urgent, 100*ms),
		{1 * ms, reducer.PeerDisconnected{Host: "h-2"}},
		{2 * ms, reducer.CallLost{Server: "low-1", Attempt: identifier.AttemptID{Request: "runs", Sequence: 1}}},
	})},
	{"delayed-relay", sessionInputs([]input{
		{1000 * ms, reducer.ServerRelayed{From: "h-2", Stamp: reducer.Stamp{Sent: 995 * ms}, Announcement: lowServerAnnounced(0, 2, 1, leaser.Serving).event.(reducer.ServerAnnounced).Announcement}},
		{2700 * ms, reducer.ServerRelayed{From: "h-2", Stamp: reducer.Stamp{Sent: 1095 * ms}, Announcement: lowServerAnnounced(0, 3, 1, leaser.Serving).event.(reducer.ServerAnnounced).Announcement}},
		{2950 * ms, reducer.Woken{}},
	})},
	{"early-refusal", sessionInputs([]input{
		queuesOverloaded(1*ms, "low-1"),
		queryArrived(2*ms, "half", "lookup"),
		queryArrived(3*ms, "whole", "archive"),
		queuesOverloaded(4*ms, "high-1"),
		queryArrived(5*ms, "neither", "lookup"),
		queryArrived(400*ms, "later", "lookup"),
	})},
}
