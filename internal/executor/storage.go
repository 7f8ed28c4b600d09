package executor

import (
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// Storage stores records of the replicated log. The records are synced when Store returns
// nil. After an error Store is not called again.
type Storage interface {
	Store(records []replicator.Record) error
}

// ServerListStorage stores the server list and replaces the one stored before.
type ServerListStorage interface {
	StoreServerList(snapshot reducer.ServerListSnapshot) error
}

// storeServerList stores the last queued server list. A failure only makes the next restart
// slower.
func (h *Host) storeServerList() {
	batch := h.pendingServerLists.take()
	if len(batch) == 0 || h.dependencies.ServerLists == nil {
		return
	}
	if err := h.dependencies.ServerLists.StoreServerList(batch[len(batch)-1].Snapshot); err != nil {
		h.dependencies.Loggers.Logger(reducer.MembershipSubsystem).Warn("failed to store the server list", "error", err)
	}
}

// storeLoop stores the records and server lists of the control state and reports each batch
// of records as an event. Records that are queued during a sync form the next batch.
func (h *Host) storeLoop() {
	defer h.pendingRecords.close()
	for {
		select {
		case <-h.context.Done():
			return
		case <-h.pendingServerLists.signal:
			h.storeServerList()
			continue
		case <-h.pendingRecords.signal:
		}
		batch := h.pendingRecords.take()
		if len(batch) == 0 {
			continue
		}
		var records []replicator.Record
		for _, b := range batch {
			records = append(records, b.Records...)
		}
		if err := h.dependencies.Storage.Store(records); err != nil {
			h.Deliver(reducer.StorageFailed{Reason: err.Error()})
			return
		}
		h.Deliver(reducer.RecordsStored{Sequence: batch[len(batch)-1].Sequence})
	}
}
