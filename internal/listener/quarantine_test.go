package listener_test

import (
	"net/http"
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/listener"
	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// inbox is a host that keeps what is delivered.
type inbox struct{ events []reducer.Event }

func (i *inbox) View() *reducer.View         { return &reducer.View{} }
func (i *inbox) Now() identifier.Instant     { return 0 }
func (i *inbox) Deliver(event reducer.Event) { i.events = append(i.events, event) }

var _ = ginkgo.Describe("the release of a quarantine", func() {
	for _, c := range []struct {
		fingerprint string
		status      int
		events      []reducer.Event
	}{
		{"29a", http.StatusOK, []reducer.Event{reducer.QuarantineReleased{Fingerprint: 666}}},
		{"xyz", http.StatusBadRequest, nil},
		{"10000000000000000", http.StatusBadRequest, nil},
	} {
		ginkgo.It("takes the fingerprint "+c.fingerprint, func() {
			host := &inbox{}
			handler := listener.NewOperators("h-1", host, nil, meter.New(), func() bool { return true })
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/quarantine/"+c.fingerprint+"/release", nil))
			gomega.Expect(recorder.Code).To(gomega.Equal(c.status))
			gomega.Expect(host.events).To(gomega.Equal(c.events))
		})
	}
})
