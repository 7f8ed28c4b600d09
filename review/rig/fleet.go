//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment kkih-lagoon.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainBound        = 3 * time.Second
	graceBound        = 6 * time.Second
	// trafficDelay is how long the hosts run before the first client request.
	trafficDelay = 10 * time.Second
	// startLimit limits the wait until a fleet is ready.
	startLimit = 20 * time.Second
	// settingsFile is the path that the deploy file passes to each program.
	settingsFile = "/etc/lagooncleat/local.conf"
)

// errNotRun reports that a case could not run.
var errNotRun = errors.New("the case could not run")

// process is one host of the fleet: an instance of the program under review.
type process struct {
	name, zone, ip, settings string
	control                  bool
	log                      *os.File
	mutex                    sync.Mutex
	command                  *exec.Cmd
	ended                    chan struct{}
}

// fleet is a small deployment on loopback addresses, all hosts on the same ports.
type fleet struct {
	root, folder, prefix                              string
	program                                           []string
	front, ready, controlPort, peerPort, operatorPort int
	hosts                                             []*process
	record                                            *record
}

// newFleet chooses a loopback network and ports that are free, and reads the command of the deploy file.
func newFleet(root string, r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, record: r}
	if err := f.readCommand(); err != nil {
		return nil, err
	}
	for range 100 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		base := 12000 + 10*rand.IntN(1500)
		f.front, f.ready, f.controlPort, f.peerPort, f.operatorPort = base, base+1, base+2, base+3, base+4
		if f.portsFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errNotRun)
}

// readCommand takes the program and its arguments from the deploy file.
func (f *fleet) readCommand() error {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			f.program = strings.Fields(strings.Trim(value, `"`))
			return nil
		}
	}
	return fmt.Errorf("%w: the deploy file has no command", errNotRun)
}

func (f *fleet) portsFree() bool {
	for _, port := range []int{f.front, f.ready, f.controlPort, f.peerPort, f.operatorPort, 9464} {
		for _, last := range []int{11, 12, 13, 21, 22, 23, 24, 25, 26} {
			l, err := net.Listen("tcp", f.address(last, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (f *fleet) address(last, port int) string {
	return f.prefix + strconv.Itoa(last) + ":" + strconv.Itoa(port)
}

// controls returns the addresses of the control hosts for servers and the operator.
func (f *fleet) controls() []string {
	var list []string
	for _, p := range f.hosts {
		if p.control {
			list = append(list, p.ip+":"+strconv.Itoa(f.controlPort))
		}
	}
	return list
}

func (f *fleet) frontOf(p *process) string { return p.ip + ":" + strconv.Itoa(f.front) }

// entries returns the entry hosts of a zone, or all of them.
func (f *fleet) entries(zone string) []*process {
	var list []*process
	for _, p := range f.hosts {
		if !p.control && (zone == "" || p.zone == zone) {
			list = append(list, p)
		}
	}
	return list
}

// start starts a control host in each zone and the given number of entry hosts in each.
func (f *fleet) start(zones []string, entries []int) error {
	for i, zone := range zones {
		f.hosts = append(f.hosts, &process{name: "core-" + zone, zone: zone, ip: f.prefix + strconv.Itoa(11+i), control: true})
	}
	last := 21
	for i, zone := range zones {
		for n := range entries[i] {
			f.hosts = append(f.hosts, &process{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: f.prefix + strconv.Itoa(last)})
			last++
		}
	}
	for _, p := range f.hosts {
		if err := f.writeSettings(p, true); err != nil {
			return err
		}
		if err := f.launch(p); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the deploy folder as the platform does.
func (f *fleet) writeSettings(p *process, bootstrap bool) error {
	template := "entry.yaml"
	if p.control {
		template = "control.yaml"
	}
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", template))
	if err != nil {
		return err
	}
	at := func(port int) string { return p.ip + ":" + strconv.Itoa(port) }
	p.settings = filepath.Join(f.folder, p.name+".yaml")
	filled := strings.NewReplacer(
		"{{ip}}", p.ip, "{{zone}}", p.zone, "{{internalPorts.0}}", strconv.Itoa(f.peerPort),
		"{{internalPorts.1}}", strconv.Itoa(f.operatorPort), "{{bindAddrs.front}}", at(f.front),
		"{{bindAddrs.readyAddr}}", at(f.ready), "{{bindAddrs.control}}", at(f.controlPort),
		"{{seeds}}", strings.Join(f.controls(), ","), "{{bootstrap}}", strconv.FormatBool(bootstrap),
		"{{dataDir}}", filepath.Join(f.folder, p.name), "{{heartbeatMs}}", strconv.FormatInt(heartbeatInterval.Milliseconds(), 10),
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetSlack}}", "52", "{{bounds.budgetWindowS}}", "10",
	).Replace(string(text))
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

// launch starts the program of a host. Its log goes to the fleet's temporary folder.
func (f *fleet) launch(p *process) error {
	if p.log == nil {
		file, err := os.Create(filepath.Join(f.folder, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = file
	}
	arguments := make([]string, 0, len(f.program))
	for _, word := range f.program[1:] {
		if word == settingsFile {
			word = p.settings
		}
		arguments = append(arguments, word)
	}
	command := exec.Command(filepath.Join(f.root, f.program[0]), arguments...)
	command.Stdout, command.Stderr, command.Dir = p.log, p.log, f.root
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	ended := make(chan struct{})
	p.mutex.Lock()
	p.command, p.ended = command, ended
	p.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	f.record.write("%s started", p.name)
	return nil
}

// signal sends a signal to the process of a host.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.command.Process.Signal(s)
}

// restart kills the processes of hosts at the same moment and starts them again after the delay, with
// bootstrap false.
func (f *fleet) restart(delay time.Duration, hosts ...*process) error {
	for _, p := range hosts {
		p.signal(syscall.SIGKILL)
		f.record.write("%s killed", p.name)
	}
	time.Sleep(delay)
	for _, p := range hosts {
		<-p.ended
		if err := f.writeSettings(p, false); err != nil {
			return err
		}
		if err := f.launch(p); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, p := range f.hosts {
		if p.command != nil {
			p.signal(syscall.SIGKILL)
			<-p.ended
			p.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	}
}

// isReady asks the readiness check of an entry host, as the platform's balancer does.
func (f *fleet) isReady(p *process) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.ip + ":" + strconv.Itoa(f.ready) + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all entry hosts are ready.
func (f *fleet) waitReady() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, p := range f.entries("") {
			ready = ready && f.isReady(p)
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("%w: the entry hosts are not ready", errNotRun)
}

// put sends an operator's configuration until a control host answers it clearly. It returns the status.
func (f *fleet) put(text string) (int, error) {
	client := http.Client{Timeout: time.Second}
	controls := f.controls()
	for n, end := 0, time.Now().Add(startLimit); time.Now().Before(end); n++ {
		request, err := http.NewRequest(http.MethodPut, "http://"+controls[n%len(controls)]+"/config", strings.NewReader(text))
		if err != nil {
			return 0, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode < 500 {
			f.record.write("configuration sent to %s: status %d", controls[n%len(controls)], response.StatusCode)
			return response.StatusCode, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("%w: no answer to the configuration", errNotRun)
}
