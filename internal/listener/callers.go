package listener

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// MaxTimeout is the longest timeout that a query may set.
const MaxTimeout = 10 * identifier.Minute

// Querier runs queries. executor.Host implements it.
type Querier interface {
	Query(ctx context.Context, arrived reducer.QueryArrived) (reducer.Outcome, error)
}

// callerHandler serves the HTTP interface for callers.
type callerHandler struct {
	querier Querier
	meter   *meter.Meter
}

// NewCallers returns the HTTP handler of the interface for callers.
func NewCallers(q Querier, m *meter.Meter) http.Handler {
	c := &callerHandler{querier: q, meter: m}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/customers/{customer}/queries", c.query)
	return mux
}

func (c *callerHandler) query(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	arrived, failure := readQuery(w, r)
	if failure != nil {
		writeFailure(w, arrived.Request, *failure)
		return
	}
	outcome, err := c.querier.Query(r.Context(), arrived)
	if err != nil {
		writeFailure(w, arrived.Request, reducer.Failed{Kind: abandonedKind, Ran: reducer.RanMaybe, Message: err.Error()})
		return
	}
	switch o := outcome.(type) {
	case reducer.Answered:
		c.meter.RecordLatency(arrived.Customer, identifier.MicrosOf(time.Since(start)))
		writeAnswer(w, arrived, o)
	case reducer.Failed:
		writeFailure(w, arrived.Request, o)
	}
}

// readQuery decodes and validates a query. If it returns a failure, the query has not run.
func readQuery(w http.ResponseWriter, r *http.Request) (reducer.QueryArrived, *reducer.Failed) {
	arrived := reducer.QueryArrived{
		Request:    identifier.RequestID(uuid.NewString()),
		Customer:   identifier.CustomerID(r.PathValue("customer")),
		Repeatable: true,
	}
	var body struct {
		Work        identifier.WorkKind `json:"work"`
		Timeout     *int64              `json:"timeout-ms"`
		MinCoverage float64             `json:"min-coverage"`
		Repeatable  *bool               `json:"repeatable"`
		IssuedAt    *time.Time          `json:"issued-at"`
		Body        json.RawMessage     `json:"body"`
	}
	if failure := readJSON(w, r, &body); failure != nil {
		return arrived, failure
	}
	if body.Work == "" {
		return arrived, malformedRequest("work must not be empty")
	}
	if body.Timeout == nil || *body.Timeout <= 0 || *body.Timeout > int64(MaxTimeout/identifier.Millisecond) {
		return arrived, malformedRequest("timeout-ms must be set, above 0 and at most %d", MaxTimeout/identifier.Millisecond)
	}
	if body.MinCoverage < 0 || body.MinCoverage > 1 || math.IsNaN(body.MinCoverage) {
		return arrived, malformedRequest("min-coverage must lie from 0 to 1")
	}
	arrived.Work = body.Work
	arrived.Timeout = identifier.Micros(*body.Timeout) * identifier.Millisecond
	arrived.MinCoverage = identifier.Ratio(body.MinCoverage)
	arrived.Body = body.Body
	arrived.Fingerprint = quarantiner.FingerprintOf(string(arrived.Customer), string(arrived.Work), string(arrived.Body))
	if body.Repeatable == nil || *body.Repeatable {
		return arrived, nil
	}
	arrived.Repeatable = false
	arrived.IdempotencyKey = identifier.IdempotencyKey(r.Header.Get("Idempotency-Key"))
	if arrived.IdempotencyKey == "" || body.IssuedAt == nil {
		return arrived, malformedRequest("a request that is not repeatable needs the header Idempotency-Key and issued-at")
	}
	arrived.IssuedAt = identifier.Instant(body.IssuedAt.UnixMicro())
	return arrived, nil
}

func malformedRequest(format string, arguments ...any) *reducer.Failed {
	return &reducer.Failed{Kind: malformedKind, Ran: reducer.RanNo, Message: fmt.Sprintf(format, arguments...)}
}

func writeAnswer(w http.ResponseWriter, q reducer.QueryArrived, a reducer.Answered) {
	type part struct {
		Service identifier.ServiceID `json:"service"`
		Server  identifier.ServerID  `json:"server"`
		Range   identifier.HashRange `json:"range"`
		Body    json.RawMessage      `json:"body"`
	}
	parts := make([]part, 0, len(a.Parts))
	for _, p := range a.Parts {
		parts = append(parts, part{p.Service, p.Server, p.Range, p.Body})
	}
	writeJSON(w, http.StatusOK, struct {
		Request       identifier.RequestID  `json:"request-id"`
		Customer      identifier.CustomerID `json:"customer"`
		Configuration identifier.Version    `json:"configuration-version"`
		Snapshot      identifier.Snapshot   `json:"snapshot"`
		Coverage      identifier.Ratio      `json:"coverage"`
		Parts         []part                `json:"parts"`
	}{q.Request, q.Customer, a.Configuration, a.Snapshot, a.Coverage, parts})
}

func writeFailure(w http.ResponseWriter, id identifier.RequestID, f reducer.Failed) {
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Duration().Seconds()))))
	}
	writeJSON(w, httpStatus(f.Kind), struct {
		Request    identifier.RequestID `json:"request-id"`
		Kind       reducer.FailureKind  `json:"kind"`
		Ran        reducer.Ran          `json:"ran"`
		Coverage   identifier.Ratio     `json:"coverage"`
		RetryAfter identifier.Micros    `json:"retry-after-us,omitempty"`
		Message    string               `json:"message"`
	}{id, f.Kind, f.Ran, f.Coverage, f.RetryAfter, f.Message})
}

func httpStatus(k reducer.FailureKind) int {
	switch k {
	case malformedKind:
		return http.StatusBadRequest
	case bodyTooLargeKind:
		return http.StatusRequestEntityTooLarge
	case reducer.UnknownCustomer:
		return http.StatusNotFound
	case reducer.UnknownWork, reducer.KeyMismatched, reducer.RequestEarly:
		return http.StatusUnprocessableEntity
	case reducer.RequestExpired:
		return http.StatusGone
	case reducer.TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
