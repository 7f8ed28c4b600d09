package encoder

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// recordDocument wraps a record, so that msgpack encodes which variant it is.
type recordDocument struct {
	Record replicator.Record
}

// EncodeRecord returns the encoding of a record of the replicated log.
func EncodeRecord(r replicator.Record) ([]byte, error) {
	return encodeDocument(recordDocument{Record: r})
}

// DecodeRecord returns the record that the data encodes, or an error for malformed data.
func DecodeRecord(data []byte) (replicator.Record, error) {
	var d recordDocument
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("encoder: decode record: %w", err)
	}
	if d.Record == nil {
		return nil, &InvalidEventError{Detail: "record has no content"}
	}
	return d.Record, nil
}

// EncodeSnapshot returns the encoding of a snapshot of the replicated log.
func EncodeSnapshot(s replicator.Snapshot[reducer.ControlSnapshot]) ([]byte, error) {
	return encodeDocument(s)
}

// DecodeSnapshot returns the snapshot that the data encodes, or an error for malformed data.
func DecodeSnapshot(data []byte) (replicator.Snapshot[reducer.ControlSnapshot], error) {
	var s replicator.Snapshot[reducer.ControlSnapshot]
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("encoder: decode snapshot: %w", err)
	}
	return s, nil
}

// EncodeServerList returns the encoding of a snapshot of the server list.
func EncodeServerList(snapshot reducer.ServerListSnapshot) ([]byte, error) {
	return encodeDocument(snapshot)
}

// DecodeServerList returns the snapshot of the server list that the data encodes, or an error
// for malformed data.
func DecodeServerList(data []byte) (reducer.ServerListSnapshot, error) {
	var snapshot reducer.ServerListSnapshot
	if err := msgpack.Unmarshal(data, &snapshot); err != nil {
		return reducer.ServerListSnapshot{}, fmt.Errorf("encoder: decode server list: %w", err)
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
