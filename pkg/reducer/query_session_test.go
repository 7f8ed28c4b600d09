package reducer_test

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// guilty is the fingerprint of a request that is suspected in the sessions.
const guilty = identifier.Fingerprint(9)

// budgeted is the desk customer with budgets, at a configuration version and an epoch.
func budgeted(at identifier.Instant, version identifier.Version, epoch identifier.Epoch, budgets configurer.Budgets) input {
	e := desk().event.(reducer.ConfigurationLoaded)
	e.Version = version
	e.Customers[0].Budgets = &budgets
	e.Customers[0].Partition.Epoch = epoch
	return input{at, e}
}

// replicated is a host with two servers for each of the customer's services.
func replicated(budgets configurer.Budgets) []input {
	return session([]input{
		budgeted(0, 4, 1, budgets),
		announced("low-2", "low", lowerHalf, 7),
		announced("high-2", "high", upperHalf, 7),
	})
}

// held is a later announcement of a server: what it holds, as which incarnation.
func held(
	at identifier.Instant, server identifier.ServerID, service identifier.ServiceID, incarnation identifier.Incarnation,
	epoch identifier.Epoch, r identifier.HashRange, version identifier.IndexVersion,
) input {
	i := announced(server, service, r, version)
	e := i.event.(reducer.ServerAnnounced)
	e.Announcement.Incarnation, e.Announcement.Sequence = incarnation, 2
	e.Announcement.Holdings[0].Epoch = epoch
	return input{at, e}
}

func attemptOf(request identifier.RequestID, sequence uint32) identifier.AttemptID {
	return identifier.AttemptID{Request: request, Sequence: sequence}
}

func lost(at identifier.Instant, request identifier.RequestID, sequence uint32, server identifier.ServerID) input {
	return input{at, reducer.CallLost{Server: server, Attempt: attemptOf(request, sequence)}}
}

func refused(at identifier.Instant, request identifier.RequestID, sequence uint32, server identifier.ServerID, reason reducer.RefusalReason) input {
	return input{at, reducer.CallRefused{Server: server, Attempt: attemptOf(request, sequence), Reason: reason}}
}

// marked is a query whose fingerprint is the guilty one.
func marked(at identifier.Instant, request identifier.RequestID) input {
	i := arrived(at, request, "archive")
	e := i.event.(reducer.QueryArrived)
	e.Fingerprint = guilty
	e.Timeout = 900 * identifier.Millisecond
	return input{at, e}
}

// distant is a server of the service low that the host h-2 owns.
func distant() []input {
	e := announced("low-9", "low", lowerHalf, 7).event.(reducer.ServerAnnounced)
	e.Announcement.Domain = "fd-2"
	return []input{
		{0, reducer.HostHeard{Host: "h-2", Domain: "fd-2"}},
		{0, reducer.ServerRelayed{From: "h-2", Announcement: e.Announcement}},
	}
}

// onlyDistant is a host whose only server for the service low belongs to h-2, until one of its own appears.
func onlyDistant(budgets configurer.Budgets) []input {
	return append([]input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		budgeted(0, 4, 1, budgets),
		announced("high-1", "high", upperHalf, 7),
	}, distant()...)
}

var (
	generous = configurer.Budgets{Hedge: 1, Retry: 1}
	later    = identifier.Snapshot{Epoch: 1, Version: 8}
	moved    = identifier.Snapshot{Epoch: 2, Version: 7}
)

var querySessions = []struct {
	name   string
	inputs []input
}{
	{"hedge-and-cancel", append(replicated(generous), []input{
		marked(20*ms, "slow"),
		served(24*ms, "slow", 1, "low-2", lowerHalf, snapshot),
		{70 * ms, reducer.Woken{}},
		served(75*ms, "slow", 3, "high-1", upperHalf, snapshot),
		lost(76*ms, "slow", 2, "high-2"),
	}...)},
	{"hedge-budget-spent", append(replicated(configurer.Budgets{Hedge: 0.1}), []input{
		marked(20*ms, "slow"),
		served(24*ms, "slow", 1, "low-2", lowerHalf, snapshot),
		{70 * ms, reducer.Woken{}},
		{120 * ms, reducer.Woken{}},
		served(130*ms, "slow", 2, "high-2", upperHalf, snapshot),
	}...)},
	{"no-hedge-in-a-flood", append(replicated(generous), []input{
		marked(20*ms, "slow"),
		served(24*ms, "slow", 1, "low-2", lowerHalf, snapshot),
		{60 * ms, reducer.QueuesEstimated{Servers: []reducer.ServerEstimate{{Server: "high-1", Estimate: estimator.Estimate{
			Backlog: [identifier.RankCount]uint32{0, 0, 40},
			Step:    [identifier.RankCount]identifier.Micros{5000, 5000, 5000},
			Service: 5000,
		}}}}},
		{70 * ms, reducer.Woken{}},
		served(75*ms, "slow", 2, "high-2", upperHalf, snapshot),
	}...)},
	{"retry-after-refusals", append(replicated(generous), []input{
		marked(20*ms, "q"),
		served(24*ms, "q", 1, "low-2", lowerHalf, snapshot),
		refused(25*ms, "q", 2, "high-2", reducer.RefusedByServer),
		refused(26*ms, "q", 3, "high-1", reducer.RefusedUnreachable),
		{60 * ms, reducer.Woken{}},
		served(65*ms, "q", 4, "high-2", upperHalf, snapshot),
	}...)},
	{"replan-at-a-newer-snapshot", append(session(), []input{
		marked(20*ms, "q"),
		served(24*ms, "q", 1, "low-1", lowerHalf, snapshot),
		held(25*ms, "low-1", "low", 1, 1, lowerHalf, 8),
		held(26*ms, "high-1", "high", 1, 1, upperHalf, 8),
		refused(27*ms, "q", 2, "high-1", reducer.RefusedSnapshot),
		{60 * ms, reducer.Woken{}},
		served(64*ms, "q", 3, "low-1", lowerHalf, later),
		served(65*ms, "q", 4, "high-1", upperHalf, later),
	}...)},
	{"repartition", append(session(), []input{
		budgeted(10*ms, 4, 2, generous),
		held(11*ms, "low-2", "low", 1, 2, lowerHalf, 7),
		arrived(20*ms, "before", "archive"),
		served(24*ms, "before", 1, "low-1", lowerHalf, snapshot),
		served(24*ms, "before", 2, "high-1", upperHalf, snapshot),
		held(30*ms, "high-2", "high", 1, 2, upperHalf, 7),
		arrived(40*ms, "after", "archive"),
		served(44*ms, "after", 1, "low-2", lowerHalf, moved),
		served(44*ms, "after", 2, "high-2", upperHalf, moved),
	}...)},
	{"quarantine-after-a-probe", append(replicated(generous), []input{
		marked(20*ms, "first"),
		lost(24*ms, "first", 1, "low-2"),
		lost(25*ms, "first", 2, "high-2"),
		lost(28*ms, "first", 3, "low-1"),
		marked(30*ms, "resent"),
		held(500*ms, "low-2", "low", 2, 1, lowerHalf, 7),
		held(600*ms, "low-1", "low", 2, 1, lowerHalf, 7),
		marked(610*ms, "again"),
		{700 * ms, reducer.QuarantineReleased{Fingerprint: guilty}},
		marked(710*ms, "released"),
	}...)},
	{"cleared-by-a-probe", append(replicated(generous), []input{
		marked(20*ms, "innocent"),
		lost(24*ms, "innocent", 1, "low-2"),
		marked(25*ms, "same"),
		served(28*ms, "innocent", 2, "high-2", upperHalf, snapshot),
		served(29*ms, "innocent", 3, "low-1", lowerHalf, snapshot),
		held(500*ms, "low-2", "low", 2, 1, lowerHalf, 7),
		marked(510*ms, "later"),
	}...)},
	{"peer-cut-off", append(onlyDistant(generous), []input{
		marked(10*ms, "q"),
		served(14*ms, "q", 2, "high-1", upperHalf, snapshot),
		held(15*ms, "low-1", "low", 1, 1, lowerHalf, 7),
		{20 * ms, reducer.PeerDisconnected{Host: "h-2"}},
		served(25*ms, "q", 3, "low-1", lowerHalf, snapshot),
	}...)},
	{"peer-silent", append(onlyDistant(generous), []input{
		marked(10*ms, "q"),
		served(14*ms, "q", 2, "high-1", upperHalf, snapshot),
		held(15*ms, "low-1", "low", 1, 1, lowerHalf, 7),
		{60 * ms, reducer.Woken{}},
		served(66*ms, "q", 3, "low-1", lowerHalf, snapshot),
	}...)},
	{"peer-cut-off-with-its-servers", append(onlyDistant(generous), []input{
		arrived(10*ms, "q", "lookup"),
		served(14*ms, "q", 2, "high-1", upperHalf, snapshot),
		{20 * ms, reducer.PeerDisconnected{Host: "h-2"}},
		{60 * ms, reducer.Woken{}},
		{1500 * ms, reducer.Woken{}},
		arrived(1500*ms, "hole", "lookup"),
		served(1504*ms, "hole", 2, "high-1", upperHalf, snapshot),
	}...)},
}
