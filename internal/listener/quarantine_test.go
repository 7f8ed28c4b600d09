package listener_test

import (
	"context"
	"net/http"
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/listener"
	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// recordingHost records the fingerprints that are released, and gives the answer.
type recordingHost struct {
	released []identifier.Fingerprint
	answer   reducer.Answer
}

func (r *recordingHost) View() *reducer.View     { return &reducer.View{} }
func (r *recordingHost) Now() identifier.Instant { return 0 }
func (r *recordingHost) ExplainRoute(context.Context, reducer.RouteAsked) (reducer.RouteExplanation, error) {
	return reducer.RouteExplanation{}, nil
}

func (r *recordingHost) ReleaseQuarantine(_ context.Context, f identifier.Fingerprint) (reducer.ReplyOperator, error) {
	r.released = append(r.released, f)
	return reducer.ReplyOperator{Reply: r.answer}, nil
}

var _ = ginkgo.Describe("the quarantine release request", func() {
	for _, c := range []struct {
		fingerprint string
		answer      reducer.Answer
		status      int
		released    []identifier.Fingerprint
	}{
		{"29a", reducer.Committed{}, http.StatusOK, []identifier.Fingerprint{666}},
		{"29b", reducer.QuarantineChanged{}, http.StatusConflict, []identifier.Fingerprint{667}},
		{"xyz", nil, http.StatusBadRequest, nil},
		{"10000000000000000", nil, http.StatusBadRequest, nil},
	} {
		ginkgo.It("is answered for the fingerprint "+c.fingerprint, func() {
			host := &recordingHost{answer: c.answer}
			handler := listener.NewOperators("h-1", host, nil, meter.New(), func() bool { return true })
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/quarantine/"+c.fingerprint+"/release", nil))
			gomega.Expect(recorder.Code).To(gomega.Equal(c.status))
			gomega.Expect(host.released).To(gomega.Equal(c.released))
		})
	}
})
