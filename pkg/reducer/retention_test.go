package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Guards against hosts that forget what nobody has changed for a while, and then have nobody to ask (review/12).
var _ = ginkgo.Describe("an entry host of which all seeds were replaced", func() {
	for _, calm := range []identifier.Micros{2 * reducer.ControlHostRetention, identifier.Minute * 60} {
		for _, c := range []struct {
			name string
			loss func(f *smallFleet)
		}{
			{"its control host was down for a moment", func(f *smallFleet) {
				f.stop(controlName(0), false)
				f.run(3 * identifier.Second)
				f.start(controlName(0))
			}},
			{"its control host has gone for good", func(f *smallFleet) { f.stop(controlName(0), false) }},
			{"its control host was cut off", func(f *smallFleet) {
				f.isolated[controlName(0)] = true
				f.run(3 * identifier.Second)
				f.isolated[controlName(0)] = false
			}},
			{"it was cut off itself", func(f *smallFleet) {
				f.isolated[entryName(0)] = true
				f.run(2 * reducer.ControlHostRetention)
				f.isolated[entryName(0)] = false
			}},
			{"all control hosts were down for longer than others are remembered", func(f *smallFleet) {
				for i := range 3 {
					f.stop(controlName(i), false)
				}
				f.run(2 * reducer.ControlHostRetention)
				for i := range 3 {
					f.start(controlName(i))
				}
			}},
			{"a control host was cut off for longer than others are remembered", func(f *smallFleet) {
				f.isolated[controlName(1)] = true
				f.run(2 * reducer.ControlHostRetention)
				f.isolated[controlName(1)] = false
			}},
		} {
			ginkgo.It(fmt.Sprintf("follows the configuration after %v of calm when %s", calm.Duration(), c.name), func() {
				f := newSmallFleet()
				gone := []identifier.HostID{"10.0.9.1:70", "10.0.9.2:70", "10.0.9.3:70"}
				for i := range 3 {
					f.reduce(entryName(i), reducer.SeedsChanged{Seeds: gone})
					f.reduce(controlName(i), reducer.SeedsChanged{Seeds: gone})
				}
				f.declare(1, declarationSource(1, "desk"))
				f.run(calm)
				c.loss(f)
				f.run(5 * identifier.Second)
				gomega.Expect(f.declare(2, declarationSource(2, "ledger"))).To(gomega.Equal(reducer.Committed{}))
				f.run(identifier.Second)
				for i := range 3 {
					gomega.Expect(f.configurationVersion(i)).To(gomega.Equal(identifier.Version(2)), "host %d", i)
				}
			})
		}
	}

	ginkgo.It("forgets a control host that the others have replaced", func() {
		f := newSmallFleet()
		f.declare(1, declarationSource(1, "desk"))
		f.addHost(controlName(5), 0, reducer.ControlDuty{
			Seeds: []identifier.HostID{controlName(1), controlName(2)}, Announcements: controlAddress(5),
			AnnouncementInterval: identifier.Second, ExtraAttempts: extraAttemptLimits,
		})
		f.run(10 * identifier.Second)
		f.stop(controlName(0), true)
		for _, id := range []identifier.HostID{entryName(0), entryName(1), entryName(2), controlName(1), controlName(2)} {
			f.reduce(id, reducer.SeedsChanged{Seeds: []identifier.HostID{controlName(1), controlName(2)}})
		}
		asked := false
		f.onEffect = func(id identifier.HostID, e reducer.Effect) {
			if s, ok := e.(reducer.Send); ok && id == entryName(0) && s.To == controlName(0) {
				asked = true
			}
		}
		f.run(10 * identifier.Minute)
		f.stop(controlName(5), false)
		asked = false
		f.run(5 * identifier.Second)
		gomega.Expect(asked).To(gomega.BeFalse())
	})
})
