package reducer_test

import (
	"github.com/onsi/ginkgo/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

var (
	// soleControlHost is the only control host.
	soleControlHost = reducer.Parameters{
		Host: "h-1", Domain: "fd-1", Strict: true, ControlHosts: []identifier.HostID{"h-1"},
	}
	// oneOfThree is one of three control hosts.
	oneOfThree = reducer.Parameters{
		Host: "h-1", Domain: "fd-1", Strict: true,
		Peers:        []router.Host{{ID: "h-2", Domain: "fd-2"}, {ID: "h-3", Domain: "fd-3"}},
		ControlHosts: []identifier.HostID{"h-1", "h-2", "h-3"},
	}
	threeVoters = replicator.Membership{
		{Peer: replicator.Peer{Host: "h-1", Replica: 1}, Voter: true},
		{Peer: replicator.Peer{Host: "h-2", Replica: 2}, Voter: true},
		{Peer: replicator.Peer{Host: "h-3", Replica: 3}, Voter: true},
	}
)

func recordsStored(at identifier.Instant, s replicator.WriteSequence) input {
	return input{at, reducer.RecordsStored{Sequence: s}}
}

// replicaMessaged returns a message from another control host in term 4.
func replicaMessaged(at identifier.Instant, from int, m replicator.Message) input {
	return input{at, reducer.ReplicaMessaged{Envelope: replicator.Envelope{
		Group: 1, From: threeVoters[from-1].Peer, To: threeVoters[0].Peer, Term: 4, Message: m,
	}}}
}

// soleControlHostInputs starts the only control host, which has founded its group and leads.
func soleControlHostInputs(inputs ...input) []input {
	return append([]input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{0, reducer.LogRecovered{Replica: 5}},
		deskConfiguration(),
		recordsStored(2*ms, 3),
		recordsStored(4*ms, 4),
		recordsStored(6*ms, 5),
	}, inputs...)
}

// recoveredControlHostInputs restarts a control host whose log holds an entry of term 3.
func recoveredControlHostInputs(inputs ...input) []input {
	return append([]input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		{0, reducer.LogRecovered{Replica: 1, Stored: replicator.Recovered[reducer.ControlSnapshot]{
			Hard: replicator.HardState{Group: 1, Term: 3},
			Entries: []replicator.Entry{
				{Index: 1, Term: 3, Content: replicator.MembershipChange{Members: threeVoters}},
			},
		}}},
	}, inputs...)
}

var replicationSessions = []struct {
	name       string
	parameters reducer.Parameters
	inputs     []input
}{
	{"log-change-on-sole-host", soleControlHost, soleControlHostInputs(
		changeRequested(10*ms, "one"),
		input{11 * ms, reducer.ObjectsRequested{Ticket: 10, Read: reducer.ObjectsRead{Name: templateName}}},
		recordsStored(12*ms, 6),
	)},
	{"log-storage-fails", soleControlHost, soleControlHostInputs(
		changeRequested(10*ms, "one"),
		input{12 * ms, reducer.StorageFailed{Reason: "no space left on device"}},
		input{13 * ms, reducer.ObjectsRequested{Ticket: 10, Read: reducer.ObjectsRead{Name: templateName}}},
	)},
	{"log-append-waits-for-sync", oneOfThree, recoveredControlHostInputs(
		replicaMessaged(10*ms, 2, replicator.AppendRequest{
			Previous: 1, PreviousTerm: 3, Commit: 2, Round: 1,
			Entries: []replicator.Entry{{Index: 2, Term: 4, Content: replicator.Proposal[reducer.Command]{
				Command: reducer.ObjectChanged{Change: registrar.Change{ID: "one", Edit: templateEdit(70)}},
			}}},
		}),
		recordsStored(15*ms, 2),
	)},
	{"log-votes-once-a-term", oneOfThree, recoveredControlHostInputs(
		replicaMessaged(10*ms, 2, replicator.VoteRequest{LastIndex: 1, LastTerm: 3}),
		replicaMessaged(11*ms, 3, replicator.VoteRequest{LastIndex: 1, LastTerm: 3}),
		recordsStored(15*ms, 2),
	)},
}

var _ = ginkgo.Describe("sessions of control hosts", func() {
	for _, s := range replicationSessions {
		ginkgo.It("match the golden file of "+s.name, func() {
			expectGolden(s.name, s.parameters, s.inputs)
		})
	}
})
