package meter

import (
	"sync"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// lockedBook is the service-level book of a host and the mutex that guards it.
type lockedTracker struct {
	mutex   sync.Mutex
	tracker *budgeter.Tracker
}

// Observe counts a finished query in the service-level book.
func (m *Meter) Observe(at identifier.Instant, o reducer.Observe) {
	m.serviceLevels.mutex.Lock()
	defer m.serviceLevels.mutex.Unlock()
	if m.serviceLevels.tracker == nil {
		m.serviceLevels.tracker = budgeter.New(at)
	}
	series := budgeter.Series{Customer: o.Customer, Rank: o.Rank}
	m.serviceLevels.tracker.Add(at, series, budgeter.Objective{Target: o.Target, Share: o.Objective}, o.Verdict)
}

// Burn returns the host's service-level histories and the instant at which they
// start. It reports false if no query has finished yet.
func (m *Meter) Histories() ([]budgeter.History, identifier.Instant, bool) {
	m.serviceLevels.mutex.Lock()
	defer m.serviceLevels.mutex.Unlock()
	if m.serviceLevels.tracker == nil {
		return nil, 0, false
	}
	return m.serviceLevels.tracker.Histories(), m.serviceLevels.tracker.Started(), true
}
