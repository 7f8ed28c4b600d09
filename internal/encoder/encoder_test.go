package encoder_test

import (
	"reflect"
	"testing"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// FuzzDecode checks that no data from a peer crashes the host, and that every decoded event
// can be encoded again.
func FuzzDecode(f *testing.F) {
	seeds := []reducer.Event{
		reducer.HostHeard{Host: "h-1", Domain: "fd-1", Leaving: true},
		reducer.AttemptServed{
			Attempt: identifier.AttemptID{Request: "q", Sequence: 1}, Server: "s-1",
			Snapshot: identifier.Snapshot{Epoch: 1, Version: 2}, Range: identifier.HashRange{To: 5}, Body: []byte("7"),
		},
		proposal(reducer.OutcomeRecorded{Intent: intent, Outcome: answered}),
		answer(reducer.IntentDecided{Decision: deduplicator.Granted{}}),
		reducer.RenewalsRelayed{From: "h-1", Renewals: []reducer.AgedRenewal{
			{Renewal: leaser.Renewal{Server: "s-1", Incarnation: 1, Sequence: 300, Digest: 1 << 63}, Age: -5},
		}},
		reducer.AnnouncementsWanted{Host: "h-1", Servers: []identifier.ServerID{"s-1"}},
		reducer.ServerListSent{
			From: "h-1", Position: reducer.ServerListPosition{Started: 1, Revision: 300}, Complete: true, InTouch: true,
			Servers:  []reducer.ListedServer{{Announcement: leaser.Announcement{Server: "s-1"}, Standing: reducer.Silent, Revision: 2}},
			Topology: &reducer.Topology{HostCounts: reducer.HostCounts{Local: 2, Remote: 4}},
			Source:   &declarer.Source{Version: 7, Packed: []byte("x")},
		},
		reducer.ServerListRequested{Host: "h-1", Version: 7, Subscribes: true},
		reducer.SubscribersSent{From: "h-1"},
		reducer.WithdrawalRelayed{Server: "s-1"},
		reducer.PartsRequested{From: "h-1", Request: "q", Services: []identifier.ServiceID{"a"}, Payload: reducer.Payload{Head: []byte("x")}},
		reducer.PartsDelivered{From: "h-1", Request: "q", Parts: []reducer.DelegatedPart{{Service: "a", Signature: "s"}}, Body: []byte("1")},
		reducer.PartsCancelled{From: "h-1", Request: "q"},
		proposal(reducer.ConfigurationDeclared{Source: declarer.Source{Version: 9, Packed: []byte("x")}}),
		answer(reducer.DeclarationFound{Version: 9}),
		proposal(reducer.ServersDeparted{At: 5, Departures: []reducer.Departure{{Server: "s-1", Incarnation: 3, Stage: reducer.Departed}}}),
		reducer.ServerRelayed{From: "h-1", Stamp: reducer.Stamp{Sent: identifier.Instant(identifier.Second)}},
	}
	for _, s := range seeds {
		data, err := encoder.Encode(s)
		if err != nil {
			f.Fatal(err)
		}
		decoded, err := encoder.Decode(data)
		if err != nil || !reflect.DeepEqual(decoded, s) {
			f.Fatalf("%#v was decoded as %#v: %v", s, decoded, err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		event, err := encoder.Decode(data)
		if err != nil {
			return
		}
		if _, err := encoder.Encode(event); err != nil {
			t.Fatalf("%T was decoded but can't be encoded: %v", event, err)
		}
	})
}
