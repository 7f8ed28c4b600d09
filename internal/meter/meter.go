// Package meter keeps the metrics of one entry host with VictoriaMetrics/metrics.
//
// Every host has a set of its own, so several can run in one process.
//
// # Usage
//
//	m := meter.New()
//	m.Count(reducer.Count{Counter: reducer.QueriesCounter, Customer: "desk"})
//	m.Write(response)
package meter

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Meter holds the metrics of one host. It is safe for concurrent use.
type Meter struct {
	set      *metrics.Set
	mutex    sync.RWMutex
	counters map[reducer.Count]*metrics.Counter
	burn     burn
}

// New returns a Meter without metrics.
func New() *Meter {
	return &Meter{set: metrics.NewSet(), counters: map[reducer.Count]*metrics.Counter{}}
}

// Count adds one to the counter of the customer and rank.
func (m *Meter) Count(c reducer.Count) {
	m.mutex.RLock()
	counter, ok := m.counters[c]
	m.mutex.RUnlock()
	if !ok {
		counter = m.add(c)
	}
	counter.Inc()
}

func (m *Meter) add(c reducer.Count) *metrics.Counter {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	name := strings.ReplaceAll(string(c.Counter), "-", "_")
	counter := m.set.GetOrCreateCounter(fmt.Sprintf(
		"lagooncleat_%s_total{customer=%q,rank=%q}", name, c.Customer, c.Rank))
	m.counters[c] = counter
	return counter
}

// Latency records how long a caller waited for an answer.
func (m *Meter) Latency(customer identifier.CustomerID, span identifier.Micros) {
	name := fmt.Sprintf("lagooncleat_query_seconds{customer=%q}", customer)
	m.set.GetOrCreateHistogram(name).Update(span.Duration().Seconds())
}

// RecordDuration takes a span into a histogram of its rank, in seconds.
func (m *Meter) RecordDuration(t reducer.RecordDuration) {
	name := fmt.Sprintf("lagooncleat_%s{rank=%q}", strings.ReplaceAll(string(t.Histogram), "-", "_"), t.Rank)
	m.set.GetOrCreateHistogram(name).Update(t.Elapsed.Duration().Seconds())
}

// Gauge registers a value that is read whenever metrics are written.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}
