package main_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
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
	soakSeeds = flag.Int("soak-seeds", 1, "how many seeds the fault soak plays")
	soakFirst = flag.Uint64("soak-first", 1, "the first seed of the fault soak")
	soakSpan  = flag.Duration("soak-span", 8*time.Second, "how long the fault soak injects faults for each seed")
)

// soakAnnouncement separates the announcements of a fake server.
const soakAnnouncement = 300 * time.Millisecond

// Ports of a soaked host; the relay listens at the port that names it to others.
const (
	soakPeerPort = 7400 + iota
	soakPeerTarget
	soakOperatorPort
	soakFrontPort
	soakReadyPort
	soakControlPort
)

// soakHost is a real process of a fleet, behind a relay for its peers.
type soakHost struct {
	ip       string
	file     string
	settings loader.Settings
	session  *gexec.Session
	relay    *relayer.Relay
	stopped  bool
}

func (h *soakHost) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// soak is one seed's run: three control hosts, three entry hosts and what they did wrong.
type soak struct {
	seed       uint64
	operator   *imitator.Caller
	clients    []*imitator.Caller
	deployment *deployment
	hosts      []*soakHost
	servers    *imitator.Servers
	done       chan struct{}
	group      sync.WaitGroup

	// starting guards the deployment.
	starting sync.Mutex
	mutex    sync.Mutex
	// acknowledged is the highest version of the declaration that was acknowledged.
	acknowledged int
	broken       []string
	served       int
	// promised are the postings that were answered as not run.
	promised []string
}

func newSoak(number int, seed uint64) *soak {
	s := &soak{
		seed: seed, deployment: newDeployment(number), done: make(chan struct{}), operator: imitator.NewCaller(false),
		clients: []*imitator.Caller{imitator.NewCaller(false), imitator.NewCaller(true)},
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
				Operators: identifier.Address(h.address(soakOperatorPort)), Peers: identifier.Address(h.address(soakPeerTarget)),
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
			h.settings.Fleet.AnnouncementIntervalMillis = soakAnnouncement.Milliseconds()
		} else {
			h.settings.Listen.Callers = identifier.Address(h.address(soakFrontPort))
			h.settings.Listen.Readiness = identifier.Address(h.address(soakReadyPort))
		}
		var err error
		h.relay, err = relayer.New(relayer.Parameters{
			Listen: identifier.Address(h.address(soakPeerPort)), Target: h.settings.Listen.Peers, Delay: time.Millisecond,
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(h.relay.Close)
		s.start(h)
	}
	var err error
	s.servers, err = imitator.NewServers(controls, soakAnnouncement)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.servers.Close)
	return s
}

func (s *soak) start(h *soakHost) {
	// Faults of several sorts start hosts at the same time.
	s.starting.Lock()
	defer s.starting.Unlock()
	h.file = s.deployment.write(h.ip+".yaml", h.settings)
	h.session = s.deployment.start(program, "serve", "--settings", h.file)
	h.stopped = false
	// Only the first start of all founds the group.
	h.settings.Fleet.Founder = false
}

func (s *soak) fail(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, values...))
}

// declare sends a version to a control host and notes whether it was acknowledged.
func (s *soak) declare(version int) bool {
	acknowledged := s.operator.Declare(s.hosts[version%imitator.Domains].address(soakControlPort), version)
	if acknowledged {
		s.mutex.Lock()
		s.acknowledged = max(s.acknowledged, version)
		s.mutex.Unlock()
	}
	return acknowledged
}

// read reads the declaration at a control host; it must not be older than what was
// acknowledged before the read began.
func (s *soak) read(host int) int {
	s.mutex.Lock()
	least := s.acknowledged
	s.mutex.Unlock()
	version, err := s.operator.Declared(s.hosts[host].address(soakControlPort))
	if errors.Is(err, imitator.ErrNoAnswer) {
		return 0
	}
	if err != nil || version < least {
		s.fail("a read gave version %d after %d was acknowledged: %v", version, least, err)
	}
	return version
}

// search asks an entry host and reports whether the answer was complete.
func (s *soak) search(client, host int, id string) bool {
	missing, err := s.clients[client%len(s.clients)].Search(s.hosts[host].address(soakFrontPort), id)
	if errors.Is(err, imitator.ErrNoAnswer) {
		return false
	}
	if err != nil {
		s.fail("%v", err)
	}
	s.mutex.Lock()
	s.served++
	s.mutex.Unlock()
	return missing == 0
}

// post sends work that must run once at most.
func (s *soak) post(host int, id string) {
	if s.clients[0].Post(s.hosts[host].address(soakFrontPort), id) {
		s.mutex.Lock()
		s.promised = append(s.promised, id)
		s.mutex.Unlock()
	}
}

// work sends requests, declarations and reads until the soak is done.
func (s *soak) work(worker int) {
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
			s.read(i % imitator.Domains)
		case i%5 == 0:
			s.post(host, id)
		default:
			s.search(worker, host, id)
		}
	}
}

// disturb begins one fault after the other until the soak is done, at random from a source of its own.
// Faults of control hosts, of entry hosts and of servers overlap; of each sort there is one at a time, since
// the deployment bears the loss of one control host.
func (s *soak) disturb(stream uint64, once func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(s.seed, stream))
	s.group.Go(func() {
		defer ginkgo.GinkgoRecover()
		for {
			select {
			case <-s.done:
				return
			default:
				once(random)
			}
		}
	})
}

// troubleServers does one thing to the servers of a shard, to all of them in one case of four.
func (s *soak) troubleServers(random *rand.Rand) {
	shard, trouble := random.IntN(imitator.Shards), imitator.Trouble(random.IntN(int(imitator.TroubleCount)))
	first, last := 0, imitator.Domains
	if random.IntN(4) > 0 {
		first = random.IntN(imitator.Domains)
		last = first + 1
	}
	span := faultSpan(random)
	ginkgo.GinkgoWriter.Println("servers", shard, first, last, trouble, span)
	for d := first; d < last; d++ {
		gomega.Expect(s.servers.Set(shard, d, trouble)).To(gomega.Succeed())
	}
	time.Sleep(span)
	for d := first; d < last; d++ {
		gomega.Expect(s.servers.Set(shard, d, imitator.Sound)).To(gomega.Succeed())
	}
}

// faultSpan draws how long a fault lasts.
func faultSpan(random *rand.Rand) time.Duration {
	return time.Duration(200+random.IntN(1500)) * time.Millisecond
}

// troubleHost does one thing at random to one of some hosts, and undoes it after a while.
func (s *soak) troubleHost(random *rand.Rand, hosts []*soakHost) {
	h := hosts[random.IntN(len(hosts))]
	span := faultSpan(random)
	signal := func(x syscall.Signal) { h.session.Signal(x) }
	kind := random.IntN(7)
	ginkgo.GinkgoWriter.Println("disturb", h.ip, kind, span)
	switch kind {
	case 0:
		signal(syscall.SIGKILL)
		h.session.Wait(patience)
		time.Sleep(span)
		s.start(h)
	case 1:
		signal(syscall.SIGTERM)
		h.session.Wait(patience)
		s.start(h)
	case 2:
		signal(syscall.SIGSTOP)
		time.Sleep(span)
		signal(syscall.SIGCONT)
	case 3:
		h.relay.Set(relayer.Cut{})
		time.Sleep(span)
		h.relay.Set(relayer.Flowing{})
	case 4:
		h.relay.Set(relayer.Frozen{Forward: random.IntN(2) == 0, Backward: true})
		time.Sleep(span)
		h.relay.Set(relayer.Flowing{})
	case 5:
		s.wipe(h, span)
	case 6:
		// Before its first line the runtime may not yet handle signals.
		gomega.Eventually(h.session.Out.Contents, patience).ShouldNot(gomega.BeEmpty())
		signal(syscall.SIGHUP)
		time.Sleep(span / 10)
	}
}

// wipe takes a control host's disk, if the others are whole: the deployment bears one loss.
func (s *soak) wipe(h *soakHost, span time.Duration) {
	h.session.Signal(syscall.SIGKILL)
	h.session.Wait(patience)
	if h.settings.Control.DataFolder != "" {
		gomega.Expect(os.RemoveAll(h.settings.Control.DataFolder)).To(gomega.Succeed())
	}
	time.Sleep(span)
	s.start(h)
	// The host counts again once it has caught up.
	time.Sleep(2 * time.Second)
}

// whole reports whether every entry host answers searches in full and every control host
// reads what was acknowledged.
func (s *soak) whole(try int) bool {
	for i := range imitator.Domains {
		if !s.search(try, imitator.Domains+i, fmt.Sprintf("end-%d-%d", try, i)) || s.read(i) < s.acknowledged {
			return false
		}
	}
	return true
}

var _ = ginkgo.Describe("the fault soak", func() {
	ginkgo.It("keeps the promises of a fleet under faults from outside", func() {
		for i := range uint64(*soakSeeds) {
			s := newSoak(90, *soakFirst+i)
			gomega.Eventually(func() bool { return s.declare(1) }, patience, "100ms").Should(gomega.BeTrue())
			try := 0
			whole := func() bool { try++; return s.whole(try) }
			gomega.Eventually(whole, patience, "100ms").Should(gomega.BeTrue(), "seed %d at the start", *soakFirst+i)
			for worker := range 4 {
				s.group.Go(func() { s.work(worker) })
			}
			s.disturb(1, func(r *rand.Rand) { s.troubleHost(r, s.hosts[:imitator.Domains]) })
			s.disturb(2, func(r *rand.Rand) { s.troubleHost(r, s.hosts[imitator.Domains:]) })
			s.disturb(3, s.troubleServers)
			time.Sleep(*soakSpan)
			close(s.done)
			s.group.Wait()
			gomega.Eventually(whole, patience, "100ms").Should(gomega.BeTrue(), "seed %d at the end", *soakFirst+i)
			s.settle(*soakFirst + i)
			for _, h := range s.hosts {
				h.session.Kill().Wait(patience)
				h.relay.Close()
			}
		}
	})
})

// settle checks what can be known only at the end.
func (s *soak) settle(seed uint64) {
	runs := s.servers.Runs()
	for id, n := range runs {
		if n > 1 {
			s.fail("%s ran %d times", id, n)
		}
	}
	for _, id := range s.promised {
		if runs[id] > 0 {
			s.fail("%s was answered as not run and ran", id)
		}
	}
	gomega.Expect(s.broken).To(gomega.BeEmpty(), "seed %d", seed)
	gomega.Expect(s.served).To(gomega.BeNumerically(">", 0))
}
