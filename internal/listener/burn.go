package listener

import (
	"net/http"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// BurnSeries is the service-level history of one customer and rank on one host,
// from which error budget burn rates are computed.
type BurnSeries struct {
	Customer  identifier.CustomerID `json:"customer"`
	Rank      string                `json:"rank"`
	Target    identifier.Micros     `json:"target-us"`
	Objective identifier.Ratio      `json:"objective"`
	Buckets   []budgeter.Bucket     `json:"buckets"`
}

// BurnReply is the response of one host to a request for its service-level histories.
type BurnReply struct {
	Host identifier.HostID `json:"host"`
	// Now is the time on the host's clock.
	Now identifier.Instant `json:"now-us"`
	// Started is when the host started counting. It is omitted until a query has completed.
	Started *identifier.Instant `json:"started-us,omitempty"`
	Series  []BurnSeries        `json:"series"`
}

// serveBurn writes the host's service-level histories.
func (o *operatorHandler) serveBurn(w http.ResponseWriter, _ *http.Request) {
	reply := BurnReply{Host: o.host, Now: o.viewer.Now(), Series: []BurnSeries{}}
	histories, started, ok := o.meter.Histories()
	if ok {
		reply.Started = &started
	}
	for _, h := range histories {
		reply.Series = append(reply.Series, BurnSeries{
			Customer:  h.Series.Customer,
			Rank:      h.Series.Rank.String(),
			Target:    h.Objective.Target,
			Objective: h.Objective.Share,
			Buckets:   h.Buckets,
		})
	}
	writeJSON(w, http.StatusOK, reply)
}
