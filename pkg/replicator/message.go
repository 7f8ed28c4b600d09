package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// Round is the number of a round of messages with which a leader confirms reads.
type Round uint64

// Envelope is a message with its sender, receiver, group and term.
type Envelope struct {
	// Group is the replica id of the member that bootstrapped the group. A replica with entries
	// ignores messages of other groups, except probes.
	Group identifier.ReplicaID
	From  Peer
	// To has no replica id in a Probe, whose sender may not know it.
	To Peer
	// Term is the sender's term.
	Term    identifier.Term
	Message Message
}

// Message is a message between replicas. It is sealed.
type Message interface{ isMessage() }

type (
	// Probe announces a sender that may not be a member and has no active leader.
	Probe struct {
		// Hosts are the control hosts in the sender's settings.
		Hosts []identifier.HostID `msgpack:"h"`
		// Seen is the receiver's replica id, from its latest probe to the sender; 0 is none.
		Seen identifier.ReplicaID `msgpack:"s"`
		// Empty is set when the sender's log has no entries.
		Empty bool `msgpack:"e"`
	}
	// PreVoteRequest asks whether the receiver would vote for the sender in the term after
	// the envelope's.
	PreVoteRequest struct {
		LastIndex identifier.LogIndex `msgpack:"i"`
		LastTerm  identifier.Term     `msgpack:"t"`
	}
	// PreVoteReply answers a PreVoteRequest.
	PreVoteReply struct {
		// Proposed is the term that the candidate would campaign in.
		Proposed identifier.Term `msgpack:"p"`
		Granted  bool            `msgpack:"g"`
	}
	// VoteRequest asks for the receiver's vote in the envelope's term.
	VoteRequest struct {
		LastIndex identifier.LogIndex `msgpack:"i"`
		LastTerm  identifier.Term     `msgpack:"t"`
	}
	// VoteReply answers a VoteRequest.
	VoteReply struct {
		Granted bool `msgpack:"g"`
	}
	// AppendRequest carries log entries from the leader; without entries it is a heartbeat.
	AppendRequest struct {
		// Previous and PreviousTerm are the index and term of the entry before Entries.
		Previous     identifier.LogIndex
		PreviousTerm identifier.Term
		Entries      []Entry
		Commit       identifier.LogIndex
		Round        Round
	}
	// AppendReply answers an AppendRequest or a SnapshotRequest.
	AppendReply struct {
		// Match is the last index at which the log is known to equal the leader's, when not
		// rejected.
		Match identifier.LogIndex `msgpack:"m"`
		// Rejected is set when the log lacks the previous entry or the request is of an earlier
		// term. Hint is the index after which the leader should resume sending.
		Rejected bool                `msgpack:"j"`
		Hint     identifier.LogIndex `msgpack:"h"`
		Round    Round               `msgpack:"r"`
	}
	// SnapshotRequest carries a snapshot that replaces the log of a follower that lags
	// behind the entries the leader still has.
	SnapshotRequest[S any] struct {
		Snapshot Snapshot[S] `msgpack:"s"`
		Round    Round       `msgpack:"r"`
	}
)

func (Probe) isMessage()              {}
func (PreVoteRequest) isMessage()     {}
func (PreVoteReply) isMessage()       {}
func (VoteRequest) isMessage()        {}
func (VoteReply) isMessage()          {}
func (AppendRequest) isMessage()      {}
func (AppendReply) isMessage()        {}
func (SnapshotRequest[S]) isMessage() {}
