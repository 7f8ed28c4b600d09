package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/ramper"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

var _ = ginkgo.Describe("the share of work of a new server", func() {
	measured := func(id identifier.ServerID, t assessor.Tally, states bool) reducer.ServersMeasured {
		return reducer.ServersMeasured{From: entryName(1), Servers: []reducer.Measurement{{Server: id, Tally: t, StatesLoad: states}}}
	}
	good, poor := assessor.Tally{Answers: 3}, assessor.Tally{Answers: 1, Poor: 1}
	// states makes the server state its load, and restart announces its next incarnation.
	states := func(f *smallFleet) { f.reduce(controlName(1), measured("s-1", good, true)) }
	restart := func(f *smallFleet) { f.announce(1, announcement("s-1", 2, 1)) }
	report := func(t assessor.Tally) func(*smallFleet) {
		return func(f *smallFleet) { f.reduce(controlName(1), measured("s-1", t, false)) }
	}
	// Guards against shares for servers that state no load, and against shares that are lost or kept wrongly.
	for _, c := range []struct {
		name  string
		steps []func(*smallFleet)
		share identifier.Ratio
	}{
		{"is not found for a server that states no load", []func(*smallFleet){report(good), restart}, 0},
		{"is full for one that has run for long", []func(*smallFleet){states}, ramper.FullShare},
		{"is low after a restart", []func(*smallFleet){states, restart}, ramper.InitialShare},
		{"grows with answers in time", []func(*smallFleet){states, restart, report(good)}, 2 * ramper.InitialShare},
		{"falls with a poor answer", []func(*smallFleet){states, restart, report(good), report(good), report(poor)}, 2 * ramper.InitialShare},
		{"becomes full", []func(*smallFleet){states, restart, report(good), report(good), report(good)}, ramper.FullShare},
		{"is low when the server is cold again", []func(*smallFleet){states, func(f *smallFleet) {
			cold := announcement("s-1", 1, 2)
			cold.State = leaser.Starting
			f.announce(1, cold)
		}}, ramper.InitialShare},
		{"is kept when the announcement changes", []func(*smallFleet){states, restart, func(f *smallFleet) {
			changed := announcement("s-1", 2, 2)
			changed.Slots = 4
			f.announce(1, changed)
		}}, ramper.InitialShare},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.announce(1, announcement("s-1", 1, 1))
			for _, step := range c.steps {
				step(f)
				f.run(100 * identifier.Millisecond)
			}
			gomega.Expect(f.hosts[entryName(1)].view.Fleet.Backends["desk"]).To(gomega.HaveLen(1))
			gomega.Expect(f.hosts[entryName(1)].view.Fleet.Backends["desk"][0].Share).To(gomega.Equal(c.share))
		})
	}

	const requests = 400
	for _, c := range []struct {
		name        string
		share       identifier.Ratio
		controlHost identifier.HostID
		others      bool
		// minCount and maxCount limit the requests that the server gets.
		minCount, maxCount int
	}{
		{"is what a host sends it", ramper.InitialShare, "10.0.0.9:70", true, requests / 12, requests / 6},
		{"is all of its work when it is full", ramper.FullShare, "10.0.0.9:70", true, requests, requests},
		{"doesn't count if there is no other server", ramper.InitialShare, "10.0.0.9:70", false, requests, requests},
		{"doesn't count on a host that no control host informs", ramper.InitialShare, "", true, requests, requests},
	} {
		ginkgo.It(c.name, func() {
			v := entryFleetView()
			v.ControlHost = c.controlHost
			v.Backends["archive"][0].Share = c.share
			if !c.others {
				v.Backends["archive"] = v.Backends["archive"][:1]
			}
			e := newEntryHost(v)
			for i := range requests {
				e.sendRequest(identifier.RequestID(fmt.Sprint("q-", i)), "/archive/1")
				e.advance(10 * identifier.Millisecond)
				e.answer(i)
			}
			gomega.Expect(e.sentTo("archive-0", 0)).To(gomega.And(gomega.BeNumerically(">=", c.minCount), gomega.BeNumerically("<=", c.maxCount)))
		})
	}
})
