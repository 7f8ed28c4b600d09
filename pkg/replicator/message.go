package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// Round numbers the rounds of messages by which a leader confirms reads.
type Round uint64

// Envelope is a message and its addresses.
type Envelope struct {
	// Group is the founder's replica id; a replica ignores other groups.
	Group identifier.ReplicaID
	From  Peer
	// To has no replica id when the sender doesn't know it, in a Probe.
	To Peer
	// Term is the sender's term.
	Term    identifier.Term
	Message Message
}

// Message is what replicas send to each other. It is sealed.
type Message interface{ isMessage() }

type (
	// Probe says that the sender may be no member, and hears no leader.
	Probe struct {
		// Hosts are the control hosts of the sender's settings.
		Hosts []identifier.HostID `msgpack:"h"`
		// Seen is the receiver's replica id, from its latest probe to the sender.
		Seen identifier.ReplicaID `msgpack:"s"`
		// Empty is set when the sender has no entry.
		Empty bool `msgpack:"e"`
	}
	// PreVoteRequest asks whether the receiver would vote for the sender in the next term.
	PreVoteRequest struct {
		LastIndex identifier.LogIndex `msgpack:"i"`
		LastTerm  identifier.Term     `msgpack:"t"`
	}
	// PreVoteReply answers a PreVoteRequest.
	PreVoteReply struct {
		// Proposed is the term that the sender of the request would campaign in.
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
	// AppendRequest is the leader's heartbeat; it carries entries when there are any.
	AppendRequest struct {
		// Previous and PreviousTerm are those of the entry before the first of Entries.
		Previous     identifier.LogIndex
		PreviousTerm identifier.Term
		Entries      []Entry
		Commit       identifier.LogIndex
		Round        Round
	}
	// AppendReply answers an AppendRequest or a SnapshotRequest.
	AppendReply struct {
		// Match is the last index that is known to equal the leader's, when not rejected.
		Match identifier.LogIndex `msgpack:"m"`
		// Rejected says that the log lacks the previous entry; Hint is where to go on after.
		Rejected bool                `msgpack:"j"`
		Hint     identifier.LogIndex `msgpack:"h"`
		Round    Round               `msgpack:"r"`
	}
	// SnapshotRequest replaces the log of a follower that is too far behind.
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
