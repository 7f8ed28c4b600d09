package listener

import (
	"net/http"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Deliverer takes events into a host; the executor's Host does.
type Deliverer interface {
	Deliver(event reducer.Event)
}

// quarantine is the part of the operators' interface about requests that crash backend servers.
type quarantine struct {
	deliverer Deliverer
}

func (q *quarantine) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/quarantine/{fingerprint}/release", q.release)
}

// release lets a request run again on every host that this one reaches. The
// fingerprint is written in hexadecimal, as in the log.
func (q *quarantine) release(w http.ResponseWriter, r *http.Request) {
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
