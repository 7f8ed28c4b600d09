package reducer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// loopbackState is a single state that immediately receives its events to its own host, its views
// and the completion of its writes.
type loopbackState struct{ *reducer.State }

func newLoopbackState(p reducer.Parameters, inputs []input) loopbackState {
	p.Strict = false
	l := loopbackState{reducer.New(p)}
	for _, i := range inputs {
		l.reduce(i.at, i.event)
	}
	return l
}

func (l loopbackState) reduce(at identifier.Instant, event reducer.Event) {
	queue := []reducer.Event{event}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, effect := range slices.Clone(l.Reduce(at, next)) {
			switch e := effect.(type) {
			case reducer.PublishView:
				queue = append(queue, reducer.ViewPublished{View: e.View})
			case reducer.StoreRecords:
				queue = append(queue, reducer.RecordsStored{Sequence: e.Sequence})
			case reducer.Send:
				if e.To == "h-1" {
					queue = append(queue, e.Event)
				}
			}
		}
	}
}

// BenchmarkFamily measures one input of each event family that has no benchmark of its own,
// together with the events that result from it on the same host.
func BenchmarkFamily(b *testing.B) {
	cases := []struct {
		name       string
		parameters reducer.Parameters
		inputs     []input
		event      func(i int) reducer.Event
	}{
		{"process/disconnected", hostOne, startInputs(), func(int) reducer.Event {
			return reducer.PeerDisconnected{Host: "h-2"}
		}},
		{"configuration/revision", entryHostParameters, entryHostInputs(), func(i int) reducer.Event {
			version := identifier.Version(4 + i)
			return reducer.RevisionsSent{Host: "c-1", Version: version, InTouch: true, Revisions: []registrar.Revision{
				{Version: version, Change: "one", Edit: templateEdit(70)},
			}}
		}},
		{"operation-and-replication/change", soleControlHost, soleControlHostInputs(), func(i int) reducer.Event {
			return reducer.ChangeRequested{Ticket: 9, Change: registrar.Change{
				ID: identifier.ChangeID(fmt.Sprint(i)), Replaces: identifier.Version(1 + i), Edit: templateEdit(70),
			}}
		}},
		{"quarantine/probe-asked-and-returned", hostOne, startInputs(), func(i int) reducer.Event {
			if i%2 == 0 {
				return reducer.ProbeAsked{From: "h-2", Request: "q", Fingerprint: 7, Remaining: identifier.Second}
			}
			return reducer.ProbeReturned{From: "h-2", Request: "q", Fingerprint: 7}
		}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			s := newLoopbackState(c.parameters, c.inputs)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.reduce(10*ms, c.event(i))
			}
		})
	}
}
