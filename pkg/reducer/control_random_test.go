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

// controlSimulation is the additional state of a simulation with control hosts: disks,
// operators and non-repeatable requests.
type controlSimulation struct {
	disks [domainCount]disk
	// inForce is the version in force on each host since its last start.
	inForce       map[*simulatedHost]identifier.Version
	lastTicket    reducer.Ticket
	replyHandlers map[reducer.Ticket]func(reducer.ReplyOperator)
	// results holds the first result received for each change, and acceptedChanges the
	// accepted change of each version.
	results         map[identifier.ChangeID]registrar.Result
	acceptedChanges map[identifier.Version]identifier.ChangeID
	highestVersion  identifier.Version
	// runs counts the executions by idempotency key and hash range.
	runs              map[string]int
	reads, staleReads int
}

// controlRounds is enough for the control hosts to compact their logs into snapshots.
const controlRounds = 60

// disk holds the synced records of a control host.
type disk struct {
	records []replicator.Record
	// busyUntil is when the last sync completes.
	busyUntil identifier.Instant
}

func newControlSimulation(seed uint64) *simulation {
	return newSimulationWith(seed, 5, 4, &controlSimulation{
		inForce:         map[*simulatedHost]identifier.Version{},
		replyHandlers:   map[reducer.Ticket]func(reducer.ReplyOperator){},
		results:         map[identifier.ChangeID]registrar.Result{},
		acceptedChanges: map[identifier.Version]identifier.ChangeID{},
		runs:            map[string]int{},
	})
}

// controlHosts returns the control hosts: the first hosts, one in each failure domain.
func (s *simulation) controlHosts() []identifier.HostID {
	var hosts []identifier.HostID
	for _, h := range s.hosts[:domainCount] {
		hosts = append(hosts, h.ID)
	}
	return hosts
}

// recover delivers the synced records of a control host to it.
func (s *simulation) recover(i int) {
	if s.control == nil {
		return
	}
	delete(s.control.inForce, s.hosts[i])
	if i >= domainCount {
		return
	}
	stored, err := replicator.Rebuild[reducer.ControlSnapshot](s.control.disks[i].records)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s.reduce(s.hosts[i], reducer.LogRecovered{Replica: identifier.ReplicaID(i + 1), Stored: stored})
}

// storeRecords syncs records in order after a delay. Records that are not synced when the
// host stops are lost.
func (s *simulation) storeRecords(h *simulatedHost, e reducer.StoreRecords) {
	d := &s.control.disks[slices.Index(s.controlHosts(), h.ID)]
	generation := h.generation
	d.busyUntil = max(d.busyUntil, s.now).Add(identifier.Micros(s.random.Int64N(3000)))
	s.after(d.busyUntil.Since(s.now), func() {
		if h.generation == generation {
			d.records = append(d.records, e.Records...)
			s.reduce(h, reducer.RecordsStored{Sequence: e.Sequence})
		}
	})
}

// checkVersion checks that the version in force never decreases while a host runs.
func (s *simulation) checkVersion(h *simulatedHost, version identifier.Version) {
	if s.control == nil {
		return
	}
	gomega.Expect(version).To(gomega.BeNumerically(">=", s.control.inForce[h]), "on %s", h.ID)
	s.control.inForce[h] = version
}

// recordRun checks that a non-repeatable request runs at most once for each hash range.
func (c *controlSimulation) recordRun(key identifier.IdempotencyKey, r identifier.HashRange) {
	if key == "" {
		return
	}
	name := fmt.Sprint(key, r)
	c.runs[name]++
	gomega.Expect(c.runs[name]).To(gomega.Equal(1), "runs of %s", name)
}

func (c *controlSimulation) handleReply(_ *simulatedHost, r reducer.ReplyOperator) {
	c.replyHandlers[r.Ticket](r)
	delete(c.replyHandlers, r.Ticket)
}

// sendOperation sends an operator's event to a random host and passes the reply to handle.
func (s *simulation) sendOperation(event func(reducer.Ticket) reducer.Event, handle func(reducer.ReplyOperator)) {
	s.control.lastTicket++
	ticket := s.control.lastTicket
	s.control.replyHandlers[ticket] = handle
	s.reduce(s.hosts[s.random.IntN(len(s.hosts))], event(ticket))
}

// sendChange sends a change of the template, which competes with other changes, and resends
// it at random times whether or not it was answered.
func (s *simulation) sendChange(c registrar.Change, resends int) {
	s.sendOperation(func(t reducer.Ticket) reducer.Event {
		return reducer.ChangeRequested{Ticket: t, Change: c}
	}, func(r reducer.ReplyOperator) {
		if decided, ok := r.Reply.(reducer.ChangeDecided); ok {
			s.control.checkResult(c, decided.Result)
		}
	})
	if resends > 0 {
		s.after(identifier.Micros(s.random.Int64N(int64(4*identifier.Second))), func() { s.sendChange(c, resends-1) })
	}
}

// checkResult checks that all sends of a change have the same result, and that no two accepted
// changes have the same version.
func (c *controlSimulation) checkResult(change registrar.Change, result registrar.Result) {
	if previous, found := c.results[change.ID]; found {
		gomega.Expect(result).To(gomega.Equal(previous), "a resend of %s", change.ID)
		return
	}
	c.results[change.ID] = result
	accepted, ok := result.(registrar.Accepted)
	if !ok {
		return
	}
	gomega.Expect(c.acceptedChanges).NotTo(gomega.HaveKey(accepted.Version))
	c.acceptedChanges[accepted.Version] = change.ID
	c.highestVersion = max(c.highestVersion, accepted.Version)
}

// checkRead checks that an answer that is not stale reflects every change whose acceptance
// was received before.
func (s *simulation) checkRead() {
	minVersion := s.control.highestVersion
	s.sendOperation(func(t reducer.Ticket) reducer.Event {
		return reducer.ObjectsRequested{Ticket: t, Read: reducer.ObjectsRead{Name: templateName, History: true}}
	}, func(r reducer.ReplyOperator) {
		s.control.reads++
		found, ok := r.Reply.(reducer.ObjectsFound)
		if !ok {
			s.control.staleReads++
			return
		}
		gomega.Expect(found.Version).To(gomega.BeNumerically(">=", minVersion))
		for _, v := range found.Revisions {
			if accepted, known := s.control.acceptedChanges[v.Version]; known {
				gomega.Expect(v.Change).To(gomega.Equal(accepted))
			}
		}
	})
}

// sendTransfer sends a non-repeatable request to several random hosts in turn.
func (s *simulation) sendTransfer(key identifier.IdempotencyKey, issued identifier.Instant, sends int) {
	host := s.random.IntN(len(s.hosts))
	id := identifier.RequestID(fmt.Sprintf("q-%d", len(s.requests)))
	s.requests[id] = &request{host: host, hostGeneration: s.hosts[host].generation, arrived: s.now, key: key}
	s.reduce(s.hosts[host], reducer.QueryArrived{
		Request: id, Customer: "desk", Work: "w-0", Timeout: identifier.Second, Fingerprint: 7,
		IdempotencyKey: key, IssuedAt: issued,
	})
	if sends > 1 {
		// A resend may be late enough to reach a ledger that was restored from a snapshot.
		pause := identifier.Second << s.random.IntN(5)
		s.after(identifier.Micros(s.random.Int64N(int64(pause))), func() { s.sendTransfer(key, issued, sends-1) })
	}
}

// controlFaults are the faults of a run with control hosts.
var controlFaults = []string{"a straggler", "a server crashes", "a domain is cut off", "a host is killed", "a host freezes", "connections break"}

// scheduleOperations schedules requests of operators and callers within the next half second.
func (s *simulation) scheduleOperations(round int) {
	for i := range 4 {
		version := identifier.Version(1)
		for h := range s.control.inForce {
			version = max(version, s.control.inForce[h])
		}
		c := registrar.Change{
			ID: identifier.ChangeID(fmt.Sprintf("c-%d-%d", round, i)), Replaces: version,
			Edit: registrar.TemplatePut{Template: s.template(int64(1000 + 10*round + i))},
		}
		s.after(identifier.Micros(s.random.Int64N(int64(identifier.Second/2))), func() { s.sendChange(c, s.random.IntN(3)) })
		s.after(identifier.Micros(s.random.Int64N(int64(identifier.Second/2))), s.checkRead)
		key := identifier.IdempotencyKey(fmt.Sprintf("k-%d-%d", round, i))
		s.after(identifier.Micros(s.random.Int64N(int64(identifier.Second/2))), func() { s.sendTransfer(key, s.now, 1+s.random.IntN(4)) })
	}
}

var _ = ginkgo.Describe("a randomised run with control hosts", func() {
	for seed := *firstSeed; seed < *firstSeed+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("keeps its guarantees with seed %d", seed), func() {
			s := newControlSimulation(seed)
			for round := range controlRounds {
				s.scheduleOperations(round)
				if s.random.IntN(2) == 0 {
					s.injectFault(controlFaults[s.random.IntN(len(controlFaults))])
				}
				s.run(identifier.Second / 2)
			}
			s.run(60 * identifier.Second)
			s.checkReplies()
			for _, h := range s.hosts {
				gomega.Expect(s.control.inForce[h]).To(gomega.Equal(s.control.inForce[s.hosts[0]]), "on %s", h.ID)
			}
			gomega.Expect(s.control.inForce[s.hosts[0]]).To(gomega.BeNumerically(">=", s.control.highestVersion))
			for _, h := range s.hosts[1:domainCount] {
				gomega.Expect(h.state.Replicated()).To(gomega.Equal(s.hosts[0].state.Replicated()), "on %s", h.ID)
			}
			ginkgo.GinkgoWriter.Printf("seed %d: %d events, %d transfers sent, %d runs, %d changes decided, %d accepted, %d reads, %d stale\n",
				seed, s.events, len(s.requests), len(s.control.runs), len(s.control.results), len(s.control.acceptedChanges), s.control.reads, s.control.staleReads)
		})
	}
})

// injectFault injects the fault of that name.
func (s *simulation) injectFault(name string) {
	for _, f := range faults {
		if f.name == name {
			f.inject(s)
		}
	}
}
