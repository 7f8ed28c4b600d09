package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// controlGroup is three control hosts, each in its own process. It may have spare
// hosts, which are not members at first, and entry hosts without a data folder.
type controlGroup struct {
	*deployment
	settingsFiles []string
	hostSessions  []*gexec.Session
	// version is the version of the template's last accepted change, 0 before the first.
	version     identifier.Version
	changeCount int
	attempts    int
}

// controlHostCount is the number of members at the start.
const controlHostCount = 3

func startControlGroup(number, spare int) *controlGroup {
	return startControlGroupWithEntries(number, spare, 0)
}

// startControlGroupWithEntries also starts entry hosts without a data folder.
func startControlGroupWithEntries(number, spare, entryOnly int) *controlGroup {
	g := prepareControlGroup(number, spare, entryOnly)
	g.startHosts()
	return g
}

// prepareControlGroup makes the settings of a group without starting it.
func prepareControlGroup(number, spare, entryOnly int) *controlGroup {
	g := &controlGroup{deployment: newDeployment(number)}
	g.writeYAML("customers.yaml", deskCustomers())
	g.hosts = g.hostSettings(controlHostCount + spare + entryOnly)
	for i := range g.hosts {
		configured := controlHostCount
		if i < controlHostCount+spare {
			configured = max(configured, i+1)
			g.hosts[i].Control.DataFolder = "data-" + string(g.hosts[i].Host)
		}
		for _, h := range g.hosts[:configured] {
			g.hosts[i].Control.Hosts = append(g.hosts[i].Control.Hosts, h.Host)
		}
	}
	return g
}

func (g *controlGroup) startHosts() {
	for i := range g.hosts {
		g.settingsFiles = append(g.settingsFiles, g.writeYAML(string(g.hosts[i].Host)+".yaml", g.hosts[i]))
		g.hostSessions = append(g.hostSessions, g.startProcess(programPath, "serve", "--settings", g.settingsFiles[i]))
	}
}

func (g *controlGroup) kill(i int) {
	g.hostSessions[i].Kill().Wait(waitLimit)
}

func (g *controlGroup) restart(i int) {
	g.hostSessions[i] = g.startProcess(programPath, "serve", "--settings", g.settingsFiles[i])
}

func (g *controlGroup) restartWithEmptyDisk(i int) {
	g.kill(i)
	gomega.Expect(os.RemoveAll(g.folder + "/" + g.hosts[i].Control.DataFolder)).To(gomega.Succeed())
	g.restart(i)
}

// controlStatus is the part of a host's status about the replicated log.
type controlStatus struct {
	Version identifier.Version `json:"configuration-version"`
	Control struct {
		Leader  identifier.HostID `json:"leader"`
		InTouch bool              `json:"in-touch"`
	} `json:"control"`
	Members []struct {
		Host    identifier.HostID    `json:"host"`
		Replica identifier.ReplicaID `json:"replica"`
		Voter   bool                 `json:"voter"`
	} `json:"control-members"`
}

// httpClient has a short timeout, so that a frozen process does not delay a test.
var httpClient = http.Client{Timeout: 2 * time.Second}

func (g *controlGroup) status(i int) (controlStatus, error) {
	var s controlStatus
	response, err := httpClient.Get(fmt.Sprintf("http://%s/v1/status", g.hosts[i].Listen.Operators))
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// awaitLeader waits until a host other than the excepted one reports that it leads, and
// returns its index.
func (g *controlGroup) awaitLeader(except ...int) int {
	found := -1
	gomega.Eventually(func() int {
		for i := range g.hosts {
			if len(except) > 0 && except[0] == i {
				continue
			}
			if s, err := g.status(i); err == nil && s.Control.InTouch && s.Control.Leader == g.hosts[i].Host {
				found = i
			}
		}
		return found
	}, waitLimit, "20ms").Should(gomega.BeNumerically(">=", 0))
	return found
}

// tryChange sends a change to one host and reports whether it was accepted.
func (g *controlGroup) tryChange(i int, id string) bool {
	template := deskCustomers().Templates[0]
	template.ID = "other"
	body, err := json.Marshal(map[string]any{"change-id": id, "replaces": g.version, "template": template})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	url := fmt.Sprintf("http://%s/v1/templates/other", g.hosts[i].Listen.Operators)
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := httpClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	gomega.Expect(response.StatusCode).To(gomega.BeElementOf(http.StatusOK, http.StatusGatewayTimeout))
	if response.StatusCode != http.StatusOK {
		return false
	}
	var accepted struct {
		Version identifier.Version `json:"version"`
	}
	gomega.Expect(json.NewDecoder(response.Body).Decode(&accepted)).To(gomega.Succeed())
	if g.version > 0 {
		gomega.Expect(accepted.Version).To(gomega.Equal(g.version+1), "a change was lost or applied twice")
	}
	g.version = accepted.Version
	return true
}

// applyChanges makes changes one after another. It sends each to the hosts in turn,
// except the given ones, until it is accepted.
func (g *controlGroup) applyChanges(count int, except ...int) {
	for range count {
		g.changeCount++
		id := fmt.Sprintf("change-%d", g.changeCount)
		gomega.Eventually(func() bool {
			g.attempts++
			i := g.attempts % len(g.hosts)
			return !slices.Contains(except, i) && g.tryChange(i, id)
		}, waitLimit, "5ms").Should(gomega.BeTrue())
	}
}

// awaitInForce waits until the last accepted change is in force on all hosts.
func (g *controlGroup) awaitInForce() {
	for i := range g.hosts {
		gomega.Eventually(func() (identifier.Version, error) {
			s, err := g.status(i)
			return s.Version, err
		}, waitLimit, "20ms").Should(gomega.Equal(g.version), "host %s", g.hosts[i].Host)
	}
}

// awaitRepaired waits until all three members are voters and none of them is the replica
// that the host lost with its disk.
func (g *controlGroup) awaitRepaired(i int, lost identifier.ReplicaID) {
	gomega.Eventually(func(m gomega.Gomega) {
		s, err := g.status(g.awaitLeader())
		m.Expect(err).NotTo(gomega.HaveOccurred())
		m.Expect(s.Members).To(gomega.HaveLen(3))
		for _, member := range s.Members {
			m.Expect(member.Voter).To(gomega.BeTrue())
			m.Expect(member.Replica).NotTo(gomega.Equal(lost))
		}
	}, waitLimit, "20ms").Should(gomega.Succeed(), "host %s", g.hosts[i].Host)
}

func (g *controlGroup) replicaID(i int) identifier.ReplicaID {
	s, err := g.status(g.awaitLeader())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, member := range s.Members {
		if member.Host == g.hosts[i].Host {
			return member.Replica
		}
	}
	return 0
}

var _ = ginkgo.Describe("control hosts", func() {
	ginkgo.It("lose no accepted change when the leader is killed repeatedly", func() {
		g := startControlGroup(21, 0)
		g.applyChanges(10)
		for range 3 {
			killed := g.awaitLeader()
			g.kill(killed)
			g.applyChanges(10)
			g.restart(killed)
			g.applyChanges(5)
		}
		g.awaitInForce()
	})

	ginkgo.It("lose no accepted change when all are killed at once", func() {
		g := startControlGroup(26, 0)
		g.applyChanges(20)
		for i := range g.hosts {
			g.kill(i)
		}
		for i := range g.hosts {
			g.restart(i)
		}
		g.applyChanges(5)
		g.awaitInForce()
	})

	ginkgo.It("survive a second kill right after a disk was replaced", func() {
		g := startControlGroup(22, 0)
		g.applyChanges(20)
		leading := g.awaitLeader()
		wiped := (leading + 1) % 3
		lost := g.replicaID(wiped)
		g.restartWithEmptyDisk(wiped)
		g.awaitRepaired(wiped, lost)
		g.kill(leading)
		g.applyChanges(10)
		g.restart(leading)
		g.awaitInForce()
	})

	ginkgo.It("return no outdated read from a leader that was frozen", func() {
		g := startControlGroup(23, 0)
		g.applyChanges(5)
		frozen := g.awaitLeader()
		g.hostSessions[frozen].Signal(syscall.SIGSTOP)
		g.awaitLeader(frozen)
		g.applyChanges(5)
		g.hostSessions[frozen].Signal(syscall.SIGCONT)
		g.expectNoOutdatedRead(frozen)
		g.applyChanges(5)
		g.awaitInForce()
	})

	ginkgo.It("are replaced one at a time by the operator's command", func() {
		g := startControlGroup(25, 1)
		g.applyChanges(5)
		run := func(arguments ...string) *gexec.Session {
			hosts := fmt.Sprintf("%s,%s", g.hosts[1].Listen.Operators, g.hosts[3].Listen.Operators)
			session := g.startProcess(programPath, append([]string{"control-member", "--hosts", hosts}, arguments...)...)
			gomega.Eventually(session, waitLimit).Should(gexec.Exit())
			return session
		}
		refused := run("add", "nobody")
		gomega.Expect(refused.ExitCode()).To(gomega.Equal(3))
		gomega.Expect(string(refused.Err.Contents())).To(gomega.ContainSubstring("has not asked to join"))
		replaced := run("replace", "h-3", "h-4")
		gomega.Expect(replaced.ExitCode()).To(gomega.Equal(0), string(replaced.Err.Contents()))
		gomega.Expect(string(replaced.Out.Contents())).To(gomega.MatchRegexp(`(?s)^h-1\tvoter.*h-2\tvoter.*h-4\tvoter.*`))
		again := run("replace", "h-3", "h-4")
		gomega.Expect(again.ExitCode()).To(gomega.Equal(0), string(again.Err.Contents()))
		g.kill(0)
		g.applyChanges(5)
	})

	ginkgo.It("stop when their data folder is damaged, and report the file and offset", func() {
		g := startControlGroup(24, 0)
		g.applyChanges(3)
		g.kill(0)
		segment := g.folder + "/" + g.hosts[0].Control.DataFolder + "/segment-0000000000000001"
		data, err := os.ReadFile(segment)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		data[20] ^= 1
		gomega.Expect(os.WriteFile(segment, data, 0o600)).To(gomega.Succeed())
		g.restart(0)
		gomega.Eventually(g.hostSessions[0], waitLimit).Should(gexec.Exit(1))
		gomega.Expect(string(g.hostSessions[0].Err.Contents())).To(gomega.ContainSubstring("segment-0000000000000001 is corrupt at offset 0"))
		g.applyChanges(3)
	})
})
