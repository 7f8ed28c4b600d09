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

// group is control hosts in processes of their own: three, and one to spare
// that is no member at first, and perhaps entry hosts without a disk.
type group struct {
	*deployment
	files   []string
	running []*gexec.Session
	// version is that of the last accepted change of the template, 0 before the first.
	version identifier.Version
	changes int
	turn    int
}

// controlCount is how many members a group begins with.
const controlCount = 3

func newGroup(number, spare int) *group {
	return newMixedGroup(number, spare, 0)
}

// newMixedGroup adds so many entry hosts without a disk.
func newMixedGroup(number, spare, plain int) *group {
	g := prepareGroup(number, spare, plain)
	g.startAll()
	return g
}

// prepareGroup makes a group's settings and starts nothing.
func prepareGroup(number, spare, plain int) *group {
	g := &group{deployment: newDeployment(number)}
	g.write("customers.yaml", deskCustomers())
	g.hosts = g.settings(controlCount + spare + plain)
	for i := range g.hosts {
		known := controlCount
		if i < controlCount+spare {
			known = max(known, i+1)
			g.hosts[i].Control.DataFolder = "data-" + string(g.hosts[i].Host)
		}
		for _, h := range g.hosts[:known] {
			g.hosts[i].Control.Hosts = append(g.hosts[i].Control.Hosts, h.Host)
		}
	}
	return g
}

func (g *group) startAll() {
	for i := range g.hosts {
		g.files = append(g.files, g.write(string(g.hosts[i].Host)+".yaml", g.hosts[i]))
		g.running = append(g.running, g.start(program, "serve", "--settings", g.files[i]))
	}
}

func (g *group) kill(i int) {
	g.running[i].Kill().Wait(patience)
}

func (g *group) restart(i int) {
	g.running[i] = g.start(program, "serve", "--settings", g.files[i])
}

func (g *group) replaceDisk(i int) {
	g.kill(i)
	gomega.Expect(os.RemoveAll(g.folder + "/" + g.hosts[i].Control.DataFolder)).To(gomega.Succeed())
	g.restart(i)
}

// controlStatus is what a host says about the replicated log.
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

// client gives up soon, so that a frozen process delays nobody.
var client = http.Client{Timeout: 2 * time.Second}

func (g *group) status(i int) (controlStatus, error) {
	var s controlStatus
	response, err := client.Get(fmt.Sprintf("http://%s/v1/status", g.hosts[i].Listen.Operators))
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// leader waits until one of the hosts says that it leads, and returns its index.
func (g *group) leader(but ...int) int {
	found := -1
	gomega.Eventually(func() int {
		for i := range g.hosts {
			if len(but) > 0 && but[0] == i {
				continue
			}
			if s, err := g.status(i); err == nil && s.Control.InTouch && s.Control.Leader == g.hosts[i].Host {
				found = i
			}
		}
		return found
	}, patience, "20ms").Should(gomega.BeNumerically(">=", 0))
	return found
}

// tryChange sends a change to one host; it reports whether the change was accepted.
func (g *group) tryChange(i int, id string) bool {
	template := deskCustomers().Templates[0]
	template.ID = "other"
	body, err := json.Marshal(map[string]any{"change-id": id, "replaces": g.version, "template": template})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	url := fmt.Sprintf("http://%s/v1/templates/other", g.hosts[i].Listen.Operators)
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := client.Do(request)
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
		gomega.Expect(accepted.Version).To(gomega.Equal(g.version+1), "a change is lost or doubled")
	}
	g.version = accepted.Version
	return true
}

// change makes so many changes, one after another; each is sent to one host
// after the other, but for the given ones, until it is accepted.
func (g *group) change(count int, but ...int) {
	for range count {
		g.changes++
		id := fmt.Sprintf("change-%d", g.changes)
		gomega.Eventually(func() bool {
			g.turn++
			i := g.turn % len(g.hosts)
			return !slices.Contains(but, i) && g.tryChange(i, id)
		}, patience, "5ms").Should(gomega.BeTrue())
	}
}

// inForce waits until the last accepted change is in force on all hosts.
func (g *group) inForce() {
	for i := range g.hosts {
		gomega.Eventually(func() (identifier.Version, error) {
			s, err := g.status(i)
			return s.Version, err
		}, patience, "20ms").Should(gomega.Equal(g.version), "host %s", g.hosts[i].Host)
	}
}

// repaired waits until the host's disk, and only voters, are members.
func (g *group) repaired(i int, before identifier.ReplicaID) {
	gomega.Eventually(func(m gomega.Gomega) {
		s, err := g.status(g.leader())
		m.Expect(err).NotTo(gomega.HaveOccurred())
		m.Expect(s.Members).To(gomega.HaveLen(3))
		for _, x := range s.Members {
			m.Expect(x.Voter).To(gomega.BeTrue())
			m.Expect(x.Replica).NotTo(gomega.Equal(before))
		}
	}, patience, "20ms").Should(gomega.Succeed(), "host %s", g.hosts[i].Host)
}

func (g *group) replica(i int) identifier.ReplicaID {
	s, err := g.status(g.leader())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, x := range s.Members {
		if x.Host == g.hosts[i].Host {
			return x.Replica
		}
	}
	return 0
}

var _ = ginkgo.Describe("control hosts", func() {
	ginkgo.It("lose no accepted change when the leader is killed, again and again", func() {
		g := newGroup(21, 0)
		g.change(10)
		for range 3 {
			killed := g.leader()
			g.kill(killed)
			g.change(10)
			g.restart(killed)
			g.change(5)
		}
		g.inForce()
	})

	ginkgo.It("lose no accepted change when all are killed at once", func() {
		g := newGroup(26, 0)
		g.change(20)
		for i := range g.hosts {
			g.kill(i)
		}
		for i := range g.hosts {
			g.restart(i)
		}
		g.change(5)
		g.inForce()
	})

	ginkgo.It("survive a second kill right after a disk was replaced", func() {
		g := newGroup(22, 0)
		g.change(20)
		leading := g.leader()
		wiped := (leading + 1) % 3
		before := g.replica(wiped)
		g.replaceDisk(wiped)
		g.repaired(wiped, before)
		g.kill(leading)
		g.change(10)
		g.restart(leading)
		g.inForce()
	})

	ginkgo.It("are not misled by a leader that was frozen", func() {
		g := newGroup(23, 0)
		g.change(5)
		frozen := g.leader()
		g.running[frozen].Signal(syscall.SIGSTOP)
		g.leader(frozen)
		g.change(5)
		g.running[frozen].Signal(syscall.SIGCONT)
		g.honest(frozen)
		g.change(5)
		g.inForce()
	})

	ginkgo.It("are replaced one by one by the operator's command", func() {
		g := newGroup(25, 1)
		g.change(5)
		run := func(arguments ...string) *gexec.Session {
			hosts := fmt.Sprintf("%s,%s", g.hosts[1].Listen.Operators, g.hosts[3].Listen.Operators)
			session := g.start(program, append([]string{"control-member", "--hosts", hosts}, arguments...)...)
			gomega.Eventually(session, patience).Should(gexec.Exit())
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
		g.change(5)
	})

	ginkgo.It("stop when their data folder is damaged, and name the place", func() {
		g := newGroup(24, 0)
		g.change(3)
		g.kill(0)
		segment := g.folder + "/" + g.hosts[0].Control.DataFolder + "/segment-0000000000000001"
		data, err := os.ReadFile(segment)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		data[20] ^= 1
		gomega.Expect(os.WriteFile(segment, data, 0o600)).To(gomega.Succeed())
		g.restart(0)
		gomega.Eventually(g.running[0], patience).Should(gexec.Exit(1))
		gomega.Expect(string(g.running[0].Err.Contents())).To(gomega.ContainSubstring("segment-0000000000000001 is corrupt at offset 0"))
		g.change(3)
	})
})
