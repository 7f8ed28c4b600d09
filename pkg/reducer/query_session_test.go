package reducer_test

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// suspectFingerprint is the fingerprint of a request that is suspected of crashing servers.
const suspectFingerprint = identifier.Fingerprint(9)

// configurationWithBudgets returns the configuration of the desk customer with budgets, at a
// version and an epoch.
func configurationWithBudgets(at identifier.Instant, version identifier.Version, epoch identifier.Epoch, budgets configurer.Budgets) input {
	e := deskConfiguration().event.(reducer.ConfigurationLoaded)
	e.Version = version
	e.Customers[0].Budgets = &budgets
	e.Customers[0].Partition.Epoch = epoch
	return input{at, e}
}

// replicatedServerInputs starts a host with two servers for each of the customer's services.
func replicatedServerInputs(budgets configurer.Budgets) []input {
	return sessionInputs([]input{
		configurationWithBudgets(0, 4, 1, budgets),
		serverAnnounced("low-2", "low", lowerHalf, 7),
		serverAnnounced("high-2", "high", upperHalf, 7),
	})
}

// serverReannounced returns a later announcement of a server with the given incarnation and
// holding.
func serverReannounced(
	at identifier.Instant, server identifier.ServerID, service identifier.ServiceID, incarnation identifier.Incarnation,
	epoch identifier.Epoch, r identifier.HashRange, version identifier.IndexVersion,
) input {
	i := serverAnnounced(server, service, r, version)
	e := i.event.(reducer.ServerAnnounced)
	e.Announcement.Incarnation, e.Announcement.Sequence = incarnation, 2
	e.Announcement.Holdings[0].Epoch = epoch
	return input{at, e}
}

func attemptID(request identifier.RequestID, sequence uint32) identifier.AttemptID {
	return identifier.AttemptID{Request: request, Sequence: sequence}
}

func callLost(at identifier.Instant, request identifier.RequestID, sequence uint32, server identifier.ServerID) input {
	return input{at, reducer.CallLost{Server: server, Attempt: attemptID(request, sequence)}}
}

func callRefused(at identifier.Instant, request identifier.RequestID, sequence uint32, server identifier.ServerID, reason reducer.RefusalReason) input {
	return input{at, reducer.CallRefused{Server: server, Attempt: attemptID(request, sequence), Reason: reason}}
}

// suspectArrived returns the arrival of a query with the suspect fingerprint.
func suspectArrived(at identifier.Instant, request identifier.RequestID) input {
	i := queryArrived(at, request, "archive")
	e := i.event.(reducer.QueryArrived)
	e.Fingerprint = suspectFingerprint
	e.Timeout = 900 * identifier.Millisecond
	return input{at, e}
}

// suspectSubmitted returns the submission, by another host, of an attempt for low-1 with a
// fingerprint.
func suspectSubmitted(at identifier.Instant, request identifier.RequestID, f identifier.Fingerprint, probe bool) input {
	e := attemptSubmitted(at, request, identifier.Urgent, 100*ms).event.(reducer.AttemptSubmitted)
	e.Fingerprint, e.Probe = f, probe
	return input{at, e}
}

// remoteServerInputs adds a server of the service low that the host h-2 owns.
func remoteServerInputs() []input {
	e := serverAnnounced("low-9", "low", lowerHalf, 7).event.(reducer.ServerAnnounced)
	e.Announcement.Domain = "fd-2"
	return []input{
		{0, reducer.HostHeard{Host: "h-2", Domain: "fd-2"}},
		{0, reducer.ServerRelayed{From: "h-2", Announcement: e.Announcement}},
	}
}

// onlyRemoteServerInputs starts a host whose only server for the service low is owned by h-2. A
// session may announce a local one later.
func onlyRemoteServerInputs(budgets configurer.Budgets) []input {
	return append([]input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		configurationWithBudgets(0, 4, 1, budgets),
		serverAnnounced("high-1", "high", upperHalf, 7),
	}, remoteServerInputs()...)
}

var (
	generousBudgets       = configurer.Budgets{Hedge: 1, Retry: 1}
	laterSnapshot         = identifier.Snapshot{Epoch: 1, Version: 8}
	repartitionedSnapshot = identifier.Snapshot{Epoch: 2, Version: 7}
)

var querySessions = []struct {
	name   string
	inputs []input
}{
	{"hedge-and-cancel", append(replicatedServerInputs(generousBudgets), []input{
		suspectArrived(20*ms, "slow"),
		{70 * ms, reducer.Woken{}},
		callServed(75*ms, "slow", 4, "high-1", upperHalf, snapshot),
		callLost(76*ms, "slow", 2, "high-2"),
		callServed(80*ms, "slow", 1, "low-2", lowerHalf, snapshot),
		callLost(81*ms, "slow", 3, "low-1"),
	}...)},
	{"suspects-held-back-by-the-owner", sessionInputs([]input{
		hostHeard(0, "fd-2", false),
		lowServerAnnounced(0, 2, 2, leaser.Serving),
		{1 * ms, reducer.FingerprintSuspected{Fingerprint: suspectFingerprint, Service: "low"}},
		suspectSubmitted(2*ms, "resent", suspectFingerprint, false),
		suspectSubmitted(3*ms, "probe", suspectFingerprint, true),
		suspectSubmitted(4*ms, "other", suspectFingerprint+1, true),
		attemptEnded(9*ms, "probe"),
		suspectSubmitted(10*ms, "after", suspectFingerprint+1, true),
	})},
	{"hedge-budget-spent", append(replicatedServerInputs(configurer.Budgets{Hedge: 0.1}), []input{
		suspectArrived(20*ms, "slow"),
		callServed(24*ms, "slow", 1, "low-2", lowerHalf, snapshot),
		{70 * ms, reducer.Woken{}},
		{120 * ms, reducer.Woken{}},
		callServed(130*ms, "slow", 2, "high-2", upperHalf, snapshot),
	}...)},
	{"no-hedge-in-a-flood", append(replicatedServerInputs(generousBudgets), []input{
		suspectArrived(20*ms, "slow"),
		callServed(24*ms, "slow", 1, "low-2", lowerHalf, snapshot),
		{60 * ms, reducer.QueuesEstimated{Servers: []reducer.ServerEstimate{{Server: "high-1", Estimate: estimator.Estimate{
			Backlog: [identifier.RankCount]uint32{0, 0, 40},
			Step:    [identifier.RankCount]identifier.Micros{5000, 5000, 5000},
			Service: 5000,
		}}}}},
		{70 * ms, reducer.Woken{}},
		callServed(75*ms, "slow", 2, "high-2", upperHalf, snapshot),
	}...)},
	{"retry-after-refusals", append(replicatedServerInputs(generousBudgets), []input{
		suspectArrived(20*ms, "q"),
		callServed(24*ms, "q", 1, "low-2", lowerHalf, snapshot),
		callRefused(25*ms, "q", 2, "high-2", reducer.RefusedByServer),
		callRefused(26*ms, "q", 3, "high-1", reducer.RefusedUnreachable),
		{60 * ms, reducer.Woken{}},
		callServed(65*ms, "q", 4, "high-2", upperHalf, snapshot),
	}...)},
	{"replan-at-a-newer-snapshot", append(sessionInputs(), []input{
		suspectArrived(20*ms, "q"),
		callServed(24*ms, "q", 1, "low-1", lowerHalf, snapshot),
		serverReannounced(25*ms, "low-1", "low", 1, 1, lowerHalf, 8),
		serverReannounced(26*ms, "high-1", "high", 1, 1, upperHalf, 8),
		callRefused(27*ms, "q", 2, "high-1", reducer.RefusedSnapshot),
		{60 * ms, reducer.Woken{}},
		callServed(64*ms, "q", 3, "low-1", lowerHalf, laterSnapshot),
		callServed(65*ms, "q", 4, "high-1", upperHalf, laterSnapshot),
	}...)},
	{"repartition", append(sessionInputs(), []input{
		configurationWithBudgets(10*ms, 4, 2, generousBudgets),
		serverReannounced(11*ms, "low-2", "low", 1, 2, lowerHalf, 7),
		queryArrived(20*ms, "before", "archive"),
		callServed(24*ms, "before", 1, "low-1", lowerHalf, snapshot),
		callServed(24*ms, "before", 2, "high-1", upperHalf, snapshot),
		serverReannounced(30*ms, "high-2", "high", 1, 2, upperHalf, 7),
		queryArrived(40*ms, "after", "archive"),
		callServed(44*ms, "after", 1, "low-2", lowerHalf, repartitionedSnapshot),
		callServed(44*ms, "after", 2, "high-2", upperHalf, repartitionedSnapshot),
	}...)},
	{"quarantine-after-a-probe", append(replicatedServerInputs(generousBudgets), []input{
		suspectArrived(20*ms, "first"),
		callLost(24*ms, "first", 1, "low-2"),
		callLost(25*ms, "first", 2, "high-2"),
		callLost(28*ms, "first", 3, "low-1"),
		suspectArrived(30*ms, "resent"),
		serverReannounced(500*ms, "low-2", "low", 2, 1, lowerHalf, 7),
		serverReannounced(600*ms, "low-1", "low", 2, 1, lowerHalf, 7),
		suspectArrived(610*ms, "again"),
		{700 * ms, reducer.QuarantineReleased{Fingerprint: suspectFingerprint}},
		suspectArrived(710*ms, "released"),
	}...)},
	{"cleared-by-a-probe", append(replicatedServerInputs(generousBudgets), []input{
		suspectArrived(20*ms, "innocent"),
		callLost(24*ms, "innocent", 1, "low-2"),
		suspectArrived(25*ms, "same"),
		callServed(28*ms, "innocent", 2, "high-2", upperHalf, snapshot),
		callServed(29*ms, "innocent", 3, "low-1", lowerHalf, snapshot),
		serverReannounced(500*ms, "low-2", "low", 2, 1, lowerHalf, 7),
		suspectArrived(510*ms, "later"),
	}...)},
	{"peer-cut-off", append(onlyRemoteServerInputs(generousBudgets), []input{
		suspectArrived(10*ms, "q"),
		callServed(14*ms, "q", 2, "high-1", upperHalf, snapshot),
		serverReannounced(15*ms, "low-1", "low", 1, 1, lowerHalf, 7),
		{20 * ms, reducer.PeerDisconnected{Host: "h-2"}},
		callServed(25*ms, "q", 3, "low-1", lowerHalf, snapshot),
	}...)},
	{"peer-silent", append(onlyRemoteServerInputs(generousBudgets), []input{
		suspectArrived(10*ms, "q"),
		callServed(14*ms, "q", 2, "high-1", upperHalf, snapshot),
		serverReannounced(15*ms, "low-1", "low", 1, 1, lowerHalf, 7),
		{60 * ms, reducer.Woken{}},
		callServed(66*ms, "q", 3, "low-1", lowerHalf, snapshot),
	}...)},
	{"peer-cut-off-with-its-servers", append(onlyRemoteServerInputs(generousBudgets), []input{
		queryArrived(10*ms, "q", "lookup"),
		callServed(14*ms, "q", 2, "high-1", upperHalf, snapshot),
		{20 * ms, reducer.PeerDisconnected{Host: "h-2"}},
		{60 * ms, reducer.Woken{}},
		{1500 * ms, reducer.Woken{}},
		queryArrived(1500*ms, "hole", "lookup"),
		callServed(1504*ms, "hole", 2, "high-1", upperHalf, snapshot),
	}...)},
}
