package listener

import (
	"net/http"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Deliverer delivers events to a host. executor.Host implements it.
type Deliverer interface {
	Deliver(event reducer.Event)
}

// quarantineHandler serves the part of the operators' interface for requests that are
// quarantined because they crashed backend servers.
type quarantineHandler struct {
	deliverer Deliverer
}

func (q *quarantineHandler) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/quarantine/{fingerprint}/release", q.release)
}

// release ends the quarantine of a request on this host and on every host that it can
// reach. The path holds the request's fingerprint in hexadecimal, as the log prints it.
func (q *quarantineHandler) release(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := strconv.ParseUint(r.PathValue("fingerprint"), 16, 64)
	if err != nil {
		http.Error(w, "fingerprint: must be a hexadecimal number of 64 bits", http.StatusBadRequest)
		return
	}
	q.deliverer.Deliver(reducer.QuarantineReleased{Fingerprint: identifier.Fingerprint(fingerprint)})
	writeJSON(w, http.StatusOK, struct {
		Released string `json:"released"`
	}{r.PathValue("fingerprint")})
}
