package replicator

import (
	"fmt"
	"math/rand/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Limits and spans of the protocol.
const (
	// HeartbeatInterval separates the messages of a leader without entries to send.
	HeartbeatInterval = 100 * identifier.Millisecond
	// ElectionTimeout is the least silence after which a follower seeks to lead, and
	// the silence of a quorum after which a leader steps down. Each wait of a follower
	// is drawn from one to two times it.
	ElectionTimeout = 600 * identifier.Millisecond
	// StartElectionTimeout takes its place on a replica that has heard no leader since it
	// started: all may have restarted, and voters that hear a leader vote for nobody.
	StartElectionTimeout = 200 * identifier.Millisecond
	// ProbeInterval separates the probes of a replica that is no voter and hears no leader.
	ProbeInterval = 200 * identifier.Millisecond
	// LearnerTimeout is the silence after which a learner is removed.
	LearnerTimeout = 10 * identifier.Second
	// SilentVoterTimeout is the silence after which a voter is removed when a host that has
	// joined can take its place: longer than a restart, and short enough that the group bears
	// another loss 4 s after a successor has started. A host that was only cut off joins again.
	SilentVoterTimeout = 3 * identifier.Second
	// SnapshotRetryInterval separates the sendings of a snapshot to one follower.
	SnapshotRetryInterval = 2 * identifier.Second
	// MaxBatch bounds the entries of one message.
	MaxBatch = 128
	// KeptEntries is how many entries before a snapshot stay in memory, for followers that lag a little.
	KeptEntries = 128
)

// Parameters configure a Replicator.
type Parameters struct {
	Self Peer
	// Hosts are the control hosts of the settings, this one among them; they found the group.
	Hosts []identifier.HostID
	// Founded is set when a group exists, so that an empty disk must not found another.
	Founded bool
	// Open lets hosts that are no members join by their probes. A learner that has
	// caught up then takes the place of a voter that has been silent for SilentVoterTimeout.
	Open bool
	// Seed feeds the random election timeouts.
	Seed uint64
	// Require reports whether an invariant holds, each time that it is checked.
	Require func(holds bool, i Invariant, detail string)
}

// role is what a replica does in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Replicator is one replica of the log. It is not safe for concurrent use.
type Replicator[C, S any] struct {
	parameters Parameters
	noop       C
	random     *rand.Rand
	now        identifier.Instant
	recovered  bool
	failed     bool

	role        role
	hard        HardState
	leader      Peer
	leaderHeard identifier.Instant
	// everHeard is set once a leader was heard since the start.
	everHeard   bool
	electionDue identifier.Instant
	votes       map[identifier.ReplicaID]bool

	log      entryLog
	members  memberships
	snapshot *Snapshot[S]
	commit   identifier.LogIndex
	applied  identifier.LogIndex

	leading leadership
	// contacts are hosts besides Parameters.Hosts that probes are sent to.
	contacts []identifier.HostID
	probes   probes
	writes   writes
	output   Output
}

// New returns a Replicator that does nothing until Recover is called. A new
// leader commits the noop command first.
func New[C, S any](p Parameters, noop C) *Replicator[C, S] {
	return &Replicator[C, S]{
		parameters: p,
		noop:       noop,
		random:     rand.New(rand.NewPCG(p.Seed, uint64(p.Self.Replica))),
		probes:     newProbes(),
	}
}

// Recover starts the replica from its stored records; it is called once.
func (r *Replicator[C, S]) Recover(now identifier.Instant, stored Recovered[S]) {
	r.now = now
	r.recovered = true
	r.hard = stored.Hard
	if stored.Snapshot != nil {
		r.adoptSnapshot(stored.Snapshot)
		r.applied = stored.Snapshot.Index
		r.emit(Installed[S]{Index: r.applied, State: stored.Snapshot.State})
	}
	r.appendToLog(stored.Entries)
	r.writes.stable = r.log.last()
	r.probes.due = now
	r.postponeElection()
	if r.isVoter() && r.Members().Voters() == 1 {
		r.electionDue = now
	}
	r.runDue()
}

// Contact replaces the hosts besides Parameters.Hosts that this replica may ask to join.
func (r *Replicator[C, S]) Contact(hosts []identifier.HostID) {
	r.contacts = hosts
}

// Tick does what has fallen due.
func (r *Replicator[C, S]) Tick(now identifier.Instant) {
	r.begin(now)
}

// begin moves the clock and does what has fallen due, before any other input is
// looked at: a leader that was frozen steps down here.
func (r *Replicator[C, S]) begin(now identifier.Instant) bool {
	r.now = max(r.now, now)
	if !r.recovered || r.failed {
		return false
	}
	r.runDue()
	return true
}

func (r *Replicator[C, S]) runDue() {
	switch {
	case r.role == leader:
		r.runLeader()
	case r.maySeek():
		if r.now >= r.electionDue {
			r.seekLeadership()
		}
	default:
		r.runProbes()
	}
}

// NextDue returns the instant of the next Tick, or identifier.Never.
func (r *Replicator[C, S]) NextDue() identifier.Instant {
	switch {
	case !r.recovered || r.failed:
		return identifier.Never
	case r.role == leader:
		return r.leading.heartbeatDue
	case r.maySeek():
		return r.electionDue
	}
	return r.probes.due
}

// Propose appends a command when this replica leads. It returns the command's
// index, and false, with nothing appended, when it does not lead.
func (r *Replicator[C, S]) Propose(now identifier.Instant, command C) (identifier.LogIndex, bool) {
	if !r.begin(now) || r.role != leader {
		return 0, false
	}
	return r.lead(Proposal[C]{Command: command}), true
}

// Receive takes a message from another replica.
func (r *Replicator[C, S]) Receive(now identifier.Instant, e Envelope) {
	if !r.begin(now) {
		return
	}
	if m, ok := e.Message.(Probe); ok {
		r.receiveProbe(e, m)
		return
	}
	if e.To.Replica != r.parameters.Self.Replica || !r.joins(e.Group) {
		return
	}
	switch m := e.Message.(type) {
	case PreVoteRequest:
		r.receivePreVoteRequest(e, m)
	case PreVoteReply:
		r.receivePreVoteReply(e, m)
	case VoteRequest:
		r.receiveVoteRequest(e, m)
	case VoteReply:
		r.receiveVoteReply(e, m)
	case AppendRequest:
		r.receiveAppendRequest(e, m)
	case AppendReply:
		r.receiveAppendReply(e, m)
	case SnapshotRequest[S]:
		r.receiveSnapshot(e, m)
	default:
		panic(fmt.Sprintf("replicator: unknown message %T", m))
	}
}

// joins reports whether a message of the group concerns this replica. One
// without entries belongs to whichever group names its replica id.
func (r *Replicator[C, S]) joins(group identifier.ReplicaID) bool {
	if group == r.hard.Group {
		return true
	}
	if r.log.last() > 0 {
		return false
	}
	r.hard.Group = group
	r.storeHard()
	return true
}

// Take returns what follows from the inputs since the last call.
func (r *Replicator[C, S]) Take() Output {
	output := r.output
	output.Sequence = r.writes.issued
	r.output = Output{}
	return output
}

// Leads reports whether this replica leads; a leader out of touch with its
// quorum finds out at its next input.
func (r *Replicator[C, S]) Leads() bool {
	return r.role == leader
}

// Leader returns the leader of the current term, and whether one is known.
func (r *Replicator[C, S]) Leader() (Peer, bool) {
	return r.leader, r.leader.Replica != 0
}

// Term returns the current term.
func (r *Replicator[C, S]) Term() identifier.Term { return r.hard.Term }

// CommitIndex returns the index up to which entries are known to be final.
func (r *Replicator[C, S]) CommitIndex() identifier.LogIndex { return r.commit }

// Applied returns the index of the last entry or snapshot handed over.
func (r *Replicator[C, S]) Applied() identifier.LogIndex { return r.applied }

// Members returns the membership in use.
func (r *Replicator[C, S]) Members() Membership { return r.members.latest().members }

// CommittedMembers returns the membership as far as it is known to be final.
func (r *Replicator[C, S]) CommittedMembers() Membership { return r.members.at(r.commit) }

// InTouch reports whether this replica leads, or has heard from the leader
// within two election timeouts before the instant.
func (r *Replicator[C, S]) InTouch(now identifier.Instant) bool {
	if r.role == leader {
		return true
	}
	return r.leader.Replica != 0 && now.Since(r.leaderHeard) < 2*ElectionTimeout
}

// Failed reports whether storage has failed; the replica takes no part any more.
func (r *Replicator[C, S]) Failed() bool { return r.failed }

func (r *Replicator[C, S]) isVoter() bool {
	return r.Members().IsVoter(r.parameters.Self.Replica)
}

// maySeek reports whether this replica may seek to lead. One that is removed by
// an entry which may not be committed still may, since the others may need its log.
func (r *Replicator[C, S]) maySeek() bool {
	return r.isVoter() || r.members.at(r.commit).IsVoter(r.parameters.Self.Replica)
}

func (r *Replicator[C, S]) emit(o Outcome) {
	r.output.Outcomes = append(r.output.Outcomes, o)
}

func (r *Replicator[C, S]) require(holds bool, i Invariant, detail string, values ...any) {
	if r.parameters.Require != nil {
		r.parameters.Require(holds, i, fmt.Sprintf(detail, values...))
	}
}

// postponeElection draws the next instant at which this replica seeks to lead.
func (r *Replicator[C, S]) postponeElection() {
	timeout := ElectionTimeout
	if !r.everHeard {
		timeout = StartElectionTimeout
	}
	extra := identifier.Micros(r.random.Int64N(int64(timeout)))
	r.electionDue = r.now.Add(timeout + extra)
}
