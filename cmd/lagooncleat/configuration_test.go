package main_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// entryOnlyHost is the index of the entry host that is not a control host.
const entryOnlyHost = controlHostCount

// mixedGroup holds three control hosts and one entry host without a data folder.
type mixedGroup struct{ *controlGroup }

// startMixedGroup starts the hosts and waits until they are ready. ipSuffix is the last octet
// of their loopback address and must be unique among the tests.
func startMixedGroup(ipSuffix int) *mixedGroup {
	m := &mixedGroup{startControlGroupWithEntries(ipSuffix, 0, 1)}
	for i := range m.hosts {
		m.awaitReady(i)
	}
	return m
}

func (m *mixedGroup) awaitReady(i int) {
	gomega.Eventually(func() int {
		return httpStatus(fmt.Sprintf("http://%s/ready", m.hosts[i].Listen.Operators))
	}, waitLimit, "20ms").Should(gomega.Equal(http.StatusOK), "host %d", i)
}

// statusOrZero returns a host's status, or a zero status if the host does not answer.
func (m *mixedGroup) statusOrZero(i int) controlStatus {
	s, err := m.status(i)
	if err != nil {
		return controlStatus{}
	}
	return s
}

// runSubcommand runs an operators' subcommand with the addresses of the given hosts.
func (m *mixedGroup) runSubcommand(hosts []int, subcommand string, rest ...string) *gexec.Session {
	var addresses []string
	for _, i := range hosts {
		addresses = append(addresses, string(m.hosts[i].Listen.Operators))
	}
	args := append([]string{subcommand, "--hosts", strings.Join(addresses, ",")}, rest...)
	session, err := gexec.Start(exec.Command(programPath, args...), ginkgo.GinkgoWriter, ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return session.Wait(waitLimit)
}

// changeTemplate sets a new timeout for urgent work through the given hosts.
func (m *mixedGroup) changeTemplate(hosts []int, replaces identifier.Version, timeout int64) *gexec.Session {
	template := deskCustomers().Templates[0]
	template.Ranks[0].TimeoutMillis = timeout
	file := m.writeYAML(fmt.Sprintf("change-%d-%d.yaml", replaces, timeout), loader.ChangeFile{Replaces: &replaces, Template: &template})
	return m.runSubcommand(hosts, "apply", file)
}

// awaitVersion waits until all hosts except the killed one have the version in force,
// and returns how long that took.
func (m *mixedGroup) awaitVersion(version identifier.Version, killed int) time.Duration {
	start := time.Now()
	for i := range m.hosts {
		if i == killed {
			continue
		}
		gomega.Eventually(func() identifier.Version { return m.statusOrZero(i).Version }, waitLimit, "1ms").
			Should(gomega.Equal(version), "host %d", i)
	}
	return time.Since(start)
}

// reportDurations adds the median and the maximum of the durations to the test report.
func reportDurations(name string, durations []time.Duration) {
	slices.Sort(durations)
	ginkgo.AddReportEntry(name, fmt.Sprintf("%d changes: median %s, worst %s",
		len(durations), durations[len(durations)/2], durations[len(durations)-1]), ginkgo.ReportEntryVisibilityAlways)
}

// noHost is passed to awaitVersion when no host is killed.
const noHost = -1

var _ = ginkgo.Describe("control hosts and an entry host", func() {
	ginkgo.It("put changes in force on every host, even if the leader is killed", func() {
		m := startMixedGroup(33)
		var withoutKill, acrossKill []time.Duration
		version := identifier.Version(1)
		for i := range 20 {
			change := m.changeTemplate([]int{i % len(m.hosts)}, version, int64(1000+i))
			gomega.Expect(change.ExitCode()).To(gomega.Equal(0))
			version++
			withoutKill = append(withoutKill, m.awaitVersion(version, noHost))
		}
		reportDurations("from the reply to in force on all hosts, without a kill", withoutKill)
		for i := range 3 {
			killed := m.awaitLeader()
			m.kill(killed)
			start := time.Now()
			change := m.changeTemplate([]int{entryOnlyHost}, version, int64(2000+i))
			gomega.Expect(change.ExitCode()).To(gomega.Equal(0))
			version++
			m.awaitVersion(version, killed)
			acrossKill = append(acrossKill, time.Since(start))
			m.restart(killed)
			m.awaitReady(killed)
			gomega.Expect(m.statusOrZero(killed).Version).To(gomega.BeNumerically(">=", version-1))
			m.awaitVersion(version, noHost)
		}
		reportDurations("from the request to in force across a kill of the leader", acrossKill)
	})

	ginkgo.It("accept one change of two racing operators, and return the first result for a resent change", func() {
		m := startMixedGroup(34)
		first := m.changeTemplate([]int{0}, 1, 3000)
		second := m.changeTemplate([]int{entryOnlyHost}, 1, 4000)
		gomega.Expect(first.ExitCode()).To(gomega.Equal(0))
		gomega.Expect(second.ExitCode()).To(gomega.Equal(3))
		gomega.Expect(string(second.Err.Contents())).To(gomega.ContainSubstring("is at version 2"))
		m.awaitVersion(2, noHost)
		m.kill(m.awaitLeader())
		resent := m.changeTemplate([]int{0, 1, 2, entryOnlyHost}, 1, 3000)
		gomega.Expect(resent.ExitCode()).To(gomega.Equal(0))
		gomega.Expect(string(resent.Out.Contents())).To(gomega.ContainSubstring("at version 2"))
		history := m.runSubcommand([]int{entryOnlyHost}, "history", "template", "t")
		gomega.Expect(strings.Count(string(history.Out.Contents()), "present")).To(gomega.Equal(2))
	})

	ginkgo.It("mark reads as stale without a quorum, and refuse requests that are not repeatable", func() {
		m := startMixedGroup(35)
		m.startFakeServers()
		awaitFullAnswer(m.hosts[0].Listen.Callers)
		m.kill(1)
		m.kill(2)
		gomega.Eventually(func() bool { return m.statusOrZero(0).Control.InTouch }, waitLimit, "20ms").Should(gomega.BeFalse())
		get := m.runSubcommand([]int{0}, "get", "template", "t")
		gomega.Expect(get.ExitCode()).To(gomega.Equal(0))
		gomega.Expect(string(get.Err.Contents())).To(gomega.ContainSubstring("stale: host h-1"))
		r, err := sendTransfer(m.hosts[0].Listen.Callers, "no-quorum", time.Now(), 5000)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Kind).To(gomega.Equal("ledger-unavailable"))
		gomega.Expect(r.Ran).To(gomega.Equal("no"))
		awaitFullAnswer(m.hosts[0].Listen.Callers)
	})

	ginkgo.It("run a share transfer at most once when it is resent while hosts are killed", func() {
		m := startMixedGroup(36)
		servers := m.startFakeServers()
		awaitFullAnswer(m.hosts[entryOnlyHost].Listen.Callers)
		random := rand.New(rand.NewPCG(1, 1))
		answered := 0
		for n := range 12 {
			before := runCounts(servers)
			answered += m.resendDuringKill(random, fmt.Sprintf("transfer-%d", n))
			for i, count := range runCounts(servers) {
				gomega.Expect(count-before[i]).To(gomega.BeNumerically("<=", 1), "transfer %d on %s", n, servers[i].Address())
			}
		}
		m.expectStoredAnswer(servers)
		ginkgo.AddReportEntry("transfers answered", fmt.Sprintf("%d of 12", answered), ginkgo.ReportEntryVisibilityAlways)
	})
})

// expectStoredAnswer sends transfers until one is answered. It then resends that one to
// every host and expects the same answer without a second run.
func (m *mixedGroup) expectStoredAnswer(servers []*faker.Server) {
	var key string
	var stored reply
	var before []int
	issued := time.Now()
	gomega.Eventually(func(g gomega.Gomega) {
		// Hosts that have just restarted may not know the servers' owners yet, so each try uses a new key.
		key = fmt.Sprintf("undisturbed-%d", time.Now().UnixNano())
		before = runCounts(servers)
		var err error
		stored, err = sendTransfer(m.hosts[0].Listen.Callers, key, issued, 20000)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		expectFullAnswer(g, stored, strconv.Quote(key))
	}, waitLimit, "20ms").Should(gomega.Succeed())
	for i := range m.hosts {
		gomega.Eventually(func(g gomega.Gomega) {
			r, err := sendTransfer(m.hosts[i].Listen.Callers, key, issued, 20000)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			r.Request = stored.Request
			g.Expect(r).To(gomega.Equal(stored))
		}, waitLimit, "20ms").Should(gomega.Succeed(), "host %d", i)
	}
	for i, count := range runCounts(servers) {
		gomega.Expect(count-before[i]).To(gomega.Equal(1), "runs on %s", servers[i].Address())
	}
}

// resendDuringKill sends one transfer to all hosts at once, kills a host meanwhile, and
// resends the transfer after the restart. It returns 1 if any host answered, else 0.
func (m *mixedGroup) resendDuringKill(random *rand.Rand, key string) int {
	issued := time.Now()
	victim := random.IntN(len(m.hosts))
	replies := make(chan reply, len(m.hosts))
	for i := range m.hosts {
		go func() {
			r, err := sendTransfer(m.hosts[i].Listen.Callers, key, issued, 3000)
			if err != nil {
				r = reply{}
			}
			replies <- r
		}()
	}
	time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	m.kill(victim)
	answered := 0
	for range m.hosts {
		if r := <-replies; r.status == http.StatusOK {
			answered = 1
		}
	}
	m.restart(victim)
	m.awaitReady(victim)
	for range 2 {
		r, err := sendTransfer(m.hosts[random.IntN(len(m.hosts))].Listen.Callers, key, issued, 3000)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if r.status == http.StatusOK {
			answered = 1
		}
	}
	return answered
}

// sendTransfer sends a request that is not repeatable.
func sendTransfer(address identifier.Address, key string, issued time.Time, timeoutMillis int) (reply, error) {
	body := fmt.Sprintf(`{"work":"lookup","timeout-ms":%d,"repeatable":false,"issued-at":%q,"body":%q}`,
		timeoutMillis, issued.Format(time.RFC3339Nano), key)
	url := fmt.Sprintf("http://%s/v1/customers/desk/queries", address)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode}
	return r, json.NewDecoder(response.Body).Decode(&r)
}

// startFakeServers runs one backend server of each service in this process.
func (m *mixedGroup) startFakeServers() []*faker.Server {
	var servers []*faker.Server
	var announce []identifier.Address
	for _, h := range m.hosts {
		announce = append(announce, h.Listen.BackendServers)
	}
	for i, shard := range configurer.EvenPartition(1, services).Shards {
		s, err := faker.New(faker.Parameters{
			Server: identifier.ServerID(shard.Service + "-1"), Incarnation: 1, Service: shard.Service,
			Domain: m.hosts[i%len(m.hosts)].Domain, Listen: m.address(7300 + i),
			Announce: slices.Concat(announce[i%len(announce):], announce[:i%len(announce)]),
			Slots:    3, Connections: 30, Queue: 3, ServiceTime: 5 * time.Millisecond,
			Holdings: []leaser.Holding{{Epoch: 1, Range: shard.Range, Versions: []identifier.IndexVersion{1}}},
			Seed:     uint64(i),
		}, hclog.NewNullLogger())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(s.Close)
		servers = append(servers, s)
	}
	return servers
}

// runCounts returns how many attempts acquired a slot on each server.
func runCounts(servers []*faker.Server) []int {
	var counts []int
	for _, s := range servers {
		counts = append(counts, s.Tally().Runs)
	}
	return counts
}
