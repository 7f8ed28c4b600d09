// Package replicator implements a replicated log: a consensus protocol in which
// a leader, elected by a quorum of control hosts, orders commands of type C, with
// snapshots of type S.
//
// A Replicator is a pure state machine. Its inputs (clock readings, messages,
// proposals and completed writes) are method calls. Take returns the output:
// records to store, messages to send, and outcomes in order (committed commands,
// installed snapshots, confirmed reads, leadership won or lost). A message that
// implies that records are stored is returned only after Persisted has reported
// them as synced.
//
// Elections use pre-votes. A leader steps down when it has received nothing from a quorum for
// an election timeout. Inputs check this before they are handled, so a process that was frozen
// steps down first. The exception is Persisted, which first releases the messages that waited
// for the sync. A leader commits entries of earlier terms only together with an entry of its
// own term. A read is confirmed once a quorum has replied to a round of messages that started
// after the read arrived.
//
// A member is a host and its ReplicaID. Members change one at a time: a host joins as a
// learner, which does not count in quorums. It is promoted once it has caught up and the voter
// that it replaces, if any, has been removed. The group is bootstrapped by the lowest of the
// control hosts in the settings, and only when all of them report that their logs are empty.
//
// # Usage
//
//	r := replicator.New[Command, State](parameters, noop)
//	r.Recover(now, replicator.Recovered[State]{})
//	index, ok := r.Propose(now, command)
//	output := r.Take()
//	// Sync output.Records, then call r.Persisted(now, output.Sequence).
//	// Send output.Messages; act on output.Outcomes in order.
//	// Call r.Tick at r.NextDue().
package replicator
