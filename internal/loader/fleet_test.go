package loader_test

import (
	"errors"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const entrySettings = `host: 10.0.0.1:70
failure-domain: fd-1
listen:
  callers: 10.0.0.1:80
  readiness: 10.0.0.1:81
  operators: 10.0.0.1:71
  peers: 10.0.0.1:70
fleet:
  duty: entry
  seeds: [10.0.0.9:90,10.0.0.8:90,10.0.0.9:90]
  peer-port: 70
  extra-attempts: {share: 0.2, slack: 52}
`

const controlSettings = `host: 10.0.0.1:70
failure-domain: fd-1
listen:
  backend-servers: 10.0.0.1:90
  operators: 10.0.0.1:71
  peers: 10.0.0.1:70
control:
  data-folder: /data
fleet:
  duty: control
  seeds: [10.0.0.9:90]
  peer-port: 70
  announcement-interval-ms: 1200
`

var _ = ginkgo.Describe("the settings of a host in a fleet", func() {
	for _, c := range []struct {
		name, text, old, replacement, fault string
	}{
		{"of an entry host are valid", entrySettings, "", "", ""},
		{"of a control host are valid", controlSettings, "", "", ""},
		{"require a duty", entrySettings, "duty: entry", "duty: both", ":9: fleet.duty"},
		{"require seeds", entrySettings, "seeds: [10.0.0.9:90,10.0.0.8:90,10.0.0.9:90]", "seeds: []", ":10: fleet.seeds"},
		{"require seeds that are addresses", entrySettings, "10.0.0.8:90", "control", ":10: fleet.seeds[1]"},
		{"require a port for peers", entrySettings, "peer-port: 70", "peer-port: 0", ":11: fleet.peer-port"},
		{"require an address for clients", entrySettings, "  callers: 10.0.0.1:80\n", "", "listen.callers"},
		{"require an address for the load balancer", entrySettings, "  readiness: 10.0.0.1:81\n", "", "listen.readiness"},
		{"require a data folder for control", controlSettings, "/data", `""`, "control.data-folder"},
		{"require the announcement interval for control", controlSettings, "ms: 1200", "ms: 0", "fleet.announcement-interval-ms"},
		{"may name the regions of failure domains", controlSettings + "  regions: {fd-1: north, fd-2: south}\n  evacuation-ms: 5000\n", "", "", ""},
		{"may leave the regions empty", controlSettings + "  regions:\n", "", "", ""},
		{"require a region for each failure domain", entrySettings + "  regions:\n    fd-1: north\n    fd-2:\n", "", "", ":15: fleet.regions.fd-2"},
		{"require a name for each failure domain", entrySettings + "  regions:\n    \"\": north\n", "", "", ":13: fleet.regions"},
		{"must not contain a negative time of evacuations", controlSettings + "  evacuation-ms: -1\n", "", "", ":14: fleet.evacuation-ms"},
		{"may limit cold servers", entrySettings + "  warm-up: {overage: 1.5, slack: 5}\n", "", "", ""},
		{"must not limit cold servers to less than can be allotted", entrySettings + "  warm-up: {overage: 1.1, slack: 5}\n", "", "", ":13: fleet.warm-up.overage"},
		{"must allow cold servers a request beyond their rate", entrySettings + "  warm-up: {overage: 1.5}\n", "", "", ":13: fleet.warm-up.slack"},
		{"must not contain negative limits", entrySettings, "slack: 52", "slack: -1", ":8: fleet"},
		{"must not contain negative limits on clients", entrySettings, "fleet:\n", "clients: {connections: -1}\nfleet:\n", ":8: clients"},
		{"must not contain a negative memory limit", entrySettings, "fleet:\n", "memory-limit-mb: -1\nfleet:\n", ":8: memory-limit-mb"},
	} {
		ginkgo.It(c.name, func() {
			file := writeFile(strings.Replace(c.text, c.old, c.replacement, 1))
			s, err := loader.LoadSettings(file)
			if c.fault == "" {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(s.Fleet.SeedHosts()).NotTo(gomega.BeEmpty())
				return
			}
			var faults *loader.FaultsError
			gomega.Expect(errors.As(err, &faults)).To(gomega.BeTrue())
			gomega.Expect(err.Error()).To(gomega.ContainSubstring(c.fault))
		})
	}

	ginkgo.It("name the seeds as hosts, sorted and without duplicates", func() {
		s, err := loader.LoadSettings(writeFile(entrySettings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Fleet.SeedHosts()).To(gomega.Equal([]identifier.HostID{"10.0.0.8:70", "10.0.0.9:70"}))
	})
})
