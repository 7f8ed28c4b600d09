package encoder

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// recordDocument holds a record, whose variant msgpack keeps.
type recordDocument struct {
	Record replicator.Record
}

// EncodeRecord returns the bytes of a record of the replicated log.
func EncodeRecord(r replicator.Record) ([]byte, error) {
	return encodeDocument(recordDocument{Record: r})
}

// DecodeRecord returns the record of the bytes, or an error for malformed ones.
func DecodeRecord(data []byte) (replicator.Record, error) {
	var d recordDocument
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("encoder: decode record: %w", err)
	}
	if d.Record == nil {
		return nil, &UnknownEventError{Detail: "a record without content"}
	}
	return d.Record, nil
}

// EncodeSnapshot returns the bytes of a snapshot of the replicated log.
func EncodeSnapshot(s replicator.Snapshot[reducer.ControlSnapshot]) ([]byte, error) {
	return encodeDocument(s)
}

// DecodeSnapshot returns the snapshot of the bytes, or an error for malformed ones.
func DecodeSnapshot(data []byte) (replicator.Snapshot[reducer.ControlSnapshot], error) {
	var s replicator.Snapshot[reducer.ControlSnapshot]
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("encoder: decode snapshot: %w", err)
	}
	return s, nil
}

// EncodeServerList returns the bytes of a ServerListSnapshot.
func EncodeServerList(snapshot reducer.ServerListSnapshot) ([]byte, error) {
	return encodeDocument(snapshot)
}

// DecodeServerList returns the list of the bytes, or an error for malformed ones.
func DecodeServerList(data []byte) (reducer.ServerListSnapshot, error) {
	var snapshot reducer.ServerListSnapshot
	if err := msgpack.Unmarshal(data, &snapshot); err != nil {
		return reducer.ServerListSnapshot{}, fmt.Errorf("encoder: decode roster: %w", err)
	}
	return snapshot, nil
}

func encodeDocument(document any) ([]byte, error) {
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(document); err != nil {
		return nil, fmt.Errorf("encoder: encode %T: %w", document, err)
	}
	return buffer.Bytes(), nil
}
