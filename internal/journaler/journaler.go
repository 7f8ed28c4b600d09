// Package journaler stores the records of the replicated log in a data folder. It
// encodes the records with package encoder and writes them with package storer.
//
// # Usage
//
//	j, recovered, err := journaler.Open(storer.Parameters{Folder: "data"})
//	if err != nil {
//		return err
//	}
//	defer j.Close()
//	err = j.Store(records)
package journaler

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/internal/storer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// Journaler reads and writes one data folder. It is not safe for concurrent use.
type Journaler struct {
	storer *storer.Storer
	// RemovedBytes is the size of the incomplete write that was removed when the folder was
	// opened; 0 if there was none.
	RemovedBytes identifier.Bytes
	// ServerListError is the reason why the stored server list can't be used; nil if it is
	// usable or there is none.
	ServerListError error
}

// Open opens a data folder and returns its contents as the event that gives a host the
// control role. It returns the errors of storer.Open, and an error for undamaged records
// that can't be decoded or leave a gap in the log.
func Open(p storer.Parameters) (*Journaler, reducer.LogRecovered, error) {
	s, contents, err := storer.Open(p)
	if err != nil {
		return nil, reducer.LogRecovered{}, err
	}
	stored, err := rebuild(contents)
	if err != nil {
		s.Close()
		return nil, reducer.LogRecovered{}, fmt.Errorf("journaler: %s: %w", p.Folder, err)
	}
	j := &Journaler{storer: s, RemovedBytes: contents.RemovedBytes}
	recovered := reducer.LogRecovered{Replica: contents.ReplicaID, Stored: stored}
	recovered.Roster, j.ServerListError = j.loadServerList()
	return j, recovered, nil
}

// serverListName is the name of the server list's file in the data folder.
const serverListName = "roster"

func (j *Journaler) loadServerList() (reducer.ServerListSnapshot, error) {
	data, err := j.storer.LoadFile(serverListName)
	if err != nil || data == nil {
		return reducer.ServerListSnapshot{}, err
	}
	return encoder.DecodeServerList(data)
}

// StoreServerList stores the server list and replaces the previous one.
func (j *Journaler) StoreServerList(snapshot reducer.ServerListSnapshot) error {
	data, err := encoder.EncodeServerList(snapshot)
	if err != nil {
		return err
	}
	return j.storer.SaveFile(serverListName, data)
}

// rebuild decodes the snapshot and the records and rebuilds the state of the log from them.
func rebuild(c storer.Contents) (replicator.Recovered[reducer.ControlSnapshot], error) {
	var records []replicator.Record
	if c.Snapshot != nil {
		snapshot, err := encoder.DecodeSnapshot(c.Snapshot)
		if err != nil {
			return replicator.Recovered[reducer.ControlSnapshot]{}, err
		}
		records = append(records, replicator.SnapshotSaved[reducer.ControlSnapshot]{Snapshot: snapshot})
	}
	for _, data := range c.Records {
		r, err := encoder.DecodeRecord(data)
		if err != nil {
			return replicator.Recovered[reducer.ControlSnapshot]{}, err
		}
		records = append(records, r)
	}
	return replicator.Rebuild[reducer.ControlSnapshot](records)
}

// Store stores the records in order; they are synced when it returns nil. After a failed
// write or sync it stores no more records.
func (j *Journaler) Store(records []replicator.Record) error {
	var frame [][]byte
	for _, r := range records {
		saved, ok := r.(replicator.SnapshotSaved[reducer.ControlSnapshot])
		if !ok {
			data, err := encoder.EncodeRecord(r)
			if err != nil {
				return err
			}
			frame = append(frame, data)
			continue
		}
		// The snapshot covers the records before it, so they are not written.
		frame = nil
		if err := j.compact(saved); err != nil {
			return err
		}
	}
	if len(frame) == 0 {
		return nil
	}
	return j.storer.Append(frame)
}

// compact writes the snapshot with its hard state and the entries that follow it.
func (j *Journaler) compact(saved replicator.SnapshotSaved[reducer.ControlSnapshot]) error {
	snapshot, err := encoder.EncodeSnapshot(saved.Snapshot)
	if err != nil {
		return err
	}
	var tail [][]byte
	for _, r := range []replicator.Record{saved.Hard, replicator.EntriesAppended{Entries: saved.Tail}} {
		data, err := encoder.EncodeRecord(r)
		if err != nil {
			return err
		}
		tail = append(tail, data)
	}
	return j.storer.Compact(snapshot, tail)
}

// Size returns the total size of the files in the data folder.
func (j *Journaler) Size() (identifier.Bytes, error) {
	return j.storer.Size()
}

// Close closes the data folder and releases its lock.
func (j *Journaler) Close() error {
	return j.storer.Close()
}
