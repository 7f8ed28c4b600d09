package listener

import (
	"context"
	"net/http"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// QuarantineReleaser ends the quarantine of requests. executor.Host implements it.
type QuarantineReleaser interface {
	ReleaseQuarantine(ctx context.Context, f identifier.Fingerprint) (reducer.ReplyOperator, error)
}

// quarantineHandler serves the part of the operators' interface for requests that are
// quarantined because they crashed backend servers.
type quarantineHandler struct {
	releaser QuarantineReleaser
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
	reply, err := q.releaser.ReleaseQuarantine(r.Context(), identifier.Fingerprint(fingerprint))
	if err != nil {
		writeFailure(w, "", reducer.Failed{Kind: abandonedKind, Ran: reducer.RanMaybe, Message: err.Error()})
		return
	}
	if _, ok := reply.Reply.(reducer.OrderUnproven); ok {
		refuseOrder(w)
		return
	}
	if _, ok := reply.Reply.(reducer.Committed); !ok {
		http.Error(w, "the request has crashed another server meanwhile", http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Released string `json:"released"`
	}{r.PathValue("fingerprint")})
}
