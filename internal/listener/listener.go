// Package listener serves the HTTP interfaces of an entry host: one for
// callers, one for backend servers and one for operators.
//
// Handlers decode a request into an event, give it to the host and encode what
// comes back. They hold no policy.
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

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// MaxBody bounds the bytes of a request's body.
const MaxBody identifier.Bytes = 1 << 20

// The kinds of failure that a listener finds before the reducer sees a request.
const (
	malformed    reducer.FailureKind = "malformed-request"
	bodyTooLarge reducer.FailureKind = "body-too-large"
	stopping     reducer.FailureKind = "abandoned"
)

// writeJSON writes a value with a status.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The client may be gone; there is nobody left to tell.
	_ = encoder.Encode(value)
}

// readJSON decodes a body strictly: no unknown fields, nothing after the value,
// at most MaxBody bytes.
func readJSON(w http.ResponseWriter, r *http.Request, target any) *reducer.Failed {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(MaxBody)))
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
		return &reducer.Failed{Kind: bodyTooLarge, Ran: reducer.RanNo, Message: err.Error()}
	}
	return &reducer.Failed{Kind: malformed, Ran: reducer.RanNo, Message: err.Error()}
}
