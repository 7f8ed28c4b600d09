package listener

import (
	"net/http"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// BurnSeries is the service-level history of one customer and rank on one host.
type BurnSeries struct {
	Customer  identifier.CustomerID `json:"customer"`
	Rank      string                `json:"rank"`
	Target    identifier.Micros     `json:"target-us"`
	Objective identifier.Ratio      `json:"objective"`
	Buckets   []budgeter.Bucket     `json:"buckets"`
}

// BurnReply is one host's answer to a report on service levels.
type BurnReply struct {
	Host identifier.HostID `json:"host"`
	// Now is the host's clock.
	Now identifier.Instant `json:"now-us"`
	// Started is the instant from which the host has counted; it is left out when no query has ended.
	Started *identifier.Instant `json:"started-us,omitempty"`
	Series  []BurnSeries        `json:"series"`
}

// burn returns the host's service-level histories.
func (o *operators) burn(w http.ResponseWriter, _ *http.Request) {
	reply := BurnReply{Host: o.host, Now: o.views.Now(), Series: []BurnSeries{}}
	histories, started, ok := o.meter.Burn()
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
