package main_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/platform/imitator"
)

var (
	soakSeeds     = flag.Int("soak-seeds", 1, "how many seeds the fault soak runs")
	soakFirstSeed = flag.Uint64("soak-first", 1, "the first seed of the fault soak")
	soakDuration  = flag.Duration("soak-span", 8*time.Second, "how long the fault soak injects faults for each seed")
)

// soakAnnouncementInterval is the interval between announcements of a fake server.
const soakAnnouncementInterval = 300 * time.Millisecond

// soakZone is the failure domain that the operator evacuates.
const soakZone = "fd-1"

const (
	// orderTimeout is how long the operator waits for the answer to an order.
	orderTimeout = time.Second
	// maxOrderHold is how long a link holds an order back at most.
	maxOrderHold = 20 * time.Second
	// operatorPause is the time between the acknowledgement of an order and the next one.
	operatorPause = 300 * time.Millisecond
)

// soakReplacementTime is how long a group of control hosts may take to adapt to a replacement.
const soakReplacementTime = 5 * time.Second

// Ports of a host in the soak. Its relay listens at soakPeerPort, the port that other
// hosts know, and forwards to soakPeerListenPort.
const (
	soakPeerPort = 7400 + iota
	soakPeerListenPort
	soakOperatorPort
	soakClientPort
	soakReadinessPort
	soakControlPort
)

// soakHost is an entry or control host in its own process. Its peers' connections go
// through a relay.
type soakHost struct {
	ip       string
	file     string
	settings loader.Settings
	session  *gexec.Session
	relay    *relayer.Relay
	stopped  bool
}

func (h *soakHost) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// soak is the run of one seed: three control hosts, three entry hosts and the violations
// found.
type soak struct {
	seed       uint64
	operator   *imitator.Client
	clients    []*imitator.Client
	deployment *deployment
	hosts      []*soakHost
	servers    *imitator.Servers
	done       chan struct{}
	workers    sync.WaitGroup

	// startMutex guards the deployment, and hostsMutex the elements of hosts.
	startMutex sync.Mutex
	hostsMutex sync.Mutex
	// replaced is set once a control host has been replaced.
	replaced bool
	mutex    sync.Mutex
	// acknowledgedVersion is the highest acknowledged version of the declaration.
	acknowledgedVersion int
	violations          []string
	searchesAnswered    int
	// operatorLinks are relays in front of the control hosts that hold back the operator's orders.
	operatorLinks []*relayer.Relay
	// reportedNotRun holds the IDs of postings whose response said that they were not run.
	reportedNotRun []string
}

// newSoak starts the hosts and servers of a soak. adjust may change the settings of each host.
func newSoak(number int, seed uint64, adjust ...func(*loader.Settings)) *soak {
	s := &soak{
		seed: seed, deployment: newDeployment(number), done: make(chan struct{}), operator: imitator.NewClient(false),
		clients: []*imitator.Client{imitator.NewClient(false), imitator.NewClient(true)},
	}
	prefix := s.deployment.ip[:strings.LastIndexByte(s.deployment.ip, '.')]
	var seeds []identifier.Address
	for i := range 2 * imitator.Domains {
		h := &soakHost{ip: fmt.Sprintf("%s.%d", prefix, 110+i)}
		s.hosts = append(s.hosts, h)
		if i < imitator.Domains {
			seeds = append(seeds, identifier.Address(h.address(soakControlPort)))
		}
	}
	var controls []string
	for i, h := range s.hosts {
		h.settings = loader.Settings{
			Host: identifier.HostID(h.address(soakPeerPort)), Domain: identifier.DomainID(fmt.Sprintf("fd-%d", i%imitator.Domains)),
			Listen: loader.Listen{
				Operators: identifier.Address(h.address(soakOperatorPort)), Peers: identifier.Address(h.address(soakPeerListenPort)),
			},
			Fleet: &loader.Fleet{Duty: loader.FleetEntry, Seeds: seeds, PeerPort: soakPeerPort},
		}
		h.settings.Fleet.ExtraAttempts.Share, h.settings.Fleet.ExtraAttempts.Slack = 0.2, 50
		h.settings.Fleet.ExtraAttempts.WindowMillis = 10000
		if i < imitator.Domains {
			controls = append(controls, h.address(soakControlPort))
			h.settings.Listen.BackendServers = identifier.Address(h.address(soakControlPort))
			h.settings.Control.DataFolder = filepath.Join(s.deployment.folder, fmt.Sprintf("data-%d", i))
			h.settings.Fleet.Duty, h.settings.Fleet.Founder = loader.FleetControl, true
			h.settings.Fleet.AnnouncementIntervalMillis = soakAnnouncementInterval.Milliseconds()
		} else {
			h.settings.Listen.Callers = identifier.Address(h.address(soakClientPort))
			h.settings.Listen.Readiness = identifier.Address(h.address(soakReadinessPort))
		}
		for _, change := range adjust {
			change(&h.settings)
		}
		s.startRelay(h)
		s.startHost(h)
	}
	var err error
	s.servers, err = imitator.NewServers(controls, soakAnnouncementInterval)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.servers.Close)
	return s
}

func (s *soak) startHost(h *soakHost) {
	// Faults of different kinds start hosts concurrently.
	s.startMutex.Lock()
	defer s.startMutex.Unlock()
	h.file = s.deployment.writeYAML(h.ip+".yaml", h.settings)
	h.session = s.deployment.startProcess(programPath, "serve", "--settings", h.file)
	h.stopped = false
	// Only the first start of a host may create the group of control hosts.
	h.settings.Fleet.Founder = false
}

func (s *soak) addViolation(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, values...))
}

// declare sends a version of the declaration to a control host, and records and reports
// whether it was acknowledged.
func (s *soak) declare(version int) bool {
	acknowledged := s.operator.Declare(s.host(version%imitator.Domains).address(soakControlPort), version)
	if acknowledged {
		s.mutex.Lock()
		s.acknowledgedVersion = max(s.acknowledgedVersion, version)
		s.mutex.Unlock()
	}
	return acknowledged
}

// readDeclaration reads the declaration at a control host and returns its version, or 0
// without an answer. A version below the one acknowledged before the read is a violation.
func (s *soak) readDeclaration(host int) int {
	s.mutex.Lock()
	minimum := s.acknowledgedVersion
	s.mutex.Unlock()
	version, err := s.operator.DeclaredVersion(s.host(host).address(soakControlPort))
	if errors.Is(err, imitator.ErrNoSuccess) {
		return 0
	}
	if err != nil || version < minimum {
		s.addViolation("a read returned version %d after %d was acknowledged: %v", version, minimum, err)
	}
	return version
}

// search sends a search to an entry host and reports whether the answer was complete.
func (s *soak) search(client, host int, id string) bool {
	missing, err := s.clients[client%len(s.clients)].Search(s.host(host).address(soakClientPort), id)
	if errors.Is(err, imitator.ErrNoSuccess) {
		return false
	}
	if err != nil {
		s.addViolation("%v", err)
	}
	s.mutex.Lock()
	s.searchesAnswered++
	s.mutex.Unlock()
	return missing == 0
}

// post sends a posting, which must run at most once.
func (s *soak) post(host int, id string) {
	if s.clients[0].Post(s.host(host).address(soakClientPort), id) {
		s.mutex.Lock()
		s.reportedNotRun = append(s.reportedNotRun, id)
		s.mutex.Unlock()
	}
}

// runWorker sends searches, postings, declarations and reads until the soak is done.
func (s *soak) runWorker(worker int) {
	defer ginkgo.GinkgoRecover()
	for i := 0; ; i++ {
		select {
		case <-s.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		id := fmt.Sprintf("%d-%d", worker, i)
		host := imitator.Domains + (i+worker)%imitator.Domains
		switch {
		case worker == 0 && i%20 == 0:
			s.declare(2 + i)
		case worker == 1 && i%10 == 0:
			s.readDeclaration(i % imitator.Domains)
		case worker == 2 && i%40 == 0:
			s.search(worker, host, imitator.CrashingSearch)
		case i%5 == 0:
			s.post(host, id)
		default:
			s.search(worker, host, id)
		}
	}
}

// runOperator begins and ends the evacuation of a failure domain in turn until the soak is done. It gives up on a control host
// after orderTimeout and sends the order to the next one.
func (s *soak) runOperator() {
	defer ginkgo.GinkgoRecover()
	operator := imitator.NewOperator(orderTimeout)
	for n := 0; ; n++ {
		ended, acknowledged := n%2 == 1, false
		for i := 0; !acknowledged; i++ {
			select {
			case <-s.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			link := s.operatorLinks[(n+i)%len(s.operatorLinks)]
			acknowledged = operator.Evacuate(string(link.Address()), soakZone, ended)
		}
		select {
		case <-s.done:
			return
		case <-time.After(operatorPause):
		}
	}
}

// holdOrders holds back the operator's connections to a control host for a random duration, with their end.
func (s *soak) holdOrders(random *rand.Rand) {
	link := s.operatorLinks[random.IntN(len(s.operatorLinks))]
	link.SetCondition(relayer.Stalled{Forward: true})
	time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
	link.SetCondition(relayer.Forwarding{})
	time.Sleep(drawFaultDuration(random) / 4)
}

// startOperatorLinks starts the relays in front of the control hosts.
func (s *soak) startOperatorLinks() {
	for _, h := range s.hosts[:imitator.Domains] {
		link, err := relayer.New(relayer.Parameters{Target: identifier.Address(h.address(soakControlPort))})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(link.Close)
		s.operatorLinks = append(s.operatorLinks, link)
	}
}

// drawHeldOrder draws an order that a link holds back for up to maxOrderHold, with the end of its connection up to some
// seconds behind it, or never.
func drawHeldOrder(random *rand.Rand, ended bool) heldOrder {
	o := heldOrder{method: http.MethodPost, kept: random.IntN(2) == 0}
	if ended {
		o.method = http.MethodDelete
	}
	o.hold = orderTimeout + time.Duration(random.Int64N(int64(maxOrderHold-orderTimeout)))
	if random.IntN(2) == 0 {
		o.end = time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))
	}
	return o
}

// checkEvacuation has the operator give up on an order that a link holds back, and expects that what it orders next stands: the
// servers of soakZone get requests unless they are evacuated.
func (s *soak) checkEvacuation(seed uint64) {
	links := s.operatorLinks
	first := int(seed % uint64(len(links)))
	ended, next := seed%2 == 1, 0
	order := func(ended bool) {
		gomega.Eventually(func() bool {
			// One of the control hosts may have been replaced.
			next++
			link := links[(first+1+next%(len(links)-1))%len(links)]
			return s.operator.Evacuate(string(link.Address()), soakZone, ended)
		}, waitLimit, "100ms").Should(gomega.BeTrue(), "seed %d", seed)
	}
	held := drawHeldOrder(rand.New(rand.NewPCG(seed, 13)), ended)
	done, sent := make(chan struct{}), make(chan struct{})
	defer close(done)
	go func() {
		defer close(sent)
		// A control host that was replaced accepts no connection, and one that is too busy closes it.
		_, _ = held.send(s.host(first).address(soakControlPort), soakZone, done)
	}()
	time.Sleep(orderTimeout)
	order(ended)
	order(!ended)
	<-sent
	time.Sleep(orderTimeout)
	for shard := range imitator.Shards {
		gomega.Expect(s.servers.SetFault(shard, 1, imitator.Healthy)).To(gomega.Succeed())
	}
	for n := range 60 {
		s.search(0, imitator.Domains+n%imitator.Domains, fmt.Sprintf("evacuation-%d-%d", seed, n))
	}
	arrived := 0
	for shard := range imitator.Shards {
		arrived += len(s.servers.Arrivals(shard, 1))
	}
	gomega.Expect(arrived > 0).To(gomega.Equal(!ended), "seed %d: %d requests reach the zone", seed, arrived)
}

// injectFaults starts a goroutine that injects one fault after another until the soak is
// done. Each goroutine has its own random source. Faults of control hosts, of entry hosts
// and of servers overlap, but there is only one of each kind at a time, because the
// deployment tolerates the loss of one control host.
func (s *soak) injectFaults(stream uint64, inject func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(s.seed, stream))
	s.workers.Go(func() {
		defer ginkgo.GinkgoRecover()
		for {
			select {
			case <-s.done:
				return
			default:
				inject(random)
			}
		}
	})
}

// injectServerFault injects a fault into one server of a shard, or with a probability of
// 1/4 into all of them, and ends it after a random duration.
func (s *soak) injectServerFault(random *rand.Rand) {
	shard, fault := random.IntN(imitator.Shards), imitator.Fault(random.IntN(int(imitator.FaultCount)))
	first, last := 0, imitator.Domains
	if random.IntN(4) > 0 {
		first = random.IntN(imitator.Domains)
		last = first + 1
	}
	duration := drawFaultDuration(random)
	ginkgo.GinkgoWriter.Println("server fault", shard, first, last, fault, duration)
	for d := first; d < last; d++ {
		gomega.Expect(s.servers.SetFault(shard, d, fault)).To(gomega.Succeed())
	}
	time.Sleep(duration)
	for d := first; d < last; d++ {
		gomega.Expect(s.servers.SetFault(shard, d, imitator.Healthy)).To(gomega.Succeed())
	}
}

// drawFaultDuration returns a random duration for a fault.
func drawFaultDuration(random *rand.Rand) time.Duration {
	return time.Duration(200+random.IntN(1500)) * time.Millisecond
}

// injectHostFault injects a random fault into one of the hosts and ends it after a random
// duration.
func (s *soak) injectHostFault(random *rand.Rand, hosts []*soakHost) {
	h := hosts[random.IntN(len(hosts))]
	duration := drawFaultDuration(random)
	signal := func(sig syscall.Signal) { h.session.Signal(sig) }
	kind := random.IntN(8)
	ginkgo.GinkgoWriter.Println("host fault", h.ip, kind, duration)
	switch kind {
	case 0:
		signal(syscall.SIGKILL)
		h.session.Wait(waitLimit)
		time.Sleep(duration)
		s.startHost(h)
	case 1:
		signal(syscall.SIGTERM)
		h.session.Wait(waitLimit)
		s.startHost(h)
	case 2:
		signal(syscall.SIGSTOP)
		time.Sleep(duration)
		signal(syscall.SIGCONT)
	case 3:
		h.relay.SetCondition(relayer.Disconnected{})
		time.Sleep(duration)
		h.relay.SetCondition(relayer.Forwarding{})
	case 4:
		h.relay.SetCondition(relayer.Stalled{Forward: random.IntN(2) == 0, Backward: true})
		time.Sleep(duration)
		h.relay.SetCondition(relayer.Forwarding{})
	case 5:
		s.restartWithEmptyDisk(h, duration)
	case 6:
		// Before the first log line the process may not handle SIGHUP yet.
		gomega.Eventually(h.session.Out.Contents, waitLimit).ShouldNot(gomega.BeEmpty())
		signal(syscall.SIGHUP)
		time.Sleep(duration / 10)
	case 7:
		if h.settings.Fleet.Duty == loader.FleetControl && !s.replaced {
			s.replaceControlHost(h, duration, random.IntN(2) == 0)
		}
	}
}

// replaceControlHost ends a control host for good and starts one at another address with an empty disk,
// before the old one gets SIGTERM or after it was killed. It does so once for each seed, since the
// backend servers know only the first control hosts.
func (s *soak) replaceControlHost(old *soakHost, pause time.Duration, planned bool) {
	s.replaced = true
	h := &soakHost{ip: old.ip[:strings.LastIndexByte(old.ip, '.')] + ".119", settings: old.settings}
	h.settings.Host = identifier.HostID(h.address(soakPeerPort))
	h.settings.Listen = loader.Listen{
		BackendServers: identifier.Address(h.address(soakControlPort)),
		Operators:      identifier.Address(h.address(soakOperatorPort)),
		Peers:          identifier.Address(h.address(soakPeerListenPort)),
	}
	h.settings.Control.DataFolder = filepath.Join(s.deployment.folder, "data-replacement")
	s.startRelay(h)
	end := func(sig syscall.Signal) {
		old.session.Signal(sig)
		old.session.Wait(waitLimit)
		old.relay.Close()
	}
	if planned {
		s.startHost(h)
		time.Sleep(pause)
		end(syscall.SIGTERM)
	} else {
		end(syscall.SIGKILL)
		time.Sleep(pause)
		s.startHost(h)
	}
	s.hostsMutex.Lock()
	s.hosts[slices.Index(s.hosts, old)] = h
	s.hostsMutex.Unlock()
	// Until the group has adapted, it tolerates no other loss.
	time.Sleep(soakReplacementTime)
}

// host returns a host by its index.
func (s *soak) host(i int) *soakHost {
	s.hostsMutex.Lock()
	defer s.hostsMutex.Unlock()
	return s.hosts[i]
}

// startRelay starts the relay in front of a host.
func (s *soak) startRelay(h *soakHost) {
	var err error
	h.relay, err = relayer.New(relayer.Parameters{
		Listen: identifier.Address(h.address(soakPeerPort)), Target: h.settings.Listen.Peers, Delay: time.Millisecond,
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(h.relay.Close)
}

// restartWithEmptyDisk kills a host, removes its data folder if it has one, and restarts
// it after a pause. Only one control host at a time may lose its data, because the
// deployment tolerates one loss.
func (s *soak) restartWithEmptyDisk(h *soakHost, pause time.Duration) {
	h.session.Signal(syscall.SIGKILL)
	h.session.Wait(waitLimit)
	if h.settings.Control.DataFolder != "" {
		gomega.Expect(os.RemoveAll(h.settings.Control.DataFolder)).To(gomega.Succeed())
	}
	time.Sleep(pause)
	s.startHost(h)
	// Let the host catch up; until then, the deployment tolerates no other loss.
	time.Sleep(2 * time.Second)
}

// allAnswerInFull reports whether every entry host answers a search in full and every
// control host returns the acknowledged version or a later one.
func (s *soak) allAnswerInFull(attempt int) bool {
	for i := range imitator.Domains {
		if !s.search(attempt, imitator.Domains+i, fmt.Sprintf("end-%d-%d", attempt, i)) || s.readDeclaration(i) < s.acknowledgedVersion {
			return false
		}
	}
	return true
}

var _ = ginkgo.Describe("the fault soak", func() {
	ginkgo.It("finds no violation of a fleet's guarantees while faults are injected", func() {
		for i := range uint64(*soakSeeds) {
			s := newSoak(90, *soakFirstSeed+i, func(l *loader.Settings) { l.Fleet.EvacuationMillis = 5000 })
			s.startOperatorLinks()
			gomega.Eventually(func() bool { return s.declare(1) }, waitLimit, "100ms").Should(gomega.BeTrue())
			attempt := 0
			answered := func() bool { attempt++; return s.allAnswerInFull(attempt) }
			gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue(), "seed %d at the start", *soakFirstSeed+i)
			for worker := range 4 {
				s.workers.Go(func() { s.runWorker(worker) })
			}
			s.injectFaults(1, func(r *rand.Rand) { s.injectHostFault(r, s.hosts[:imitator.Domains]) })
			s.injectFaults(2, func(r *rand.Rand) { s.injectHostFault(r, s.hosts[imitator.Domains:]) })
			s.injectFaults(3, s.injectServerFault)
			s.workers.Go(s.runOperator)
			s.injectFaults(4, s.holdOrders)
			time.Sleep(*soakDuration)
			close(s.done)
			s.workers.Wait()
			gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue(), "seed %d at the end", *soakFirstSeed+i)
			s.checkRuns(*soakFirstSeed + i)
			s.checkEvacuation(*soakFirstSeed + i)
			for _, h := range s.hosts {
				gomega.Expect(counterValue(h, "lagooncleat_broken_invariants_total")).To(gomega.BeZero(), "seed %d, host %s", *soakFirstSeed+i, h.ip)
				h.session.Kill().Wait(waitLimit)
				h.relay.Close()
			}
		}
	})
})

// checkRuns checks that no posting ran twice and that none ran that was reported as not
// run, and fails the test if there were violations.
func (s *soak) checkRuns(seed uint64) {
	runs := s.servers.Runs()
	for id, n := range runs {
		if n > 1 {
			s.addViolation("%s ran %d times", id, n)
		}
	}
	for _, id := range s.reportedNotRun {
		if runs[id] > 0 {
			s.addViolation("%s was reported as not run but ran", id)
		}
	}
	gomega.Expect(s.violations).To(gomega.BeEmpty(), "seed %d", seed)
	gomega.Expect(s.searchesAnswered).To(gomega.BeNumerically(">", 0))
}
