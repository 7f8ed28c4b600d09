//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines of the deployment.
const (
	frontPort     = 8226
	readyPort     = 8227
	controlPort   = 8224
	peerPort      = 7740
	operatorPort  = 7741
	serverPort    = 8080
	heartbeatTime = 1200 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is a machine of the deployment with one process of the project.
type machine struct {
	name, ip, zone, role string
	folder               string
	process              *exec.Cmd
	done                 chan struct{}
	starts               int
}

// fleet is the deployment under test.
type fleet struct {
	record   *recorder
	folder   string
	prefix   string
	bounds   map[string]any
	controls []*machine
	entries  []*machine
}

var (
	processMutex sync.Mutex
	processes    []*exec.Cmd
)

// endProcesses kills every process that was started.
func endProcesses() {
	processMutex.Lock()
	defer processMutex.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill()
	}
}

// newFleet starts control hosts and entry hosts, in turn in each zone.
func newFleet(r *recorder, controls, entries int, bounds map[string]any) (*fleet, error) {
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, prefix: prefix, bounds: bounds}
	for i := range controls {
		f.controls = append(f.controls, f.newMachine("control", i, 1+i))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newMachine("entry", i, 21+i))
	}
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := f.start(m); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// freePrefix returns the first three bytes of loopback addresses on which nothing listens.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, controlPort)); err == nil {
			l.Close()
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (f *fleet) newMachine(role string, index, last int) *machine {
	name := fmt.Sprintf("%s-%d", role, index+1)
	return &machine{
		name: name, ip: fmt.Sprintf("%s%d", f.prefix, last), zone: zones[index%len(zones)], role: role,
		folder: filepath.Join(f.folder, name),
	}
}

// start starts the process of a machine. Only the first start founds the deployment.
func (f *fleet) start(m *machine) error {
	data := filepath.Join(m.folder, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	regions := map[string]any{}
	for _, z := range zones {
		regions[z] = "region"
	}
	settings, err := render("deploy/"+m.role+".yaml", map[string]any{
		"ip": m.ip, "zone": m.zone, "internalPorts": map[string]any{"0": peerPort, "1": operatorPort},
		"bindAddrs": map[string]any{
			"control": fmt.Sprintf("%s:%d", m.ip, controlPort), "front": fmt.Sprintf("%s:%d", m.ip, frontPort),
			"readyAddr": fmt.Sprintf("%s:%d", m.ip, readyPort),
		},
		"dataDir": data, "seeds": strings.Join(seeds, ","), "bootstrap": m.starts == 0, "bounds": f.bounds,
		"heartbeatMs": heartbeatTime.Milliseconds(), "zones": regions,
	})
	if err != nil {
		return err
	}
	file := filepath.Join(m.folder, "settings.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command("target/lagooncleat", "serve", "--settings", file)
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	processMutex.Lock()
	processes = append(processes, m.process)
	processMutex.Unlock()
	m.starts++
	done := make(chan struct{})
	m.done = done
	process := m.process
	go func() {
		_ = process.Wait()
		close(done)
	}()
	f.record.printf("%s starts at %s in %s", m.name, m.ip, m.zone)
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.record.printf("%s gets %v", m.name, s)
	_ = m.process.Process.Signal(s)
}

// kill ends the process of a machine.
func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.done
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if m.process == nil {
			continue
		}
		_ = m.process.Process.Signal(syscall.SIGKILL)
		<-m.done
	}
	_ = os.RemoveAll(f.folder)
}

// logged reports whether the log of a machine holds a text.
func (m *machine) logged(text string) bool {
	log, err := os.ReadFile(filepath.Join(m.folder, "log"))
	return err == nil && bytes.Contains(log, []byte(text))
}

// follower returns a control host that doesn't lead.
func (f *fleet) follower() (*machine, error) {
	for _, m := range f.controls {
		if !m.logged("this host leads") {
			return m, nil
		}
	}
	return nil, errors.New("every control host has led")
}

// controlAddresses returns the addresses that servers and operators call.
func (f *fleet) controlAddresses() []string {
	var addresses []string
	for _, m := range f.controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return addresses
}
