package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// pendingRead is a read that waits until a quorum has replied to its round and the entry
// at its index has been delivered.
type pendingRead struct {
	ticket ReadTicket
	index  identifier.LogIndex
	round  Round
}

// Read starts a linearizable read, which a ReadDone completes. The read is not
// confirmed when this replica is not the leader or steps down before it is done.
func (r *Replicator[C, S]) Read(now identifier.Instant, t ReadTicket) {
	if !r.begin(now) || r.role != leader {
		r.emit(ReadDone{Ticket: t})
		return
	}
	r.leading.round++
	index := max(r.commit, r.leading.first)
	r.leading.reads = append(r.leading.reads, pendingRead{t, index, r.leading.round})
	r.broadcastAppend()
	r.finishReads()
}

// finishReads confirms, in order, the reads whose round a quorum has replied to and whose index
// has been delivered.
func (r *Replicator[C, S]) finishReads() {
	if r.role != leader {
		return
	}
	for len(r.leading.reads) > 0 {
		first := r.leading.reads[0]
		confirmed := r.Members().isQuorum(func(id identifier.ReplicaID) bool {
			return id == r.parameters.Self.Replica || r.leading.progress[id].round >= first.round
		})
		if !confirmed || r.applied < first.index {
			return
		}
		r.leading.reads = r.leading.reads[1:]
		r.emit(ReadDone{Ticket: first.ticket, Confirmed: true})
	}
}

// failReads completes all pending reads as not confirmed.
func (r *Replicator[C, S]) failReads() {
	for _, x := range r.leading.reads {
		r.emit(ReadDone{Ticket: x.ticket})
	}
	r.leading.reads = nil
}
