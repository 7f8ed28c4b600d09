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

// plainHost is the index of the entry host without a disk.
const plainHost = controlCount

// mixed is three control hosts and one entry host without a disk.
type mixed struct{ *group }

func newMixed(number int) *mixed {
	m := &mixed{newMixedGroup(number, 0, 1)}
	for i := range m.hosts {
		m.awaitReady(i)
	}
	return m
}

func (m *mixed) awaitReady(i int) {
	gomega.Eventually(func() int {
		return statusOf(fmt.Sprintf("http://%s/ready", m.hosts[i].Listen.Operators))
	}, patience, "20ms").Should(gomega.Equal(http.StatusOK), "host %d", i)
}

// inForceOn returns a host's status, which is empty while the host is down.
func (m *mixed) inForceOn(i int) controlStatus {
	s, err := m.status(i)
	if err != nil {
		return controlStatus{}
	}
	return s
}

// operate runs an operators' subcommand through the given hosts.
func (m *mixed) operate(hosts []int, subcommand string, arguments ...string) *gexec.Session {
	var addresses []string
	for _, i := range hosts {
		addresses = append(addresses, string(m.hosts[i].Listen.Operators))
	}
	words := append([]string{subcommand, "--hosts", strings.Join(addresses, ",")}, arguments...)
	session, err := gexec.Start(exec.Command(program, words...), ginkgo.GinkgoWriter, ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return session.Wait(patience)
}

// changeTemplate applies a new timeout for urgent work through the hosts.
func (m *mixed) changeTemplate(hosts []int, replaces identifier.Version, timeout int64) *gexec.Session {
	template := deskCustomers().Templates[0]
	template.Ranks[0].TimeoutMillis = timeout
	file := m.write(fmt.Sprintf("change-%d-%d.yaml", replaces, timeout), loader.ChangeFile{Replaces: &replaces, Template: &template})
	return m.operate(hosts, "apply", file)
}

// awaitVersion waits until all hosts but the dead one have the version in force
// and returns how long that took.
func (m *mixed) awaitVersion(version identifier.Version, dead int) time.Duration {
	start := time.Now()
	for i := range m.hosts {
		if i == dead {
			continue
		}
		gomega.Eventually(func() identifier.Version { return m.inForceOn(i).Version }, patience, "1ms").
			Should(gomega.Equal(version), "host %d", i)
	}
	return time.Since(start)
}

// report prints the median and the worst of some spans.
func report(name string, spans []time.Duration) {
	slices.Sort(spans)
	ginkgo.AddReportEntry(name, fmt.Sprintf("%d changes: median %s, worst %s",
		len(spans), spans[len(spans)/2], spans[len(spans)-1]), ginkgo.ReportEntryVisibilityAlways)
}

const nobody = -1

var _ = ginkgo.Describe("control hosts and an entry host", func() {
	ginkgo.It("put changes in force on every host, also across the kill of their leader", func() {
		m := newMixed(33)
		var atRest, acrossKill []time.Duration
		version := identifier.Version(1)
		for i := range 20 {
			change := m.changeTemplate([]int{i % len(m.hosts)}, version, int64(1000+i))
			gomega.Expect(change.ExitCode()).To(gomega.Equal(0))
			version++
			atRest = append(atRest, m.awaitVersion(version, nobody))
		}
		report("in force at rest", atRest)
		for i := range 3 {
			dead := m.leader()
			m.kill(dead)
			start := time.Now()
			change := m.changeTemplate([]int{plainHost}, version, int64(2000+i))
			gomega.Expect(change.ExitCode()).To(gomega.Equal(0))
			version++
			m.awaitVersion(version, dead)
			acrossKill = append(acrossKill, time.Since(start))
			m.restart(dead)
			m.awaitReady(dead)
			gomega.Expect(m.inForceOn(dead).Version).To(gomega.BeNumerically(">=", version-1))
			m.awaitVersion(version, nobody)
		}
		report("from the request to in force across a kill of the leader", acrossKill)
	})

	ginkgo.It("let one of two racing operators win, and give a resend its first result", func() {
		m := newMixed(34)
		first := m.changeTemplate([]int{0}, 1, 3000)
		second := m.changeTemplate([]int{plainHost}, 1, 4000)
		gomega.Expect(first.ExitCode()).To(gomega.Equal(0))
		gomega.Expect(second.ExitCode()).To(gomega.Equal(3))
		gomega.Expect(string(second.Err.Contents())).To(gomega.ContainSubstring("is at version 2"))
		m.awaitVersion(2, nobody)
		m.kill(m.leader())
		resent := m.changeTemplate([]int{0, 1, 2, plainHost}, 1, 3000)
		gomega.Expect(resent.ExitCode()).To(gomega.Equal(0))
		gomega.Expect(string(resent.Out.Contents())).To(gomega.ContainSubstring("at version 2"))
		history := m.operate([]int{plainHost}, "history", "template", "t")
		gomega.Expect(strings.Count(string(history.Out.Contents()), "present")).To(gomega.Equal(2))
	})

	ginkgo.It("say so when they have no quorum, and refuse what isn't repeatable", func() {
		m := newMixed(35)
		m.startFakes()
		awaitFull(m.hosts[0].Listen.Callers)
		m.kill(1)
		m.kill(2)
		gomega.Eventually(func() bool { return m.inForceOn(0).Control.InTouch }, patience, "20ms").Should(gomega.BeFalse())
		get := m.operate([]int{0}, "get", "template", "t")
		gomega.Expect(get.ExitCode()).To(gomega.Equal(0))
		gomega.Expect(string(get.Err.Contents())).To(gomega.ContainSubstring("stale: host h-1"))
		r, err := transfer(m.hosts[0].Listen.Callers, "no-quorum", time.Now(), 5000)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Kind).To(gomega.Equal("ledger-unavailable"))
		gomega.Expect(r.Ran).To(gomega.Equal("no"))
		awaitFull(m.hosts[0].Listen.Callers)
	})

	ginkgo.It("run a share transfer at most once however it is resent during kills", func() {
		m := newMixed(36)
		servers := m.startFakes()
		awaitFull(m.hosts[plainHost].Listen.Callers)
		random := rand.New(rand.NewPCG(1, 1))
		answers := 0
		for n := range 12 {
			before := runs(servers)
			answers += m.resendDuringKills(random, fmt.Sprintf("transfer-%d", n))
			for i, count := range runs(servers) {
				gomega.Expect(count-before[i]).To(gomega.BeNumerically("<=", 1), "transfer %d on %s", n, servers[i].Address())
			}
		}
		m.repeatStored(servers)
		ginkgo.AddReportEntry("transfers answered", fmt.Sprintf("%d of 12", answers), ginkgo.ReportEntryVisibilityAlways)
	})
})

// repeatStored sends transfers until one is answered, and expects the same
// answer, without a second run, from every host.
func (m *mixed) repeatStored(servers []*faker.Server) {
	var key string
	var stored reply
	var before []int
	issued := time.Now()
	gomega.Eventually(func(g gomega.Gomega) {
		// Hosts that have just come back may still lack owners, so each try is a transfer of its own.
		key = fmt.Sprintf("undisturbed-%d", time.Now().UnixNano())
		before = runs(servers)
		var err error
		stored, err = transfer(m.hosts[0].Listen.Callers, key, issued, 20000)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		whole(g, stored, strconv.Quote(key))
	}, patience, "20ms").Should(gomega.Succeed())
	for i := range m.hosts {
		gomega.Eventually(func(g gomega.Gomega) {
			r, err := transfer(m.hosts[i].Listen.Callers, key, issued, 20000)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			r.Request = stored.Request
			g.Expect(r).To(gomega.Equal(stored))
		}, patience, "20ms").Should(gomega.Succeed(), "host %d", i)
	}
	for i, count := range runs(servers) {
		gomega.Expect(count-before[i]).To(gomega.Equal(1), "runs on %s", servers[i].Address())
	}
}

// resendDuringKills sends one transfer to several hosts in turn and at once, and
// kills a host in between. It returns 1 if an answer came, else 0.
func (m *mixed) resendDuringKills(random *rand.Rand, key string) int {
	issued := time.Now()
	victim := random.IntN(len(m.hosts))
	replies := make(chan reply, len(m.hosts))
	for i := range m.hosts {
		go func() {
			r, err := transfer(m.hosts[i].Listen.Callers, key, issued, 3000)
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
		r, err := transfer(m.hosts[random.IntN(len(m.hosts))].Listen.Callers, key, issued, 3000)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if r.status == http.StatusOK {
			answered = 1
		}
	}
	return answered
}

// transfer sends a request that isn't repeatable.
func transfer(address identifier.Address, key string, issued time.Time, timeoutMillis int) (reply, error) {
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

// startFakes runs one backend server of each service in this process.
func (m *mixed) startFakes() []*faker.Server {
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

// runs returns how many attempts got a slot on each server.
func runs(servers []*faker.Server) []int {
	var counts []int
	for _, s := range servers {
		counts = append(counts, s.Tally().Runs)
	}
	return counts
}
