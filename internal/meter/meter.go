// Package meter records the metrics of one host with VictoriaMetrics/metrics.
//
// Each host has its own set of metrics, so that several hosts can run in one process.
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

const (
	// maxCustomers limits the customers that have counters of their own, so that metrics stay small with
	// thousands of customers.
	maxCustomers = 256
	// otherCustomers is the label of the customers beyond them.
	otherCustomers identifier.CustomerID = "(other)"
)

// Meter holds the metrics of one host. It is safe for concurrent use.
type Meter struct {
	set           *metrics.Set
	mutex         sync.RWMutex
	counters      map[reducer.Count]*metrics.Counter
	customers     map[identifier.CustomerID]bool
	serviceLevels lockedTracker
}

// New returns an empty Meter.
func New() *Meter {
	return &Meter{
		set: metrics.NewSet(), counters: map[reducer.Count]*metrics.Counter{}, customers: map[identifier.CustomerID]bool{},
	}
}

// Count increments the counter of the customer and rank.
func (m *Meter) Count(c reducer.Count) {
	m.mutex.RLock()
	counter, ok := m.counters[c]
	m.mutex.RUnlock()
	if !ok {
		counter = m.addCounter(c)
	}
	counter.Inc()
}

// addCounter registers the counter, unless another goroutine has done so in the meantime.
func (m *Meter) addCounter(c reducer.Count) *metrics.Counter {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	customer := c.Customer
	if !m.customers[customer] {
		if len(m.customers) >= maxCustomers {
			customer = otherCustomers
		} else {
			m.customers[customer] = true
		}
	}
	name := strings.ReplaceAll(string(c.Counter), "-", "_")
	counter := m.set.GetOrCreateCounter(fmt.Sprintf(
		"lagooncleat_%s_total{customer=%q,rank=%q}", name, customer, c.Rank))
	if customer == c.Customer {
		m.counters[c] = counter
	}
	return counter
}

// RecordLatency adds the latency of an answered query to the customer's histogram.
func (m *Meter) RecordLatency(customer identifier.CustomerID, latency identifier.Micros) {
	name := fmt.Sprintf("lagooncleat_query_seconds{customer=%q}", customer)
	m.set.GetOrCreateHistogram(name).Update(latency.Duration().Seconds())
}

// RecordDuration adds a duration, in seconds, to a histogram of the rank.
func (m *Meter) RecordDuration(t reducer.RecordDuration) {
	name := fmt.Sprintf("lagooncleat_%s{rank=%q}", strings.ReplaceAll(string(t.Histogram), "-", "_"), t.Rank)
	m.set.GetOrCreateHistogram(name).Update(t.Elapsed.Duration().Seconds())
}

// RegisterGauge registers a gauge whose value is read each time the metrics are written.
func (m *Meter) RegisterGauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// RegisterSeries registers a gauge with one label, whose values by label are read each time the metrics are written.
func (m *Meter) RegisterSeries(name, label string, read func(write func(value string, count float64))) {
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		read(func(value string, count float64) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("%s{%s=%q}", name, label, value), count)
		})
	})
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}
