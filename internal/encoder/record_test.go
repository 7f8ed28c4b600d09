package encoder_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

var (
	members = replicator.Membership{{Peer: replicator.Peer{Host: "h", Replica: 1 << 63}, Voter: true}}
	entries = []replicator.Entry{
		{Index: 5, Term: 2, Content: replicator.MembershipChange{Members: members}},
		{Index: 6, Term: 2, Content: replicator.Proposal[reducer.Command]{Command: reducer.NoCommand{}}},
		{Index: 7, Term: 2, Content: replicator.Proposal[reducer.Command]{
			Command: reducer.ObjectChanged{Change: registrar.Change{ID: "i", Replaces: 4, At: 5, Edit: putCustomer}},
		}},
	}
	logSnapshot = replicator.Snapshot[reducer.ControlSnapshot]{Index: 9, Term: 2, Members: members}
)

var messages = []replicator.Message{
	replicator.Probe{Seen: 4, Empty: true},
	replicator.PreVoteRequest{LastIndex: 4, LastTerm: 5},
	replicator.PreVoteReply{Proposed: 4, Granted: true},
	replicator.VoteRequest{LastIndex: 4, LastTerm: 5},
	replicator.VoteReply{Granted: true},
	replicator.AppendRequest{Previous: 4, PreviousTerm: 2, Entries: entries, Commit: 3, Round: 7},
	replicator.AppendReply{Rejected: true, Hint: 8, Round: 7},
	replicator.SnapshotRequest[reducer.ControlSnapshot]{Snapshot: logSnapshot, Round: 7},
}

var _ = ginkgo.Describe("the replicated log's encoding", func() {
	for _, m := range messages {
		event := reducer.ReplicaMessaged{Envelope: replicator.Envelope{
			Group: 3, From: members[0].Peer, To: replicator.Peer{Host: "x"}, Term: 1 << 63, Message: m,
		}}
		ginkgo.It("decodes the message that was encoded", func() {
			data, err := encoder.Encode(event)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			decoded, err := encoder.Decode(data)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(decoded).To(gomega.Equal(event))
		})
	}
	for _, r := range []replicator.Record{
		replicator.HardState{Group: 1, Term: 2, Vote: 3},
		replicator.EntriesAppended{Entries: entries},
	} {
		ginkgo.It("decodes the record that was encoded", func() {
			data, err := encoder.EncodeRecord(r)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			decoded, err := encoder.DecodeRecord(data)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(decoded).To(gomega.Equal(r))
			for length := range len(data) {
				_, err := encoder.DecodeRecord(data[:length])
				gomega.Expect(err).To(gomega.HaveOccurred(), "truncated to %d bytes", length)
			}
		})
	}
	ginkgo.It("decodes the snapshot that was encoded", func() {
		data, err := encoder.EncodeSnapshot(logSnapshot)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		decoded, err := encoder.DecodeSnapshot(data)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(decoded).To(gomega.Equal(logSnapshot))
	})
})
