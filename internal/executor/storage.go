package executor

import (
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// Storage stores records of the replicated log; they are synced when Store
// returns nil, and after an error nothing more is stored.
type Storage interface {
	Store(records []replicator.Record) error
}

// RosterStorage stores the list of backend servers, in place of the one before.
type RosterStorage interface {
	StoreServerList(snapshot reducer.ServerListSnapshot) error
}

// storeRoster stores the last list that was put; a failure costs only a slower restart.
func (h *Host) storeRoster() {
	batch := h.rosters.take()
	if len(batch) == 0 || h.dependencies.ServerLists == nil {
		return
	}
	if err := h.dependencies.ServerLists.StoreServerList(batch[len(batch)-1].Snapshot); err != nil {
		h.dependencies.Loggers.Logger(reducer.MembershipSubsystem).Warn("server list not stored", "error", err)
	}
}

// storeLoop stores what the control state gives out, on a goroutine of its own,
// and reports each batch as an event. What queues up during one sync is stored
// with the next.
func (h *Host) storeLoop() {
	defer h.stores.close()
	for {
		select {
		case <-h.context.Done():
			return
		case <-h.rosters.signal:
			h.storeRoster()
			continue
		case <-h.stores.signal:
		}
		batch := h.stores.take()
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
