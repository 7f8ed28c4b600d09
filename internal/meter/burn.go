package meter

import (
	"sync"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// burn guards the service-level book of a host.
type burn struct {
	mutex sync.Mutex
	book  *budgeter.Book
}

// Observe counts the end of a query in the service-level book.
func (m *Meter) Observe(at identifier.Instant, o reducer.Observe) {
	m.burn.mutex.Lock()
	defer m.burn.mutex.Unlock()
	if m.burn.book == nil {
		m.burn.book = budgeter.New(at)
	}
	series := budgeter.Series{Customer: o.Customer, Rank: o.Rank}
	m.burn.book.Add(at, series, budgeter.Objective{Target: o.Target, Share: o.Objective}, o.Verdict)
}

// Burn returns the host's service-level histories and the instant from which
// they count, or false when no query has ended yet.
func (m *Meter) Burn() ([]budgeter.History, identifier.Instant, bool) {
	m.burn.mutex.Lock()
	defer m.burn.mutex.Unlock()
	if m.burn.book == nil {
		return nil, 0, false
	}
	return m.burn.book.Histories(), m.burn.book.Started(), true
}
