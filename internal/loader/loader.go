package loader

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Default values of optional settings.
const (
	DefaultTrafficStates         = 2
	DefaultShutdownTimeoutMillis = 30000
)

// Fault is an error in a file: a field that breaks a rule, or invalid syntax.
type Fault struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// String returns the fault in the format "file:line: field: reason".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason)
}

// FaultsError reports all faults found in a file.
type FaultsError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// document is a file that is being validated.
type document struct {
	file   string
	root   yaml.Node
	faults []Fault
}

// LoadSettings reads and validates the settings of a host and fills in defaults. It
// returns a *FaultsError if the file can be read but is invalid.
func LoadSettings(file string) (Settings, error) {
	var s Settings
	d, err := read(file, &s)
	if err != nil {
		return Settings{}, err
	}
	d.requireValue("host", string(s.Host))
	d.requireValue("failure-domain", string(s.Domain))
	if s.Fleet != nil {
		d.checkFleet(s)
	} else {
		d.requireValue("customers", s.Customers)
		d.checkAddress("listen.callers", s.Listen.Callers)
		d.checkAddress("listen.backend-servers", s.Listen.BackendServers)
	}
	d.checkAddress("listen.operators", s.Listen.Operators)
	d.checkAddress("listen.peers", s.Listen.Peers)
	if s.Listen.Metrics != "" {
		d.checkAddress("listen.metrics", s.Listen.Metrics)
	}
	if s.Fleet == nil {
		d.checkPeers(s)
		d.checkControl(s)
	}
	if s.TrafficStates < 0 {
		d.addFault("traffic-states", "must not be negative")
	}
	if s.Shutdown.BalancerDelayMillis < 0 || s.Shutdown.TimeoutMillis < 0 {
		d.addFault("shutdown", "spans must not be negative")
	}
	d.checkClients(s)
	s.Clients = s.Clients.withDefaults()
	if s.TrafficStates == 0 {
		s.TrafficStates = DefaultTrafficStates
	}
	if s.Shutdown.TimeoutMillis == 0 {
		s.Shutdown.TimeoutMillis = DefaultShutdownTimeoutMillis
	}
	if s.Control.DataFolder != "" && !filepath.IsAbs(s.Control.DataFolder) {
		s.Control.DataFolder = filepath.Join(filepath.Dir(file), s.Control.DataFolder)
	}
	if s.Fleet == nil && !filepath.IsAbs(s.Customers) {
		s.Customers = filepath.Join(filepath.Dir(file), s.Customers)
	}
	return s, d.err()
}

func (d *document) checkPeers(s Settings) {
	seen := map[identifier.HostID]bool{s.Host: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		d.requireValue(field+".host", string(p.Host))
		d.requireValue(field+".failure-domain", string(p.Domain))
		d.checkAddress(field+".address", p.Address)
		if seen[p.Host] {
			d.addFault(field+".host", "names a host twice")
		}
		seen[p.Host] = true
	}
}

// checkControl checks that the control hosts are this host or its peers, and that a data
// folder is set if and only if this host is a control host.
func (d *document) checkControl(s Settings) {
	known := map[identifier.HostID]bool{s.Host: true}
	for _, p := range s.Peers {
		known[p.Host] = true
	}
	seen := map[identifier.HostID]bool{}
	for i, h := range s.Control.Hosts {
		field := fmt.Sprintf("control.hosts[%d]", i)
		if !known[h] {
			d.addFault(field, "is neither this host nor one of its peers")
		}
		if seen[h] {
			d.addFault(field, "names a host twice")
		}
		seen[h] = true
	}
	if seen[s.Host] && s.Control.DataFolder == "" {
		d.addFault("control.data-folder", "must be set on a control host")
	}
	if !seen[s.Host] && s.Control.DataFolder != "" {
		d.addFault("control.data-folder", "is set but control.hosts does not name this host")
	}
}

// LoadCustomers reads and validates templates and customers. It returns a *FaultsError
// if the file can be read but is invalid.
func LoadCustomers(file string) (CustomersFile, error) {
	var c CustomersFile
	d, err := read(file, &c)
	if err != nil {
		return CustomersFile{}, err
	}
	if c.Version == 0 {
		d.addFault("version", "must be above 0")
	}
	templates := map[identifier.TemplateID]configurer.Template{}
	for _, t := range c.Templates {
		templates[t.ID] = t
	}
	for i, customer := range c.Customers {
		field := fmt.Sprintf("customers[%d]", i)
		template, ok := templates[customer.Template]
		if !ok {
			d.addFault(field+".template", "names no template of this file")
			continue
		}
		var invalid *configurer.InvalidFieldError
		if _, err := configurer.Resolve(template, customer); errors.As(err, &invalid) {
			d.addFault(field+"."+invalid.Field, invalid.Reason)
		}
	}
	return c, d.err()
}

var (
	yamlErrorLine    = regexp.MustCompile(`line (\d+): (.*)`)
	yamlUnknownField = regexp.MustCompile(`^field (\S+) not found in type `)
)

// read decodes a file into the target and rejects unknown fields. The returned document
// keeps the YAML nodes, which give the line numbers of faults.
func read(file string, target any) (*document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read YAML file: %w", err)
	}
	d := &document{file: file}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(target); err != nil {
		for _, match := range yamlErrorLine.FindAllStringSubmatch(err.Error(), -1) {
			d.faults = append(d.faults, syntaxFault(file, match[1], match[2]))
		}
		if len(d.faults) == 0 {
			d.faults = []Fault{{File: file, Line: 1, Field: "(syntax)", Reason: err.Error()}}
		}
		return nil, d.err()
	}
	if err := yaml.Unmarshal(data, &d.root); err != nil {
		return nil, fmt.Errorf("read YAML file: %w", err)
	}
	return d, nil
}

// syntaxFault converts the YAML library's error message about a line into a fault.
func syntaxFault(file, number, message string) Fault {
	// Atoi can't fail, since the pattern matches only digits.
	line, _ := strconv.Atoi(number)
	if match := yamlUnknownField.FindStringSubmatch(message); match != nil {
		return Fault{File: file, Line: line, Field: match[1], Reason: "is not a field that exists here"}
	}
	return Fault{File: file, Line: line, Field: "(syntax)", Reason: message}
}

func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: d.faults}
}

func (d *document) addFault(field, reason string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: d.lineOf(field), Field: field, Reason: reason})
}

func (d *document) requireValue(field, value string) {
	if value == "" {
		d.addFault(field, "must be set")
	}
}

func (d *document) checkAddress(field string, a identifier.Address) {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		d.addFault(field, "must be an IP number and port, as in 127.0.0.1:8001")
	}
}

var pathElement = regexp.MustCompile(`[^.\[\]]+`)

// lineOf returns the line of the field, or of the deepest part of its path that exists in
// the file.
func (d *document) lineOf(field string) int {
	if len(d.root.Content) == 0 {
		return 1
	}
	node := d.root.Content[0]
	line := node.Line
	for _, element := range pathElement.FindAllString(field, -1) {
		var next *yaml.Node
		next, line = childNode(node, element, line)
		if next == nil {
			return line
		}
		node = next
	}
	return line
}

// childNode returns the value at a key or index and its line, or nil and the given line if
// there is none.
func childNode(node *yaml.Node, element string, line int) (*yaml.Node, int) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == element {
				return node.Content[i+1], node.Content[i].Line
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(element); err == nil && i < len(node.Content) {
			return node.Content[i], node.Content[i].Line
		}
	}
	return nil, line
}
