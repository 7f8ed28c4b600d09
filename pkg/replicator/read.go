package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// pendingRead waits until a quorum has answered its round and its index has been handed over.
type pendingRead struct {
	ticket ReadTicket
	index  identifier.LogIndex
	round  Round
}

// Read asks for a linearizable read; a ReadDone follows. It is not confirmed
// when this replica does not lead or ceases to.
func (r *Replicator[C, S]) Read(now identifier.Instant, t ReadTicket) {
	if !r.begin(now) || r.role != leader {
		r.emit(ReadDone{Ticket: t})
		return
	}
	r.leading.round++
	index := max(r.commit, r.leading.first)
	r.leading.reads = append(r.leading.reads, pendingRead{t, index, r.leading.round})
	r.sendAll()
	r.finishReads()
}

// finishReads answers the reads whose round a quorum has answered.
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

// failReads answers all reads that wait.
func (r *Replicator[C, S]) failReads() {
	for _, x := range r.leading.reads {
		r.emit(ReadDone{Ticket: x.ticket})
	}
	r.leading.reads = nil
}
