package replicator

import (
	"fmt"
	"math/rand/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Timeouts, intervals and limits of the protocol.
const (
	// HeartbeatInterval is the interval between heartbeats of a leader that has no entries to
	// send.
	HeartbeatInterval = 100 * identifier.Millisecond
	// ElectionTimeout is the minimum time without a message from the leader after which a
	// follower starts an election, and the time without replies from a quorum after which a
	// leader steps down. A follower waits for a random time of one to two times this value.
	ElectionTimeout = 600 * identifier.Millisecond
	// StartElectionTimeout replaces ElectionTimeout on a replica that has received nothing from
	// a leader since it started, so that a group whose replicas have all restarted elects a
	// leader sooner. If only this replica has restarted, the short timeout does no harm, since
	// voters with an active leader reject the candidate.
	StartElectionTimeout = 200 * identifier.Millisecond
	// ProbeInterval is the interval between probes of a replica that is not a voter and has
	// no active leader.
	ProbeInterval = 200 * identifier.Millisecond
	// LearnerTimeout is the time without a reply after which a learner is removed.
	LearnerTimeout = 10 * identifier.Second
	// SilentVoterTimeout is the time without a reply after which a voter is removed when a host
	// that has joined can replace it, or when the group bears no less without it. It is longer
	// than a restart, and short enough that the group survives another failure 4 s after a
	// replacement has started. A host that was only partitioned joins again.
	SilentVoterTimeout = 3 * identifier.Second
	// SnapshotRetryInterval is the minimum interval between sends of a snapshot to one member.
	SnapshotRetryInterval = 2 * identifier.Second
	// MaxBatchEntries is the maximum number of entries in a message.
	MaxBatchEntries = 128
	// KeptEntries is the number of entries before a snapshot that stay in memory, so that
	// followers that lag slightly don't need the snapshot.
	KeptEntries = 128
)

// Parameters configures a Replicator.
type Parameters struct {
	Self Peer
	// Hosts are the control hosts in the settings, including this one. They form the initial
	// membership.
	Hosts []identifier.HostID
	// Bootstrapped is set when a group exists, so a replica with an empty disk must not bootstrap
	// another one.
	Bootstrapped bool
	// AutoJoin lets hosts that are not members join by sending probes. The number of voters then
	// stays odd, and a learner that has caught up replaces a voter that has been silent for
	// SilentVoterTimeout.
	AutoJoin bool
	// Seed is the random seed of the election timeouts.
	Seed uint64
	// Require is called with the result of each check of an invariant. It may be nil.
	Require func(holds bool, i Invariant, detail string)
}

// role is the role of a replica in its term.
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
	lastContact identifier.Instant
	// lastLeader is the leader that last sent a message, at lastContact.
	lastLeader identifier.ReplicaID
	// leaderSeen is set once the replica has received a message from a leader, or has led,
	// since it started.
	leaderSeen  bool
	electionDue identifier.Instant
	votes       map[identifier.ReplicaID]bool

	log      entryLog
	members  memberships
	snapshot *Snapshot[S]
	commit   identifier.LogIndex
	applied  identifier.LogIndex

	leading leaderState
	// probeTargets are the hosts besides Parameters.Hosts that probes are sent to.
	probeTargets []identifier.HostID
	probes       probes
	writes       writes
	output       Output
}

// New returns a Replicator that does nothing until Recover is called. The noop is
// the command that a new leader commits first.
func New[C, S any](p Parameters, noop C) *Replicator[C, S] {
	return &Replicator[C, S]{
		parameters: p,
		noop:       noop,
		random:     rand.New(rand.NewPCG(p.Seed, uint64(p.Self.Replica))),
		probes:     newProbes(),
	}
}

// Recover starts the replica from its stored records. It must be called once.
func (r *Replicator[C, S]) Recover(now identifier.Instant, stored Recovered[S]) {
	r.now = now
	r.recovered = true
	r.hard = stored.Hard
	if stored.Snapshot != nil {
		r.adoptSnapshot(stored.Snapshot)
		r.applied = stored.Snapshot.Index
		r.emit(SnapshotInstalled[S]{Index: r.applied, State: stored.Snapshot.State})
	}
	r.appendToLog(stored.Entries)
	r.writes.syncedIndex = r.log.last()
	r.probes.due = now
	r.resetElectionTimer()
	if r.isVoter() && r.Members().Voters() == 1 {
		r.electionDue = now
	}
	r.runDue()
}

// SetProbeTargets sets the hosts besides Parameters.Hosts to which this replica sends probes.
func (r *Replicator[C, S]) SetProbeTargets(hosts []identifier.HostID) {
	r.probeTargets = hosts
}

// Tick runs the timers that are due.
func (r *Replicator[C, S]) Tick(now identifier.Instant) {
	r.begin(now)
}

// begin advances the clock and runs the timers that are due. It must be called before an input
// is handled, so that a leader that was frozen steps down first; Persisted first records the
// sync and releases the messages that waited for it. It returns false if Recover has not been
// called or storage has failed.
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
		r.tickLeader()
	case r.mayStartElection():
		if r.now >= r.electionDue {
			r.startElection()
		}
	default:
		r.runProbes()
	}
}

// NextDue returns the instant at which Tick must be called next, or identifier.Never.
func (r *Replicator[C, S]) NextDue() identifier.Instant {
	switch {
	case !r.recovered || r.failed:
		return identifier.Never
	case r.role == leader:
		return r.leading.heartbeatDue
	case r.mayStartElection():
		return r.electionDue
	}
	return r.probes.due
}

// Propose appends a command and returns its index. It appends nothing and returns
// false when this replica is not the leader.
func (r *Replicator[C, S]) Propose(now identifier.Instant, command C) (identifier.LogIndex, bool) {
	if !r.begin(now) || r.role != leader {
		return 0, false
	}
	return r.appendAsLeader(Proposal[C]{Command: command}), true
}

// Receive handles a message from another replica.
func (r *Replicator[C, S]) Receive(now identifier.Instant, e Envelope) {
	if !r.begin(now) {
		return
	}
	if m, ok := e.Message.(Probe); ok {
		r.receiveProbe(e, m)
		return
	}
	if e.To.Replica != r.parameters.Self.Replica || !r.acceptsGroup(e.Group) {
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
		panic(fmt.Sprintf("replicator: unknown message type %T", m))
	}
}

// acceptsGroup reports whether this replica accepts messages of the group. A replica
// without entries joins any group that sends to its replica id.
func (r *Replicator[C, S]) acceptsGroup(group identifier.ReplicaID) bool {
	if group == r.hard.Group {
		return true
	}
	if r.log.last() > 0 {
		return false
	}
	r.hard.Group = group
	r.storeHardState()
	return true
}

// Take returns the output since the last call.
func (r *Replicator[C, S]) Take() Output {
	output := r.output
	output.Sequence = r.writes.issued
	r.output = Output{}
	return output
}

// IsLeader reports whether this replica leads. A leader that has lost its quorum
// steps down only at its next input.
func (r *Replicator[C, S]) IsLeader() bool {
	return r.role == leader
}

// Leader returns the leader of the current term, and whether it is known.
func (r *Replicator[C, S]) Leader() (Peer, bool) {
	return r.leader, r.leader.Replica != 0
}

// Term returns the current term.
func (r *Replicator[C, S]) Term() identifier.Term { return r.hard.Term }

// CommitIndex returns the highest index known to be committed.
func (r *Replicator[C, S]) CommitIndex() identifier.LogIndex { return r.commit }

// Applied returns the index of the last entry or snapshot delivered as an outcome.
func (r *Replicator[C, S]) Applied() identifier.LogIndex { return r.applied }

// Members returns the current membership, committed or not.
func (r *Replicator[C, S]) Members() Membership { return r.members.latest().members }

// MembershipIndex returns the index of the entry or snapshot that set the current membership.
func (r *Replicator[C, S]) MembershipIndex() identifier.LogIndex { return r.members.latest().index }

// CommittedMembers returns the latest membership known to be committed.
func (r *Replicator[C, S]) CommittedMembers() Membership { return r.members.at(r.commit) }

// InTouch reports whether this replica leads, or has received a message from the
// leader within two election timeouts before now.
func (r *Replicator[C, S]) InTouch(now identifier.Instant) bool {
	if r.role == leader {
		return true
	}
	return r.leader.Replica != 0 && now.Since(r.lastContact) < 2*ElectionTimeout
}

// Failed reports whether storage has failed. The replica is then permanently inactive.
func (r *Replicator[C, S]) Failed() bool { return r.failed }

func (r *Replicator[C, S]) isVoter() bool {
	return r.Members().IsVoter(r.parameters.Self.Replica)
}

// mayStartElection reports whether this replica may start an election. A replica removed by
// an entry that is not known to be committed still may, since the others may need its log.
func (r *Replicator[C, S]) mayStartElection() bool {
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

// resetElectionTimer sets a random instant at which this replica starts the next election.
func (r *Replicator[C, S]) resetElectionTimer() {
	timeout := ElectionTimeout
	if !r.leaderSeen {
		timeout = StartElectionTimeout
	}
	extra := identifier.Micros(r.random.Int64N(int64(timeout)))
	r.electionDue = r.now.Add(timeout + extra)
}
