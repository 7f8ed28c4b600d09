package encoder_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/onsi/ginkgo/v2"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// receiver is a state that gets foreign messages: the control state and the traffic state of a host in one.
type receiver struct {
	name  string
	state *reducer.State
	now   identifier.Instant
}

const receiverHost = "10.0.0.1:70"

// foreignShards are the shards of the receivers' declaration.
var foreignShards = []identifier.ServiceID{"a", "b", "c"}

func foreignView() *reducer.View {
	d := &declarer.Declaration{Version: 1, Routes: []declarer.Route{{
		ID: "r", Hostname: "h", PathPrefix: "/", Repeatable: true, Timeout: identifier.Second,
		TargetLatency: 100 * identifier.Millisecond, MaxAttempts: 2, Shards: foreignShards, TopK: 5, MinCoverage: 0.5,
	}}}
	v := &reducer.FleetView{
		Declaration: d, Routes: matcher.New(d.Routes), HostCounts: reducer.HostCounts{Local: 1, Remote: 1},
		Services: map[identifier.ServiceID]*declarer.Service{}, Backends: map[identifier.ServiceID][]reducer.Backend{},
		Delegates: []router.Host{{ID: "10.0.0.2:70", Domain: "fd-1"}},
	}
	for i, id := range foreignShards {
		v.Services[id] = &declarer.Service{ID: id, MaxConnections: 10}
		domain := identifier.DomainID("fd-1")
		if i == 0 {
			domain = "fd-0"
		}
		v.Backends[id] = []reducer.Backend{{Announcement: leaser.Announcement{
			Server: identifier.ServerID("s-" + id), Service: id, Domain: domain, Address: "10.0.0.9:80", Slots: 2, Incarnation: 1,
		}}}
	}
	return &reducer.View{Configuration: 1, Fleet: v}
}

// newReceivers returns the states of a host of each duty.
func newReceivers() []*receiver {
	interpreter := func(text []byte) (*declarer.Declaration, error) {
		return nil, fmt.Errorf("not a declaration: %q", text)
	}
	seeds := []identifier.HostID{"10.0.0.2:70"}
	var receivers []*receiver
	for _, c := range []struct {
		name string
		duty reducer.Duty
	}{
		{"entry", reducer.EntryDuty{Seeds: seeds, Quotas: true, WarmUp: true}},
		{"control", reducer.ControlDuty{Seeds: seeds, Founder: true, Announcements: "10.0.0.1:80", AnnouncementInterval: identifier.Second}},
		{"combined", nil},
	} {
		r := &receiver{name: c.name, now: identifier.Instant(identifier.Second), state: reducer.New(reducer.Parameters{
			Host: receiverHost, Process: 7, Domain: "fd-0", Duty: c.duty, Interpreter: interpreter,
			Peers: []router.Host{{ID: "10.0.0.2:70", Domain: "fd-1"}}, ControlHosts: []identifier.HostID{receiverHost},
		})}
		r.reduce(reducer.Started{Seed: 1})
		r.reduce(reducer.HostStarted{})
		if c.name == "entry" {
			r.reduce(reducer.ViewPublished{View: foreignView()})
		} else {
			stored, err := replicator.Rebuild[reducer.ControlSnapshot](nil)
			if err != nil {
				panic(err)
			}
			r.reduce(reducer.LogRecovered{Replica: 1, Stored: stored})
		}
		receivers = append(receivers, r)
	}
	return receivers
}

// reduce has a state reduce an event, and stores what it writes to disk at once.
func (r *receiver) reduce(e reducer.Event) {
	for _, effect := range r.state.Reduce(r.now, e) {
		if s, ok := effect.(reducer.StoreRecords); ok {
			defer r.reduce(reducer.RecordsStored{Sequence: s.Sequence})
		}
	}
}

// drawer draws messages with values that are stale, foreign or out of range.
type drawer struct{ *rand.Rand }

var foreignTexts = []string{"", receiverHost, "10.0.0.2:70", "10.0.0.3:70", "a", "b", "s-a", "s-b", "1", "2", "r", "fd-0", "fd-1"}

// fill fills a value with random contents.
func (d drawer) fill(v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(d.IntN(2) == 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt([]int64{0, 1, -1, 2, 3, 1000, math.MaxInt64, math.MinInt64, d.Int64()}[d.IntN(9)])
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint([]uint64{0, 1, 2, 3, 7, 1000, math.MaxUint64, d.Uint64()}[d.IntN(8)])
	case reflect.Float32, reflect.Float64:
		v.SetFloat([]float64{0, 0.5, 1, -1, math.Inf(1), math.NaN(), d.Float64()}[d.IntN(7)])
	case reflect.String:
		v.SetString(foreignTexts[d.IntN(len(foreignTexts))])
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				d.fill(v.Field(i), depth)
			}
		}
	case reflect.Slice:
		n := d.IntN(4)
		if depth > 4 {
			n = 0
		}
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			d.fill(v.Index(i), depth+1)
		}
	case reflect.Array:
		for i := range v.Len() {
			d.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
	case reflect.Pointer:
		if d.IntN(2) == 0 && depth < 5 {
			v.Set(reflect.New(v.Type().Elem()))
			d.fill(v.Elem(), depth+1)
		}
	case reflect.Interface:
		d.fillVariant(v, depth)
	}
}

// fillVariant sets an interface to a variant that implements it, or leaves it empty.
func (d drawer) fillVariant(v reflect.Value, depth int) {
	variants := reducer.Variants()
	for range 40 {
		t := reflect.TypeOf(variants[d.IntN(len(variants))])
		if depth < 5 && t.Implements(v.Type()) {
			x := reflect.New(t).Elem()
			d.fill(x, depth+1)
			v.Set(x)
			return
		}
	}
}

// message draws a message as another host could send it: one that the encoding carries.
func (d drawer) message() (reducer.Event, []byte) {
	for {
		v := reflect.New(reflect.TypeOf(encoder.Tagged[d.IntN(len(encoder.Tagged))])).Elem()
		d.fill(v, 0)
		data, err := encoder.Encode(v.Interface().(reducer.Event))
		if err != nil {
			continue
		}
		if e, err := encoder.Decode(data); err == nil {
			return e, data
		}
	}
}

// Guards against messages that end the process which receives them.
var _ = ginkgo.Describe("messages with foreign and impossible values", func() {
	for seed := range uint64(4) {
		ginkgo.It(fmt.Sprintf("end no process, with seed %d", seed), func() {
			d := drawer{rand.New(rand.NewPCG(seed, 45))}
			receivers := newReceivers()
			for n := range 20000 {
				e, data := d.message()
				for _, r := range receivers {
					r.now = r.now.Add(identifier.Micros(d.Int64N(int64(10 * identifier.Millisecond))))
					if n%10 == 0 {
						r.reduce(reducer.RequestArrived{Request: identifier.RequestID(fmt.Sprint(n / 10 % 3)), Hostname: "h", Path: "/"})
					}
					expectReduced(r, e, data)
					expectReduced(r, reducer.Woken{}, nil)
				}
			}
		})
	}
})

// expectReduced has a state reduce an event and fails with the event if that panics.
func expectReduced(r *receiver, e reducer.Event, data []byte) {
	defer func() {
		if cause := recover(); cause != nil {
			ginkgo.GinkgoWriter.Printf("%s: %T %+v\nframe %x\n", r.name, e, e, data)
			panic(cause)
		}
	}()
	r.reduce(e)
}

// FuzzReduce checks that no frame from a peer ends the process that reduces its event.
func FuzzReduce(f *testing.F) {
	d := drawer{rand.New(rand.NewPCG(1, 45))}
	for range 200 {
		_, data := d.message()
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		e, err := encoder.Decode(data)
		if err != nil {
			return
		}
		for _, r := range newReceivers() {
			r.reduce(e)
			r.now = r.now.Add(identifier.Second)
			r.reduce(reducer.Woken{})
		}
	})
}
