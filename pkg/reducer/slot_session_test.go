package reducer_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// submitted is an attempt for the server low-1 that another host submits.
func submitted(at identifier.Instant, request identifier.RequestID, rank identifier.Rank, remaining identifier.Instant) input {
	return input{at, reducer.AttemptSubmitted{
		From: "h-2", Attempt: identifier.AttemptID{Request: request, Sequence: 1}, Server: "low-1",
		Customer: "desk", Rank: rank, Remaining: identifier.Micros(remaining),
		Snapshot: snapshot, Range: lowerHalf, Repeatable: true,
	}}
}

// own makes an attempt one of this host's.
func own(i input) input {
	e := i.event.(reducer.AttemptSubmitted)
	e.From = "h-1"
	return input{i.at, e}
}

// ended is the answer of low-1 to such an attempt.
func ended(at identifier.Instant, request identifier.RequestID) input {
	return served(at, request, 1, "low-1", lowerHalf, snapshot)
}

func cancelled(at identifier.Instant, request identifier.RequestID) input {
	return input{at, reducer.AttemptCancelled{Attempt: identifier.AttemptID{Request: request, Sequence: 1}, Server: "low-1"}}
}

// renewed is an announcement of low-1 with more slots or another state.
func renewed(at identifier.Instant, sequence identifier.Sequence, slots identifier.Slots, state leaser.ServerState) input {
	i := announced("low-1", "low", lowerHalf, 7)
	a := i.event.(reducer.ServerAnnounced)
	a.Announcement.Sequence, a.Announcement.Slots, a.Announcement.State = sequence, slots, state
	return input{at, a}
}

// heard is a heartbeat of h-2; when it stands in fd-1 it owns low-1.
func heard(at identifier.Instant, domain identifier.DomainID, leaving bool) input {
	return input{at, reducer.HostHeard{Host: "h-2", Domain: domain, Leaving: leaving}}
}

// overloaded is an owner's news that urgent work waits for 200 ms at the servers.
func overloaded(at identifier.Instant, servers ...identifier.ServerID) input {
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

// flood is one deferrable attempt behind urgent ones that take 5 ms each.
func flood() []input {
	inputs := []input{submitted(0, "deferrable", identifier.Deferrable, 500*ms)}
	inputs = append([]input{submitted(0, "u-0", identifier.Urgent, 500*ms)}, inputs...)
	for i := range 12 {
		inputs = append(inputs, submitted(0, identifier.RequestID(fmt.Sprintf("u-%d", i+1)), identifier.Urgent, 500*ms))
	}
	for i := range 12 {
		inputs = append(inputs, ended(identifier.Instant(5*(i+1))*ms, identifier.RequestID(fmt.Sprintf("u-%d", i))))
	}
	return inputs
}

var slotSessions = []struct {
	name   string
	inputs []input
}{
	{"rank-order-with-floors", session([]input{heard(0, "fd-2", false)}, flood())},
	{"expired-in-queue", session([]input{
		heard(0, "fd-2", false),
		submitted(0, "runs", identifier.Urgent, 100*ms),
		submitted(1*ms, "expires", identifier.Urgent, 20*ms),
		submitted(1*ms, "waits", identifier.Standard, 500*ms),
		{21 * ms, reducer.Woken{}},
		ended(30*ms, "runs"),
	})},
	{"cancelled-in-queue-and-in-flight", session([]input{
		heard(0, "fd-2", false),
		submitted(0, "runs", identifier.Urgent, 100*ms),
		submitted(0, "waits", identifier.Urgent, 100*ms),
		submitted(0, "next", identifier.Urgent, 100*ms),
		cancelled(1*ms, "waits"),
		cancelled(2*ms, "runs"),
		cancelled(3*ms, "runs"),
		{5 * ms, reducer.CallLost{Server: "low-1", Attempt: identifier.AttemptID{Request: "runs", Sequence: 1}}},
		ended(9*ms, "next"),
	})},
	{"owner-takeover", session([]input{
		renewed(0, 2, 3, leaser.Serving),
		heard(1*ms, "fd-1", false),
		renewed(900*ms, 3, 3, leaser.Serving),
		{950 * ms, reducer.Woken{}},
		{1001 * ms, reducer.Woken{}},
		own(submitted(1002*ms, "first", identifier.Urgent, 5000*ms)),
		own(submitted(1002*ms, "second", identifier.Urgent, 5000*ms)),
		own(submitted(1002*ms, "third", identifier.Urgent, 5000*ms)),
		{1500 * ms, reducer.Woken{}},
		renewed(1700*ms, 4, 3, leaser.Serving),
		{1900 * ms, reducer.Woken{}},
		{2101 * ms, reducer.Woken{}},
		{2201 * ms, reducer.Woken{}},
	})},
	{"owner-handover", session([]input{
		renewed(0, 2, 3, leaser.Serving),
		heard(1*ms, "fd-1", false),
		heard(2*ms, "fd-1", true),
		submitted(3*ms, "first", identifier.Urgent, 5000*ms),
		submitted(3*ms, "second", identifier.Urgent, 5000*ms),
		{202 * ms, reducer.Woken{}},
	})},
	{"own-shutdown", session([]input{
		heard(0, "fd-2", false),
		submitted(1*ms, "runs", identifier.Urgent, 100*ms),
		submitted(1*ms, "waits", identifier.Urgent, 100*ms),
		{2 * ms, reducer.HostLeaving{}},
		submitted(3*ms, "late", identifier.Urgent, 100*ms),
		ended(4*ms, "runs"),
	})},
	{"leaving-owner", session([]input{
		heard(1*ms, "fd-1", false),
		arrived(2*ms, "q", "lookup"),
		served(4*ms, "q", 2, "high-1", upperHalf, snapshot),
		heard(5*ms, "fd-1", true),
		{6 * ms, reducer.AttemptServed{
			Attempt: identifier.AttemptID{Request: "q", Sequence: 1}, Server: "low-1", Snapshot: snapshot, Range: lowerHalf,
		}},
	})},
	{"draining-server", session([]input{
		heard(0, "fd-2", false),
		submitted(0, "runs", identifier.Urgent, 100*ms),
		submitted(0, "waits", identifier.Urgent, 100*ms),
		renewed(5*ms, 2, 1, leaser.Draining),
		submitted(6*ms, "late", identifier.Urgent, 100*ms),
		ended(9*ms, "runs"),
	})},
	{"lapsed-lease", session([]input{
		heard(0, "fd-2", false),
		{900 * ms, reducer.OwnershipRenewed{Until: 1900 * ms}},
		{1700 * ms, reducer.OwnershipRenewed{Until: 2700 * ms}},
		submitted(1799*ms, "runs", identifier.Urgent, 100*ms),
		submitted(1799*ms, "waits", identifier.Urgent, 100*ms),
		ended(1800*ms, "runs"),
		submitted(1801*ms, "late", identifier.Urgent, 100*ms),
	})},
	{"frozen-owner", session([]input{
		renewed(0, 2, 3, leaser.Serving),
		heard(0, "fd-2", false),
		submitted(1200*ms, "unconfirmed", identifier.Urgent, 100*ms),
		{1300 * ms, reducer.Woken{}},
		submitted(1301*ms, "first", identifier.Urgent, 100*ms),
		submitted(1301*ms, "second", identifier.Urgent, 100*ms),
	})},
	{"shedding-server", session([]input{
		renewed(0, 2, 3, leaser.Serving),
		heard(0, "fd-2", false),
		submitted(0, "first", identifier.Urgent, 100*ms),
		submitted(0, "second", identifier.Urgent, 100*ms),
		submitted(0, "third", identifier.Urgent, 100*ms),
		{1 * ms, reducer.CallRefused{Server: "low-1", Attempt: identifier.AttemptID{Request: "third", Sequence: 1}}},
		submitted(2*ms, "fourth", identifier.Urgent, 500*ms),
		{101 * ms, reducer.Woken{}},
	})},
	{"lost-origin", session([]input{
		heard(0, "fd-2", false),
		submitted(0, "runs", identifier.Urgent, 100*ms),
		submitted(0, "waits", identifier.Urgent, 100*ms),
		{1 * ms, reducer.PeerDisconnected{Host: "h-2"}},
		{2 * ms, reducer.CallLost{Server: "low-1", Attempt: identifier.AttemptID{Request: "runs", Sequence: 1}}},
	})},
	{"delayed-relay", session([]input{
		{1000 * ms, reducer.ServerRelayed{From: "h-2", Stamp: reducer.Stamp{Sent: 995 * ms}, Announcement: renewed(0, 2, 1, leaser.Serving).event.(reducer.ServerAnnounced).Announcement}},
		{2700 * ms, reducer.ServerRelayed{From: "h-2", Stamp: reducer.Stamp{Sent: 1095 * ms}, Announcement: renewed(0, 3, 1, leaser.Serving).event.(reducer.ServerAnnounced).Announcement}},
		{2950 * ms, reducer.Woken{}},
	})},
	{"early-refusal", session([]input{
		overloaded(1*ms, "low-1"),
		arrived(2*ms, "half", "lookup"),
		arrived(3*ms, "whole", "archive"),
		overloaded(4*ms, "high-1"),
		arrived(5*ms, "neither", "lookup"),
		arrived(400*ms, "later", "lookup"),
	})},
}
