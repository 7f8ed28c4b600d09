// Package encoder encodes the events that hosts send to each other, and the records
// and snapshots that control hosts store, as msgpack.
//
// An event is encoded as a 1-byte tag and a msgpack array of its fields, in the
// order of the struct. Tags are never reused.
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

// tagged lists the events that may be sent between hosts. The index of an event is its tag.
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
	reducer.ServersStated{},
	reducer.AllotmentsRequested{},
	reducer.AllotmentsSent{},
	reducer.CreditRequested{},
	reducer.CreditReturned{},
	reducer.CreditAnswered{},
	reducer.ColdCreditRequested{},
	reducer.ColdCreditAnswered{},
	reducer.ColdCreditSettled{},
	reducer.ColdAllotmentsRequested{},
	reducer.ColdAllotmentsSent{},
	reducer.ProcessIntroduced{},
}

var tags = indexTags()

func indexTags() map[reflect.Type]byte {
	index := map[reflect.Type]byte{}
	for i, e := range tagged {
		index[reflect.TypeOf(e)] = byte(i)
	}
	return index
}

// InvalidEventError reports an event that can't be sent between hosts, or data that is not a
// valid event or record.
type InvalidEventError struct {
	Detail string
}

// Error returns the detail.
func (e *InvalidEventError) Error() string {
	return "encoder: " + e.Detail
}

// Encode returns the encoding of an event, or an *InvalidEventError when events of its type
// are not sent between hosts.
func Encode(event reducer.Event) ([]byte, error) {
	tag, ok := tags[reflect.TypeOf(event)]
	if !ok {
		return nil, &InvalidEventError{Detail: fmt.Sprintf("events of type %T are not sent between hosts", event)}
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

// Decode returns the event that the data encodes. It returns an error for an unknown tag or
// malformed fields, and never a partly decoded event.
func Decode(data []byte) (reducer.Event, error) {
	if len(data) == 0 || int(data[0]) >= len(tagged) {
		return nil, &InvalidEventError{Detail: "event tag is missing or belongs to another version"}
	}
	target := reflect.New(reflect.TypeOf(tagged[data[0]]))
	if err := checkStructure(data[1:]); err != nil {
		return nil, err
	}
	if err := unmarshal(data[1:], target.Interface()); err != nil {
		return nil, fmt.Errorf("encoder: decode %T: %w", tagged[data[0]], err)
	}
	event := target.Elem().Interface().(reducer.Event)
	if err := reducer.Check(event); err != nil {
		return nil, fmt.Errorf("encoder: %w", err)
	}
	return event, nil
}

// unmarshal decodes one value. The msgpack library panics when a variant is in a field whose
// interface type it does not implement; unmarshal returns that as an error.
func unmarshal(data []byte, target any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &InvalidEventError{Detail: fmt.Sprintf("variant in the wrong field: %v", cause)}
		}
	}()
	return msgpack.Unmarshal(data, target)
}
