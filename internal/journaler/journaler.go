// Package journaler stores the records of the replicated log in a data folder:
// it joins the encoding of records to the files that hold them.
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

// Journaler writes one data folder. It is not safe for concurrent use.
type Journaler struct {
	storer *storer.Storer
	// Repaired is how many bytes of a write that never finished were removed at the start.
	Repaired identifier.Bytes
	// ServerListError says why the stored list of backend servers is not used; nil if it is used
	// or there is none.
	ServerListError error
}

// Open opens a data folder and returns what it holds as the event that gives a
// host the control role. It returns the errors of storer.Open, and an error for
// records that are whole but can't be decoded or don't follow on each other.
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
	j := &Journaler{storer: s, Repaired: contents.Repaired}
	recovered := reducer.LogRecovered{Replica: contents.Replica, Stored: stored}
	recovered.Roster, j.ServerListError = j.loadRoster()
	return j, recovered, nil
}

// rosterName names the list of backend servers in the data folder.
const rosterName = "roster"

func (j *Journaler) loadRoster() (reducer.ServerListSnapshot, error) {
	data, err := j.storer.LoadAside(rosterName)
	if err != nil || data == nil {
		return reducer.ServerListSnapshot{}, err
	}
	return encoder.DecodeServerList(data)
}

// StoreServerList stores the list of backend servers in place of the one before.
func (j *Journaler) StoreServerList(snapshot reducer.ServerListSnapshot) error {
	data, err := encoder.EncodeServerList(snapshot)
	if err != nil {
		return err
	}
	return j.storer.SaveAside(rosterName, data)
}

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

// Store stores records in order; they are synced when it returns nil. After an
// error nothing more is stored.
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
		// What the snapshot replaces needs no write of its own.
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

// Size returns the bytes of the data folder.
func (j *Journaler) Size() (identifier.Bytes, error) {
	return j.storer.Size()
}

// Close releases the data folder.
func (j *Journaler) Close() error {
	return j.storer.Close()
}
