package executor

import (
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// loop is the goroutine that reduces one state.
type loop struct {
	host    *Host
	state   *reducer.State
	mailbox *mailbox[reducer.Event]
	timer   *time.Timer
}

func newLoop(h *Host) *loop {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &loop{
		host:    h,
		state:   reducer.New(h.parameters.Reducer),
		mailbox: newMailbox[reducer.Event](),
		timer:   timer,
	}
}

// run reduces events and timer expiries until the host stops.
func (l *loop) run() {
	defer l.mailbox.close()
	for {
		select {
		case <-l.host.context.Done():
			return
		case <-l.timer.C:
			l.reduce(reducer.Woken{})
		case <-l.mailbox.signal:
			for _, e := range l.mailbox.take() {
				l.reduce(e)
			}
		}
	}
}

func (l *loop) reduce(e reducer.Event) {
	for _, effect := range l.state.Reduce(l.host.clock.now(), e) {
		l.host.execute(l, effect)
	}
}

// wakeAt schedules the next Woken event, in place of the one scheduled before.
func (l *loop) wakeAt(at identifier.Instant) {
	l.timer.Reset(at.Since(l.host.clock.now()).Duration())
}
