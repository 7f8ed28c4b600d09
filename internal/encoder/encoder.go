// Package encoder turns the events that travel between entry hosts into bytes
// and back, with msgpack.
//
// Each event is a tag of one byte and the event's fields as a msgpack array in
// the order of the struct. Tags are never reused.
//
// # Usage
//
//	data, err := encoder.Encode(reducer.HostHeard{Host: "h-1"})
//	event, err := encoder.Decode(data)
package encoder

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// tagged lists the events that may travel; the index is the tag.
var tagged = []reducer.Event{
	reducer.HostHeard{},
	reducer.ServerRelayed{},
	reducer.AttemptSubmitted{},
	reducer.AttemptCancelled{},
	reducer.AttemptServed{},
	reducer.AttemptRefused{},
	reducer.AttemptLost{},
	reducer.FingerprintSuspected{},
	reducer.FingerprintCrashed{},
	reducer.FingerprintCleared{},
	reducer.ProbeAsked{},
	reducer.ProbeReturned{},
	reducer.ProbeGranted{},
	reducer.QueuesEstimated{},
	reducer.ConfigurationWanted{},
	reducer.RevisionsSent{},
	reducer.ContentsSent{},
	reducer.OperationForwarded{},
	reducer.OperationRedirected{},
	reducer.OperationAnswered{},
	reducer.ReplicaMessaged{},
	reducer.RenewalsRelayed{},
	reducer.AnnouncementsWanted{},
	reducer.ServerListRequested{},
	reducer.ServerListSent{},
	reducer.WithdrawalRelayed{},
	reducer.SubscribersSent{},
	reducer.PartsRequested{},
	reducer.PartsDelivered{},
	reducer.PartsCancelled{},
	reducer.ServersMeasured{},
}

var tags = indexTags()

func indexTags() map[reflect.Type]byte {
	index := map[reflect.Type]byte{}
	for i, e := range tagged {
		index[reflect.TypeOf(e)] = byte(i)
	}
	return index
}

// UnknownEventError reports an event that does not travel, or bytes with an unknown tag.
type UnknownEventError struct {
	Detail string
}

// Error describes the event or the tag.
func (e *UnknownEventError) Error() string {
	return "encoder: " + e.Detail
}

// Encode returns the bytes of an event, or an *UnknownEventError when its type does not travel.
func Encode(event reducer.Event) ([]byte, error) {
	tag, ok := tags[reflect.TypeOf(event)]
	if !ok {
		return nil, &UnknownEventError{Detail: fmt.Sprintf("events of type %T do not travel", event)}
	}
	var buffer bytes.Buffer
	buffer.WriteByte(tag)
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&buffer)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(event); err != nil {
		return nil, fmt.Errorf("encoder: encode %T: %w", event, err)
	}
	return buffer.Bytes(), nil
}

// Decode returns the event of the bytes. It returns an error for an unknown tag
// or malformed fields, never a partly filled event.
func Decode(data []byte) (reducer.Event, error) {
	if len(data) == 0 || int(data[0]) >= len(tagged) {
		return nil, &UnknownEventError{Detail: "no tag, or one of another version"}
	}
	target := reflect.New(reflect.TypeOf(tagged[data[0]]))
	if err := checkBounds(data[1:]); err != nil {
		return nil, err
	}
	if err := unmarshal(data[1:], target.Interface()); err != nil {
		return nil, fmt.Errorf("encoder: decode %T: %w", tagged[data[0]], err)
	}
	return target.Elem().Interface().(reducer.Event), nil
}

// unmarshal decodes one value. The library panics when a variant stands in the
// field of an interface that it does not implement; that is an error here.
func unmarshal(data []byte, target any) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = &UnknownEventError{Detail: fmt.Sprintf("a variant stands in the wrong field: %v", fault)}
		}
	}()
	return msgpack.Unmarshal(data, target)
}
