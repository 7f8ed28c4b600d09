package listener_test

import (
	"net/http"
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/listener"
	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

var _ = ginkgo.Describe("the question where a request would go", func() {
	for _, c := range []struct {
		name, query string
		status      int
		events      []reducer.Event
		body        string
	}{
		{
			"is passed on, and its answer encoded", "hostname=a.example&path=%2Farchive%2F1&customer=clinic", http.StatusOK,
			[]reducer.Event{reducer.RouteAsked{Hostname: "a.example", Path: "/archive/1", Customer: "clinic"}},
			`"passed-over": "evacuated"`,
		},
		{"needs a path", "hostname=a.example", http.StatusBadRequest, nil, "path must be set"},
	} {
		ginkgo.It(c.name, func() {
			host := &recordingHost{}
			recorder := httptest.NewRecorder()
			listener.NewOperators("h-1", host, nil, meter.New(), func() bool { return true }).
				ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/route?"+c.query, nil))
			gomega.Expect(recorder.Code).To(gomega.Equal(c.status))
			gomega.Expect(host.events).To(gomega.Equal(c.events))
			gomega.Expect(recorder.Body.String()).To(gomega.ContainSubstring(c.body))
		})
	}
})
