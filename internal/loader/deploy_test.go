package loader_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// section matches a section of a template, and plainTag a tag that stands for a value.
var (
	section  = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	plainTag = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a template as the platform does. A section is repeated for each entry of a table, and left out if
// its value is absent.
func render(template string, values map[string]string, zones [][2]string) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		match := section.FindStringSubmatch(s)
		if match[1] != "zones" {
			return strings.Repeat(match[2], min(1, len(values[match[1]])))
		}
		parts := ""
		for _, z := range zones {
			parts += strings.NewReplacer("{{@}}", z[0], "{{.}}", z[1]).Replace(match[2])
		}
		return parts
	})
	return plainTag.ReplaceAllStringFunc(text, func(s string) string { return values[strings.Trim(s, "{}")] })
}

var _ = ginkgo.Describe("the templates of the settings", func() {
	for _, c := range []struct {
		name       string
		zones      [][2]string
		evacuateMs string
		warmUp     string
		regions    map[identifier.DomainID]identifier.RegionID
		evacuation float64
	}{
		{"without zones and orders", nil, "", "", nil, 0},
		{"with zones", [][2]string{{"z1", "north"}, {"z2", "south"}}, "", "1.5", map[identifier.DomainID]identifier.RegionID{"z1": "north", "z2": "south"}, 0},
		{"with orders, and names that YAML reads as other types", [][2]string{{"1", "no"}}, "5000.0", "", map[identifier.DomainID]identifier.RegionID{"1": "no"}, 5000},
	} {
		for _, file := range []string{"entry.yaml", "control.yaml"} {
			ginkgo.It("give valid settings "+c.name+": "+file, func() {
				template, err := os.ReadFile(filepath.Join("../../deploy", file))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				values := map[string]string{
					"ip": "10.0.0.1", "zone": "z1", "internalPorts.0": "70", "internalPorts.1": "71", "bindAddrs.front": "10.0.0.1:80",
					"bindAddrs.readyAddr": "10.0.0.1:81", "bindAddrs.control": "10.0.0.1:90", "dataDir": "/data", "seeds": "10.0.0.9:90",
					"bootstrap": "true", "heartbeatMs": "1200", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "52",
					"bounds.budgetWindowS": "10", "bounds.evacuateMs": c.evacuateMs,
					"bounds.warmupOverage": c.warmUp, "bounds.warmupSlack": "5",
				}
				s, err := loader.LoadSettings(writeFile(render(string(template), values, c.zones)))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(s.Fleet.Regions).To(gomega.Equal(c.regions))
				gomega.Expect(s.Fleet.EvacuationMillis).To(gomega.Equal(c.evacuation))
				gomega.Expect(s.Fleet.WarmUp.Overage > 0).To(gomega.Equal(c.warmUp != ""))
			})
		}
	}
})
