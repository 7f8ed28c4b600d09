package commander_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/commander"
)

const (
	regionSettings = `host: 10.0.0.1:70
failure-domain: fd-1
listen: {callers: "10.0.0.1:80", readiness: "10.0.0.1:81", operators: "10.0.0.1:71", peers: "10.0.0.1:70"}
fleet: {duty: entry, seeds: ["10.0.0.9:90"], peer-port: 70, regions: {fd-1: north}}
`
	declaredTenants = `{"version": 1, "routes": [], "services": [], "tenants": [
 {"name": "t-1", "apiKeys": ["secret-a"], "allowedRegions": ["north"]},
 {"name": "t-2", "apiKeys": ["secret-b"], "ratePerS": 3,
  "allowedRegions": ["north"]}]}
`
)

var _ = ginkgo.Describe("the check of a declaration", func() {
	for _, c := range []struct {
		name, arguments, old, replacement string
		exit                              subcommands.ExitStatus
		output                            string
	}{
		{"finds no fault", "--declaration DECLARATION --settings SETTINGS", "", "", subcommands.ExitSuccess, "no faults\n"},
		{"needs no settings", "--declaration DECLARATION", "", "", subcommands.ExitSuccess, "no faults\n"},
		{"accepts the settings of a fleet alone", "--settings SETTINGS", "", "", subcommands.ExitSuccess, "no faults\n"},
		{
			"finds a negative rate", "--declaration DECLARATION", `"ratePerS": 3`, `"ratePerS": -3`,
			subcommands.ExitFailure, "DECLARATION:3: tenants[1].ratePerS: t-2: the rate is not a number of 0 or more\n",
		},
		{
			"finds an unknown home", "--declaration DECLARATION --settings SETTINGS", `["north"]}]`, `["west"]}]`,
			subcommands.ExitFailure, "DECLARATION:4: tenants[1].allowedRegions[0]: t-2: region \"west\" is unknown\n",
		},
		{
			"finds a customer without a name", "--declaration DECLARATION", `"t-2"`, `""`,
			subcommands.ExitFailure, "DECLARATION:3: tenants[1].name: a customer has no name\n",
		},
		{
			"finds two customers of one name", "--declaration DECLARATION", `"t-2"`, `"t-1"`,
			subcommands.ExitFailure, "DECLARATION:3: tenants[1].name: t-1: another customer has the same name\n",
		},
		{
			"finds two customers with one key", "--declaration DECLARATION", `"secret-b"`, `"secret-a"`,
			subcommands.ExitFailure, "DECLARATION:3: tenants[1].apiKeys[0]: t-2: customer \"t-1\" has the same key (digest ",
		},
		{
			"finds a syntax error", "--declaration DECLARATION", `"secret-b"`, `secret-b`,
			subcommands.ExitFailure, "DECLARATION:3: (syntax): invalid character looking for beginning of value\n",
		},
		{"reports a missing file", "--declaration DECLARATION.json", "", "", subcommands.ExitFailure, "no such file"},
	} {
		ginkgo.It(c.name, func() {
			folder := ginkgo.GinkgoT().TempDir()
			paths := map[string]string{}
			for name, text := range map[string]string{
				"SETTINGS": regionSettings, "DECLARATION": strings.Replace(declaredTenants, c.old, c.replacement, 1),
			} {
				paths[name] = filepath.Join(folder, name)
				gomega.Expect(os.WriteFile(paths[name], []byte(text), 0o600)).To(gomega.Succeed())
			}
			withPaths := strings.NewReplacer("SETTINGS", paths["SETTINGS"], "DECLARATION", paths["DECLARATION"])
			flags := flag.NewFlagSet("lagooncleat", flag.ContinueOnError)
			gomega.Expect(flags.Parse(append([]string{"check"}, strings.Fields(withPaths.Replace(c.arguments))...))).To(gomega.Succeed())
			commands := subcommands.NewCommander(flags, "lagooncleat")
			var printed bytes.Buffer
			commander.Register(commands, commander.Streams{Output: &printed, Errors: &printed})
			gomega.Expect(commands.Execute(context.Background())).To(gomega.Equal(c.exit))
			gomega.Expect(printed.String()).To(gomega.ContainSubstring(withPaths.Replace(c.output)))
			gomega.Expect(printed.String()).NotTo(gomega.ContainSubstring("secret"))
		})
	}
})
