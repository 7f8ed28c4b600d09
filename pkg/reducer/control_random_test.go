package reducer_test

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// controlWorld is what a world with control hosts has besides: disks, operators
// and requests that are not repeatable.
type controlWorld struct {
	disks [worldDomains]disk
	// inForce is the version in force on each host's present life.
	inForce map[*node]identifier.Version
	tickets reducer.Ticket
	waiting map[reducer.Ticket]func(reducer.ReplyOperator)
	// results are the first results heard of changes, and winners the changes by version.
	results map[identifier.ChangeID]registrar.Result
	winners map[identifier.Version]identifier.ChangeID
	highest identifier.Version
	// runs counts the runs of each key and range.
	runs          map[string]int
	reads, stales int
}

// controlRounds are enough for the control hosts to replace their logs by snapshots.
const controlRounds = 60

// disk holds the synced records of a control host.
type disk struct {
	records []replicator.Record
	// busy is when the last sync ends.
	busy identifier.Instant
}

func newControlWorld(seed uint64) *world {
	return newWorldWith(seed, 5, 4, &controlWorld{
		inForce: map[*node]identifier.Version{},
		waiting: map[reducer.Ticket]func(reducer.ReplyOperator){},
		results: map[identifier.ChangeID]registrar.Result{},
		winners: map[identifier.Version]identifier.ChangeID{},
		runs:    map[string]int{},
	})
}

// controlHosts returns the first hosts, one in each failure domain.
func (w *world) controlHosts() []identifier.HostID {
	var hosts []identifier.HostID
	for _, n := range w.hosts[:worldDomains] {
		hosts = append(hosts, n.ID)
	}
	return hosts
}

// recover gives a control host what its disk holds.
func (w *world) recover(i int) {
	if w.control == nil {
		return
	}
	delete(w.control.inForce, w.hosts[i])
	if i >= worldDomains {
		return
	}
	stored, err := replicator.Rebuild[reducer.ControlSnapshot](w.control.disks[i].records)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	w.reduce(w.hosts[i], reducer.LogRecovered{Replica: identifier.ReplicaID(i + 1), Stored: stored})
}

// store syncs records in order after a while; what is not synced when the host dies is lost.
func (w *world) store(n *node, e reducer.StoreRecords) {
	d := &w.control.disks[slices.Index(w.controlHosts(), n.ID)]
	life := n.life
	d.busy = max(d.busy, w.now).Add(identifier.Micros(w.random.Int64N(3000)))
	w.after(d.busy.Since(w.now), func() {
		if n.life == life {
			d.records = append(d.records, e.Records...)
			w.reduce(n, reducer.RecordsStored{Sequence: e.Sequence})
		}
	})
}

// watchVersion checks that the version in force never falls while a host lives.
func (w *world) watchVersion(n *node, version identifier.Version) {
	if w.control == nil {
		return
	}
	gomega.Expect(version).To(gomega.BeNumerically(">=", w.control.inForce[n]), "on %s", n.ID)
	w.control.inForce[n] = version
}

func (c *controlWorld) ran(key identifier.IdempotencyKey, held identifier.HashRange) {
	if key == "" {
		return
	}
	name := fmt.Sprint(key, held)
	c.runs[name]++
	gomega.Expect(c.runs[name]).To(gomega.Equal(1), "runs of %s", name)
}

func (c *controlWorld) reply(_ *node, r reducer.ReplyOperator) {
	c.waiting[r.Ticket](r)
	delete(c.waiting, r.Ticket)
}

// operate gives an operator's event to a host, and the reply to the function.
func (w *world) operate(event func(reducer.Ticket) reducer.Event, heard func(reducer.ReplyOperator)) {
	w.control.tickets++
	ticket := w.control.tickets
	w.control.waiting[ticket] = heard
	w.reduce(w.hosts[w.random.IntN(len(w.hosts))], event(ticket))
}

// change sends a change of the template, which others race, and resends it at
// times whether it was answered or not.
func (w *world) change(c registrar.Change, resends int) {
	w.operate(func(t reducer.Ticket) reducer.Event {
		return reducer.ChangeRequested{Ticket: t, Change: c}
	}, func(r reducer.ReplyOperator) {
		if decided, ok := r.Reply.(reducer.ChangeDecided); ok {
			w.control.decided(c, decided.Result)
		}
	})
	if resends > 0 {
		w.after(identifier.Micros(w.random.Int64N(int64(4*identifier.Second))), func() { w.change(c, resends-1) })
	}
}

// decided checks that a change has one result, and a version one winner.
func (c *controlWorld) decided(change registrar.Change, result registrar.Result) {
	if previous, heard := c.results[change.ID]; heard {
		gomega.Expect(result).To(gomega.Equal(previous), "a resend of %s", change.ID)
		return
	}
	c.results[change.ID] = result
	accepted, ok := result.(registrar.Accepted)
	if !ok {
		return
	}
	gomega.Expect(c.winners).NotTo(gomega.HaveKey(accepted.Version))
	c.winners[accepted.Version] = change.ID
	c.highest = max(c.highest, accepted.Version)
}

// read checks that an answer that is not stale reflects every change whose
// acceptance was heard before.
func (w *world) read() {
	least := w.control.highest
	w.operate(func(t reducer.Ticket) reducer.Event {
		return reducer.ObjectsRequested{Ticket: t, Read: reducer.ObjectsRead{Name: templateT, History: true}}
	}, func(r reducer.ReplyOperator) {
		w.control.reads++
		found, ok := r.Reply.(reducer.ObjectsFound)
		if !ok {
			w.control.stales++
			return
		}
		gomega.Expect(found.Version).To(gomega.BeNumerically(">=", least))
		for _, v := range found.Revisions {
			if winner, heard := w.control.winners[v.Version]; heard {
				gomega.Expect(v.Change).To(gomega.Equal(winner))
			}
		}
	})
}

// transfer sends a request that is not repeatable to several hosts, one after the other.
func (w *world) transfer(key identifier.IdempotencyKey, issued identifier.Instant, sends int) {
	host := w.random.IntN(len(w.hosts))
	id := identifier.RequestID(fmt.Sprintf("q-%d", len(w.requests)))
	w.requests[id] = &request{host: host, life: w.hosts[host].life, arrived: w.now, key: key}
	w.reduce(w.hosts[host], reducer.QueryArrived{
		Request: id, Customer: "desk", Work: "w-0", Timeout: identifier.Second, Fingerprint: 7,
		IdempotencyKey: key, IssuedAt: issued,
	})
	if sends > 1 {
		// A resend may come long after, when the ledger has been through a snapshot.
		pause := identifier.Second << w.random.IntN(5)
		w.after(identifier.Micros(w.random.Int64N(int64(pause))), func() { w.transfer(key, issued, sends-1) })
	}
}

// controlFaults are what a run with control hosts draws from, besides servers' faults.
var controlFaults = []string{"a straggler", "a server crashes", "a domain is cut off", "a host is killed", "a host freezes", "connections break"}

// loadControl lets operators and callers act within half a second.
func (w *world) loadControl(round int) {
	for i := range 4 {
		version := identifier.Version(1)
		for n := range w.control.inForce {
			version = max(version, w.control.inForce[n])
		}
		c := registrar.Change{
			ID: identifier.ChangeID(fmt.Sprintf("c-%d-%d", round, i)), Replaces: version,
			Edit: registrar.TemplatePut{Template: w.template(int64(1000 + 10*round + i))},
		}
		w.after(identifier.Micros(w.random.Int64N(int64(identifier.Second/2))), func() { w.change(c, w.random.IntN(3)) })
		w.after(identifier.Micros(w.random.Int64N(int64(identifier.Second/2))), w.read)
		key := identifier.IdempotencyKey(fmt.Sprintf("k-%d-%d", round, i))
		w.after(identifier.Micros(w.random.Int64N(int64(identifier.Second/2))), func() { w.transfer(key, w.now, 1+w.random.IntN(4)) })
	}
}

var _ = ginkgo.Describe("a randomised run with control hosts", func() {
	for seed := *first; seed < *first+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("keeps every promise with seed %d", seed), func() {
			w := newControlWorld(seed)
			for round := range controlRounds {
				w.loadControl(round)
				if w.random.IntN(2) == 0 {
					w.fault(controlFaults[w.random.IntN(len(controlFaults))])
				}
				w.run(identifier.Second / 2)
			}
			w.run(60 * identifier.Second)
			w.check()
			for _, n := range w.hosts {
				gomega.Expect(w.control.inForce[n]).To(gomega.Equal(w.control.inForce[w.hosts[0]]), "on %s", n.ID)
			}
			gomega.Expect(w.control.inForce[w.hosts[0]]).To(gomega.BeNumerically(">=", w.control.highest))
			for _, n := range w.hosts[1:worldDomains] {
				gomega.Expect(n.state.Replicated()).To(gomega.Equal(w.hosts[0].state.Replicated()), "on %s", n.ID)
			}
			ginkgo.GinkgoWriter.Printf("seed %d: %d events, %d transfers sent, %d runs, %d changes decided, %d accepted, %d reads, %d stale\n",
				seed, w.events, len(w.requests), len(w.control.runs), len(w.control.results), len(w.control.winners), w.control.reads, w.control.stales)
		})
	}
})

// fault lets one of the faults of the other runs happen.
func (w *world) fault(name string) {
	for _, f := range faults {
		if f.name == name {
			f.do(w)
		}
	}
}
