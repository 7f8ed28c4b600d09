package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"go.yaml.in/yaml/v3"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// waitLimit limits each wait for a process. It far exceeds the normal duration.
const waitLimit = 30 * time.Second

// deployment is entry hosts and fake backend servers, each in its own process.
// Each test uses its own loopback address and ports below the ephemeral port range, so
// that tests do not collide.
type deployment struct {
	ip       string
	folder   string
	hosts    []loader.Settings
	sessions []*gexec.Session
}

func newDeployment(number int) *deployment {
	pid := os.Getpid()
	return &deployment{
		ip:     fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, number),
		folder: ginkgo.GinkgoT().TempDir(),
	}
}

func (d *deployment) address(port int) identifier.Address {
	return identifier.Address(fmt.Sprintf("%s:%d", d.ip, port))
}

func (d *deployment) writeYAML(name string, value any) string {
	data, err := yaml.Marshal(value)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(d.folder, name)
	gomega.Expect(os.WriteFile(file, data, 0o600)).To(gomega.Succeed())
	return file
}

func (d *deployment) startProcess(name string, arguments ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(name, arguments...), ginkgo.GinkgoWriter, ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { session.Kill().Wait(waitLimit) })
	d.sessions = append(d.sessions, session)
	return session
}

// hostSettings returns the settings of entry hosts, each in its own failure domain.
func (d *deployment) hostSettings(count int) []loader.Settings {
	var hosts []loader.Settings
	for i := range count {
		hosts = append(hosts, loader.Settings{
			Host:   identifier.HostID(fmt.Sprintf("h-%d", i+1)),
			Domain: identifier.DomainID(fmt.Sprintf("fd-%d", i+1)),
			Listen: loader.Listen{
				Callers:        d.address(7101 + 10*i),
				BackendServers: d.address(7102 + 10*i),
				Operators:      d.address(7103 + 10*i),
				Peers:          d.address(7104 + 10*i),
			},
			Customers: "customers.yaml",
			Shutdown:  loader.Shutdown{BalancerDelayMillis: 500},
		})
	}
	for i := range hosts {
		for j, peer := range hosts {
			if i != j {
				hosts[i].Peers = append(hosts[i].Peers, loader.Peer{Host: peer.Host, Domain: peer.Domain, Address: peer.Listen.Peers})
			}
		}
	}
	return hosts
}

var services = []identifier.ServiceID{"desk-1", "desk-2", "desk-3", "desk-4"}

func deskCustomers() loader.CustomersFile {
	return loader.CustomersFile{
		Version: 1,
		Templates: []configurer.Template{{
			ID:    "t",
			Works: []configurer.Work{{Kind: "lookup", Rank: "urgent"}},
			Ranks: []configurer.RankParameters{
				{Rank: "urgent", TimeoutMillis: 20000, MinCoverage: 1},
				{Rank: "standard", TimeoutMillis: 20000, MinCoverage: 1},
				{Rank: "deferrable", TimeoutMillis: 20000, MinCoverage: 1},
			},
		}},
		Customers: []configurer.Customer{{
			ID: "desk", Template: "t", Partition: configurer.EvenPartition(1, services),
		}},
	}
}

// fakeServers returns the settings of one server of each service, which announce to the
// given hosts in order of preference.
func (d *deployment) fakeServers(index int, announce ...identifier.Address) loader.FakeServers {
	f := loader.FakeServers{Announce: announce}
	for i, shard := range configurer.EvenPartition(1, services).Shards {
		f.Servers = append(f.Servers, loader.FakeServer{
			Server:                identifier.ServerID(fmt.Sprintf("%s-%d", shard.Service, index)),
			Incarnation:           1,
			Service:               shard.Service,
			Domain:                identifier.DomainID(fmt.Sprintf("fd-%d", index)),
			Listen:                d.address(7200 + 10*index + i),
			Slots:                 3,
			Connections:           30,
			Queue:                 3,
			ServiceMillis:         5,
			ConnectionSetupMillis: 6,
			Epoch:                 1,
			Range:                 shard.Range,
			Versions:              []identifier.IndexVersion{1},
			Seed:                  uint64(10*index + i),
		})
	}
	return f
}

// startDesk starts two entry hosts and two processes of fake backend servers for the
// customer "desk".
func (d *deployment) startDesk() []*gexec.Session {
	d.writeYAML("customers.yaml", deskCustomers())
	d.hosts = d.hostSettings(2)
	var sessions []*gexec.Session
	for _, h := range d.hosts {
		file := d.writeYAML(string(h.Host)+".yaml", h)
		sessions = append(sessions, d.startProcess(programPath, "serve", "--settings", file))
	}
	first, second := d.hosts[0].Listen.BackendServers, d.hosts[1].Listen.BackendServers
	d.startProcess(fakeBackendPath, "--settings", d.writeYAML("fakes-1.yaml", d.fakeServers(1, first, second)))
	d.startProcess(fakeBackendPath, "--settings", d.writeYAML("fakes-2.yaml", d.fakeServers(2, second, first)))
	return sessions
}

// reply holds the fields of an answer or a failure that the tests check.
type reply struct {
	status   int
	Request  identifier.RequestID `json:"request-id"`
	Kind     string               `json:"kind"`
	Ran      string               `json:"ran"`
	Coverage identifier.Ratio     `json:"coverage"`
	Snapshot identifier.Snapshot  `json:"snapshot"`
	Parts    []struct {
		Service identifier.ServiceID `json:"service"`
		Body    struct {
			Echo json.RawMessage `json:"echo"`
		} `json:"body"`
	} `json:"parts"`
}

func sendQuery(address identifier.Address, customer, body string) (reply, error) {
	url := fmt.Sprintf("http://%s/v1/customers/%s/queries", address, customer)
	response, err := http.Post(url, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode}
	return r, json.NewDecoder(response.Body).Decode(&r)
}

const lookupBody = `{"work":"lookup","timeout-ms":20000}`

func httpStatus(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// expectFullAnswer fails unless the reply is a full answer with one part of each service,
// each of which echoes the token.
func expectFullAnswer(g gomega.Gomega, r reply, token string) {
	g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%+v", r)
	g.Expect(r.Coverage).To(gomega.Equal(identifier.Ratio(1)))
	g.Expect(r.Parts).To(gomega.HaveLen(len(services)))
	for _, p := range r.Parts {
		g.Expect(string(p.Body.Echo)).To(gomega.Equal(token))
	}
}

// queryInFull sends a query with the token to a host and fails unless the answer is full.
func queryInFull(address identifier.Address, token string) {
	body := strings.Replace(lookupBody, "}", `,"body":`+token+"}", 1)
	r, err := sendQuery(address, "desk", body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	expectFullAnswer(gomega.Default, r, token)
}

// awaitFullAnswer waits until a host answers a query in full.
func awaitFullAnswer(address identifier.Address) {
	gomega.Eventually(func(g gomega.Gomega) {
		r, err := sendQuery(address, "desk", lookupBody)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		expectFullAnswer(g, r, "")
	}, waitLimit, "50ms").Should(gomega.Succeed())
}
