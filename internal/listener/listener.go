// Package listener implements the HTTP interfaces of a host: one for callers, one for
// backend servers and one for operators. Hosts in a fleet use only the one for operators;
// their adapter implements the others.
//
// Handlers decode a request into an event, pass it to the host and encode the
// result. They make no policy decisions.
//
// # Usage
//
//	server := &http.Server{Handler: listener.NewCallers(host, meter)}
//	err := server.Serve(l)
package listener

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/lagooncleat/lagooncleat/internal/stopper"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// MaxBodySize is the maximum size of a request body.
const MaxBodySize identifier.Bytes = 1 << 20

// The kinds of failure that a handler reports itself, rather than the reducer.
const (
	malformedKind    reducer.FailureKind = "malformed-request"
	bodyTooLargeKind reducer.FailureKind = "body-too-large"
	abandonedKind    reducer.FailureKind = "abandoned"
)

// writeJSON writes a response with a status code and a value as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The error is ignored: the status is already sent, and the client may have disconnected.
	_ = encoder.Encode(value)
}

// refuseOrder responds to an order that was not executed since it may be too old. The next call goes on a new connection, whose
// age is known.
func refuseOrder(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.Error(w, "the order may have been sent too long ago and was not executed; send it again", http.StatusServiceUnavailable)
}

// readJSON decodes a request body. It rejects unknown fields, data after the JSON
// value, and bodies larger than MaxBodySize.
func readJSON(w http.ResponseWriter, r *http.Request, target any) *reducer.Failed {
	decoder := json.NewDecoder(stopper.MaxBytesReader(w, r.Body, int64(MaxBodySize)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("there is data after the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &reducer.Failed{Kind: bodyTooLargeKind, Ran: reducer.RanNo, Message: err.Error()}
	}
	return &reducer.Failed{Kind: malformedKind, Ran: reducer.RanNo, Message: err.Error()}
}
