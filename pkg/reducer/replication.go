package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// CompactionEntries is the number of applied entries that a control host keeps before it
// replaces them with a snapshot.
const CompactionEntries = 1024

// ReplicationSubsystem logs events of the replicated log.
const ReplicationSubsystem Subsystem = "replication"

// ReplicationEvent is the family of events about the replicated log of the control hosts.
type ReplicationEvent interface {
	Event
	isReplicationEvent()
}

type replicationEvent struct{}

func (replicationEvent) isEvent()            {}
func (replicationEvent) isReplicationEvent() {}

// Replication events.
type (
	// LogRecovered reports that the data folder was opened, which gives this host the control role.
	LogRecovered struct {
		replicationEvent
		// Replica identifies the data folder.
		Replica identifier.ReplicaID
		Stored  replicator.Recovered[ControlSnapshot]
		// Roster is the last server list stored for subscribers; it may be outdated.
		Roster ServerListSnapshot
	}
	// RecordsStored reports that all records up to the sequence are synced.
	RecordsStored struct {
		replicationEvent
		Sequence replicator.WriteSequence
	}
	// StorageFailed reports that records could not be stored; none are stored after that.
	StorageFailed struct {
		replicationEvent
		Reason string
	}
	// ReplicaMessaged carries a message from another control host.
	ReplicaMessaged struct {
		replicationEvent
		Envelope replicator.Envelope `msgpack:"e"`
	}
)

// StoreRecords requests that records be stored and synced, in order; RecordsStored or
// StorageFailed follows.
type StoreRecords struct {
	effect
	Sequence replicator.WriteSequence
	Records  []replicator.Record
}

// replication is the part of control that maintains the replicated log.
type replication struct {
	// log is nil on a host without a data folder.
	log *replicator.Replicator[Command, ControlSnapshot]
	// due is the time of the active timer; timers for other times are ignored.
	due identifier.Instant
}

func newReplication() replication {
	return replication{due: identifier.Never}
}

// members returns the current membership, or nil without the control role.
func (r *replication) members() replicator.Membership {
	if r.log == nil {
		return nil
	}
	return r.log.Members()
}

func (s *State) reduceReplication(event ReplicationEvent) {
	if e, ok := event.(LogRecovered); ok {
		s.recoverLog(e)
		return
	}
	log := s.control.replication.log
	if log == nil {
		return
	}
	switch e := event.(type) {
	case RecordsStored:
		log.Persisted(s.now, e.Sequence)
	case StorageFailed:
		log.Fail(s.now)
		s.log(ReplicationSubsystem, Error, "storage failed; this host votes no longer", Field{"reason", e.Reason})
	case ReplicaMessaged:
		log.Receive(s.now, e.Envelope)
	}
}

// recoverLog starts the replicated log from the contents of the data folder.
func (s *State) recoverLog(e LogRecovered) {
	s.control.replication.log = replicator.New[Command, ControlSnapshot](replicator.Parameters{
		Self:         replicator.Peer{Host: s.parameters.Host, Replica: e.Replica},
		Hosts:        s.seeds(),
		Bootstrapped: s.bootstrapped(),
		AutoJoin:     s.autoJoin(),
		Seed:         s.random.Uint64(),
		Require: func(holds bool, i replicator.Invariant, detail string) {
			s.require(holds, Invariant(i), detail)
		},
	}, NoCommand{})
	s.control.replication.log.Recover(s.now, e.Stored)
	s.restoreServerList(e.Roster)
	s.listStoredDepartures(e.Stored.Entries)
}

// bootstrapped reports whether the deployment already has a replicated log, which a host with an
// empty disk may only join.
func (s *State) bootstrapped() bool {
	d, ok := s.parameters.Duty.(ControlDuty)
	return ok && !d.Founder
}

// autoJoin reports whether control hosts join the replicated log automatically.
func (s *State) autoJoin() bool {
	_, ok := s.parameters.Duty.(ControlDuty)
	return ok
}

// tickReplication handles expired timeouts of the replicated log before the event is
// processed, so that a leader whose process was frozen steps down first.
func (s *State) tickReplication() {
	if log := s.control.replication.log; log != nil {
		log.Tick(s.now)
	}
}

// drainReplicationOutput applies the output of the replicated log until there is none left,
// compacts the log if it has grown long, and schedules its next timeout.
func (s *State) drainReplicationOutput() {
	log := s.control.replication.log
	if log == nil {
		return
	}
	for s.applyReplicationOutput(log.Take()) {
		if log.Uncompacted() >= CompactionEntries {
			log.Compact(s.now, s.snapshotState())
		}
	}
	if due := log.NextDue(); due < s.control.replication.due {
		s.control.replication.due = due
		s.schedule(due, replicationDue{due})
	}
}

// clearReplicationTimer clears the active timer, unless the fired one was replaced.
func (s *State) clearReplicationTimer(t replicationDue) {
	if t.at == s.control.replication.due {
		s.control.replication.due = identifier.Never
	}
}

// applyReplicationOutput emits the records and messages of the log as effects and handles its
// outcomes. It reports whether there was any output.
func (s *State) applyReplicationOutput(o replicator.Output) bool {
	if len(o.Records) > 0 {
		s.emit(StoreRecords{Sequence: o.Sequence, Records: o.Records})
	}
	for _, e := range o.Messages {
		s.emit(Send{To: e.To.Host, Event: ReplicaMessaged{Envelope: e}})
	}
	for _, outcome := range o.Outcomes {
		s.handleReplicationOutcome(outcome)
	}
	return len(o.Records)+len(o.Messages)+len(o.Outcomes) > 0
}

func (s *State) handleReplicationOutcome(o replicator.Outcome) {
	switch o := o.(type) {
	case replicator.Committed[Command]:
		s.apply(o.Index, o.Command)
	case replicator.SnapshotInstalled[ControlSnapshot]:
		s.restoreState(o.State)
	case replicator.ReadDone:
		s.readConfirmed(Ticket(o.Ticket), o.Confirmed)
	case replicator.MembersCommitted:
		s.log(ReplicationSubsystem, Info, "membership committed", Field{"members", formatMembership(o.Members)})
		s.publish()
	case replicator.LeadershipWon:
		s.log(ReplicationSubsystem, Info, "this host leads", termField(o.Term))
		s.leadershipWon()
	case replicator.LeadershipLost:
		s.log(ReplicationSubsystem, Warn, "this host leads no longer", termField(o.Term), Field{"reason", string(o.Reason)})
		s.leadershipLost()
	}
}

// formatMembership lists the hosts of a membership, with learners in parentheses.
func formatMembership(m replicator.Membership) string {
	text := ""
	for _, member := range m {
		name := string(member.Host)
		if !member.Voter {
			name = "(" + name + ")"
		}
		if text != "" {
			text += " "
		}
		text += name
	}
	return text
}

func termField(t identifier.Term) Field {
	return Field{"term", strconv.FormatUint(uint64(t), 10)}
}

// propose appends a command to the replicated log if this host leads it, and returns the
// command's index. It returns false, with nothing appended, if this host does not lead.
// Every appended command ends in apply, leadershipLost, or both.
func (s *State) propose(c Command) (identifier.LogIndex, bool) {
	log := s.control.replication.log
	if log == nil {
		return 0, false
	}
	return log.Propose(s.now, c)
}

// confirmRead asks a quorum whether this host still leads; readConfirmed follows.
func (s *State) confirmRead(t Ticket) {
	log := s.control.replication.log
	if log == nil {
		s.readConfirmed(t, false)
		return
	}
	log.Read(s.now, replicator.ReadTicket(t))
}

// leader returns the leader of the replicated log as known to this host, and whether a
// leader is known and this host is in touch with it. A host without the control role knows
// no leader.
func (s *State) leader() (identifier.HostID, bool) {
	log := s.control.replication.log
	if log == nil || log.Failed() || !log.InTouch(s.now) {
		return "", false
	}
	leader, known := log.Leader()
	return leader.Host, known
}

// storageFailed reports whether this control host's disk has failed.
func (s *State) storageFailed() bool {
	log := s.control.replication.log
	return log != nil && log.Failed()
}
