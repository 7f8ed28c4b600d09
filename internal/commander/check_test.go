package commander_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/commander"
	"github.com/lagooncleat/lagooncleat/platform/imitator"
)

const regionSettings = `host: 10.0.0.1:70
failure-domain: fd-1
listen: {callers: "10.0.0.1:80", readiness: "10.0.0.1:81", operators: "10.0.0.1:71", peers: "10.0.0.1:70"}
fleet: {duty: entry, seeds: ["10.0.0.9:90"], peer-port: 70, regions: {fd-1: north}}
`

var _ = ginkgo.Describe("the check of a declaration", func() {
	for _, c := range []struct {
		name, arguments, old, replacement, output string
	}{
		{"finds no fault", "--declaration d --settings s", "", "", "no faults\n"},
		{"accepts the settings of a fleet alone", "--settings s", "", "", "no faults\n"},
		{"checks no homes without settings", "--declaration d", `["north"]`, `["west"]`, "no faults\n"},
		{"finds an unknown home", "--declaration d --settings s", `["north"]`, `["west"]`, "d:3: " + imitator.HomeField + ": t-2: region \"west\" is unknown\n"},
		{"finds a missing name", "--declaration d", `"t-2"`, `""`, "d:3: " + imitator.NameField + ": a customer has no name\n"},
		{"finds one key twice", "--declaration d", `"secret-b"`, `"secret-a"`, "d:3: " + imitator.KeyField + ": t-2: customer \"t-1\" has the same key (digest "},
		{"finds a syntax error", "--declaration d", `"secret-b"`, `secret-b`, "d:3: (syntax): invalid character looking for beginning of value\n"},
	} {
		ginkgo.It(c.name, func() {
			ginkgo.GinkgoT().Chdir(ginkgo.GinkgoT().TempDir())
			gomega.Expect(os.WriteFile("s", []byte(regionSettings), 0o600)).To(gomega.Succeed())
			gomega.Expect(os.WriteFile("d", []byte(strings.Replace(imitator.TwoCustomers, c.old, c.replacement, 1)), 0o600)).To(gomega.Succeed())
			flags := flag.NewFlagSet("lagooncleat", flag.ContinueOnError)
			gomega.Expect(flags.Parse(append([]string{"check"}, strings.Fields(c.arguments)...))).To(gomega.Succeed())
			commands := subcommands.NewCommander(flags, "lagooncleat")
			var printed bytes.Buffer
			commander.Register(commands, commander.Streams{Output: &printed, Errors: &printed})
			valid := commands.Execute(context.Background()) == subcommands.ExitSuccess
			gomega.Expect(valid).To(gomega.Equal(c.output == "no faults\n"))
			gomega.Expect(printed.String()).To(gomega.HavePrefix(c.output))
			gomega.Expect(printed.String()).NotTo(gomega.ContainSubstring("secret"))
		})
	}
})
