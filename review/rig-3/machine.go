//go:build review

// Package rig starts the programs of the deploy file as separate processes on loopback addresses, and stands in for the
// clients, the backend servers and the operator of a small deployment.
//
// # Usage
//
//	d, err := rig.New(rig.Parameters{Binary: "target/lagooncleat", Templates: "deploy", Zones: []string{"a", "b"}})
//	defer d.Close()
//	core := d.AddControl("a")
//	err = core.Start()
package rig

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine; every machine has a loopback address of its own.
const (
	peerPort     = 7740
	operatorPort = 7741
	// innerPort is where a machine listens for other hosts if a link passes their connections on.
	innerPort   = 7742
	frontPort   = 8226
	readyPort   = 8227
	controlPort = 8224
	metricsPort = 9464
)

// maxSeeds is how many machines of the core the settings name.
const maxSeeds = 3

// Parameters describes a deployment.
type Parameters struct {
	// Binary is the program that the deploy file builds, and Templates the folder with its settings templates.
	Binary, Templates string
	Zones             []string
	// HeartbeatMillis is the interval of the servers' heartbeats.
	HeartbeatMillis int
	// Demands adds the bounds of quotas, keys, evacuations and cold servers, with the values of tagpuan-lc-grown.
	Demands bool
}

// Deployment is a set of machines and stand-ins.
type Deployment struct {
	parameters Parameters
	folder     string
	network    string
	machines   []*Machine
	servers    []*Server
	nextIP     int

	once   sync.Once
	closed chan struct{}

	mutex sync.Mutex
	// controls is the operator's list of the nodes that serve control.
	controls []*Machine
}

// New returns a Deployment without machines, in a temporary folder.
func New(p Parameters) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{parameters: p, folder: folder, nextIP: 1, closed: make(chan struct{})}
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		if isFree(network) {
			d.network = network
			go d.closeOnSignal()
			return d, nil
		}
	}
	return nil, errors.New("rig: no free loopback addresses")
}

// closeOnSignal ends all processes when the script is stopped.
func (d *Deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
		d.Close()
		os.Exit(exitNotRun)
	case <-d.closed:
	}
}

// exitNotRun is the status of a script that could not run.
const exitNotRun = 2

// isFree reports whether the ports of the first addresses of a network are free.
func isFree(network string) bool {
	for host := 1; host <= 4; host++ {
		for _, port := range []int{peerPort, operatorPort, frontPort, readyPort, controlPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// Folder returns the temporary folder of the deployment.
func (d *Deployment) Folder() string { return d.folder }

// NextIP returns a loopback address that nothing else of the deployment uses.
func (d *Deployment) NextIP() string {
	ip := fmt.Sprintf("%s.%d", d.network, d.nextIP)
	d.nextIP++
	return ip
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() {
	d.once.Do(d.close)
}

func (d *Deployment) close() {
	defer close(d.closed)
	for _, s := range d.servers {
		s.Close()
	}
	for _, m := range d.machines {
		m.Kill()
		if m.link != nil {
			m.link.close()
		}
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// Machine is a machine with one process.
type Machine struct {
	deployment *Deployment
	template   string
	name, zone string
	IP         string
	process    *exec.Cmd
	ended      chan struct{}
	starts     int
	// founder is set if the machine belongs to the first start of the whole system.
	founder bool
	// link passes the connections of other hosts on; nil if they reach the machine directly.
	link *link
}

// StartAll starts the processes of all machines.
func (d *Deployment) StartAll() error {
	for _, m := range d.machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// AddControl adds a machine of the core, which is not started.
func (d *Deployment) AddControl(zone string) *Machine {
	m := d.add("control", zone)
	m.founder = true
	d.controls = append(d.controls, m)
	return m
}

// ReplaceControl starts an empty machine at another address, stops the old one by SIGTERM once the new one has had the
// time, and returns the new one.
func (d *Deployment) ReplaceControl(old *Machine, catchUp time.Duration) (*Machine, error) {
	m := d.add("control", old.zone)
	if err := m.Start(); err != nil {
		return nil, err
	}
	time.Sleep(catchUp)
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	<-old.Ended()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.controls[slices.Index(d.controls, old)] = m
	return m, nil
}

// AddEntry adds a front machine, which is not started.
func (d *Deployment) AddEntry(zone string) *Machine { return d.add("entry", zone) }

func (d *Deployment) add(template, zone string) *Machine {
	m := &Machine{
		deployment: d, template: template, zone: zone, IP: d.NextIP(),
		name: fmt.Sprintf("%s-%s-%d", template, zone, len(d.machines)),
	}
	d.machines = append(d.machines, m)
	return m
}

// ControlAddresses returns the addresses for servers and operators, of which the settings name the first ones as seeds.
func (d *Deployment) ControlAddresses() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var addresses []string
	for _, m := range d.controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.IP, controlPort))
	}
	return addresses
}

// Host returns the name of the machine's process among the hosts.
func (m *Machine) Host() string { return fmt.Sprintf("%s:%d", m.IP, peerPort) }

// AddLink makes the connections of other hosts to the machine pass through a proxy. It must be called before Start.
func (m *Machine) AddLink() (err error) {
	m.link, err = newLink(m.Host(), fmt.Sprintf("%s:%d", m.IP, innerPort))
	return err
}

// LosePower ends the process so that the machine to, which has a link, isn't told of the end of its connections.
func (m *Machine) LosePower(to *Machine) {
	to.link.silence(m.Host(), true)
	m.Kill()
	time.Sleep(silenceTime)
	to.link.silence(m.Host(), false)
}

// silenceTime is how long a link takes to notice the end of a process.
const silenceTime = 20 * time.Millisecond

// Front returns the address for clients.
func (m *Machine) Front() string { return fmt.Sprintf("%s:%d", m.IP, frontPort) }

// Name returns the name of the machine.
func (m *Machine) Name() string { return m.name }

var (
	section     = regexp.MustCompile(`(?s)\{\{#bounds\.[a-zA-Z]+\}\}.*?\{\{/bounds\.[a-zA-Z]+\}\}`)
	sectionMark = regexp.MustCompile(`\{\{[#/]bounds\.[a-zA-Z]+\}\}`)
	zoneSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
)

// settings fills in the machine's template, with the bounds of kkih-lagoon.
func (m *Machine) settings() (string, error) {
	text, err := os.ReadFile(filepath.Join(m.deployment.parameters.Templates, m.template+".yaml"))
	if err != nil {
		return "", err
	}
	filled := string(text)
	if !m.deployment.parameters.Demands {
		filled = section.ReplaceAllString(filled, "")
	}
	filled = strings.NewReplacer(
		"{{bounds.quotaWindowS}}", "5", "{{bounds.quotaOverage}}", "0.1", "{{bounds.quotaSlack}}", "20",
		"{{bounds.revokeMs}}", "5000", "{{bounds.evacuateMs}}", "5000",
		"{{bounds.warmupOverage}}", "1.5", "{{bounds.warmupSlack}}", "5",
	).Replace(filled)
	filled = sectionMark.ReplaceAllString(filled, "")
	filled = zoneSection.ReplaceAllStringFunc(filled, func(found string) string {
		line := strings.TrimPrefix(zoneSection.FindStringSubmatch(found)[1], "\n")
		all := ""
		for _, zone := range m.deployment.parameters.Zones {
			all += strings.NewReplacer("{{@}}", zone, "{{.}}", "region").Replace(line)
		}
		return all
	})
	if m.link != nil {
		filled = strings.Replace(filled, "peers: {{ip}}:{{internalPorts.0}}", fmt.Sprintf("peers: {{ip}}:%d", innerPort), 1)
	}
	heartbeat, seeds := m.deployment.parameters.HeartbeatMillis, m.deployment.ControlAddresses()
	return strings.NewReplacer(
		"{{ip}}", m.IP, "{{zone}}", m.zone,
		"{{internalPorts.0}}", fmt.Sprint(peerPort), "{{internalPorts.1}}", fmt.Sprint(operatorPort),
		"{{bindAddrs.control}}", fmt.Sprintf("%s:%d", m.IP, controlPort),
		"{{bindAddrs.front}}", m.Front(), "{{bindAddrs.readyAddr}}", fmt.Sprintf("%s:%d", m.IP, readyPort),
		"{{dataDir}}", filepath.Join(m.deployment.folder, m.name, "data"),
		"{{seeds}}", strings.Join(seeds[:min(maxSeeds, len(seeds))], ","),
		"{{bootstrap}}", fmt.Sprint(m.founder), "{{heartbeatMs}}", fmt.Sprint(heartbeat),
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetSlack}}", "52", "{{bounds.budgetWindowS}}", "10",
	).Replace(filled), nil
}

// Start starts the process with the command of the deploy file.
func (m *Machine) Start() error {
	folder := filepath.Join(m.deployment.folder, m.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	settings, err := m.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(folder, "local.conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	m.starts++
	log, err := os.Create(filepath.Join(folder, fmt.Sprintf("log-%d.txt", m.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(m.deployment.parameters.Binary, "serve", "--settings", file)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = process, ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) error { return m.process.Process.Signal(s) }

// Kill ends the process at once and waits until it has ended.
func (m *Machine) Kill() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.ended
}

// Ended is closed once the process has ended.
func (m *Machine) Ended() <-chan struct{} { return m.ended }

// IsReady asks the machine whether it is ready, as the platform does.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.IP, readyPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the machine is ready.
func (m *Machine) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if m.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("rig: %s is not ready after %v", m.name, limit)
}

// LastWords returns the last line of the process's log that begins with a prefix.
func (m *Machine) LastWords(prefix string) string {
	text, err := os.ReadFile(filepath.Join(m.deployment.folder, m.name, fmt.Sprintf("log-%d.txt", m.starts)))
	if err != nil {
		return err.Error()
	}
	words := ""
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(line, prefix) {
			words = line
		}
	}
	return words
}
