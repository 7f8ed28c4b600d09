package commander_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/commander"
)

func TestCommander(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "commander")
}

const customerFile = `replaces: 4
customer:
  customer: desk
  template: t
  partition:
    epoch: 1
    shards:
      - service: s
        range: {from: 0, to: 9}
`

const revisions = `{"revisions": [
	{"version": 3, "change-id": "one", "at": "2026-12-04T11:00:00Z", "template": {"template": "t"}},
	{"version": 5, "change-id": "two", "at": "2026-12-04T11:01:00Z", "deleted": true}]`

var cases = []struct {
	name      string
	arguments string
	file      string
	status    int
	body      string
	request   string
	exit      subcommands.ExitStatus
	output    string
	errors    string
}{
	{
		"an accepted change", "apply FILE", customerFile, http.StatusOK, `{"result":"accepted","object":"customer desk","version":5}`,
		"PUT /v1/customers/desk", subcommands.ExitSuccess, "accepted: customer desk is at version 5", "",
	},
	{
		"a conflict", "apply FILE", customerFile, http.StatusConflict, `{"result":"conflict","object":"customer desk","current":{"version":6,"change-id":"theirs"}}`,
		"PUT /v1/customers/desk", commander.ExitConflict, "", `customer desk is at version 6 by change "theirs", present; this change replaces version 4`,
	},
	{
		"a field that the leader rejects", "apply FILE", customerFile, http.StatusUnprocessableEntity,
		`{"result":"invalid","object":"customer desk","field":"partition.shards[0].range","reason":"too short"}`,
		"PUT /v1/customers/desk", subcommands.ExitFailure, "", ":9: customer.partition.shards[0].range: too short",
	},
	{
		"a deletion", "apply --output json FILE", "replaces: 4\ndelete-template: t\n", http.StatusOK, `{"result":"accepted"}`,
		"DELETE /v1/templates/t", subcommands.ExitSuccess, `{"result":"accepted"}`, "",
	},
	{
		"a file without a version", "apply FILE", "delete-template: t\n", 0, "",
		"", subcommands.ExitFailure, "", ":1: replaces: must be set",
	},
	{
		"a file with two edits", "apply FILE", "replaces: 1\ndelete-template: t\ndelete-customer: c\n", 0, "",
		"", subcommands.ExitFailure, "", "exactly one of",
	},
	{
		"a template with a wrong rank", "apply FILE", "replaces: 1\ntemplate:\n  template: t\n  works:\n    - {kind: w, rank: first}\n", 0, "",
		"", subcommands.ExitFailure, "", ":5: template.works[0].rank: rank \"first\"",
	},
	{"no file", "apply", "", 0, "", "", subcommands.ExitUsageError, "", "apply [--hosts"},
	{"another output", "get --output xml template", "", 0, "", "", subcommands.ExitUsageError, "", "get [--hosts"},
	{"another kind", "get shard", "", 0, "", "", subcommands.ExitUsageError, "", "get [--hosts"},
	{
		"a list", "get template", "", http.StatusOK, revisions + `}`,
		"GET /v1/templates", subcommands.ExitSuccess, "t         3        present  one     2026-12-04T11:00:00Z", "",
	},
	{
		"a stale answer", "get customer desk", "", http.StatusOK, `{"stale":true,"control":{"host":"h-2"}}`,
		"GET /v1/customers/desk", subcommands.ExitSuccess, "version", "stale: host h-2",
	},
	{
		"an unknown object", "history template x", "", http.StatusNotFound, `{}`,
		"GET /v1/templates/x/history", subcommands.ExitFailure, "", "template x does not exist",
	},
	{
		"a plan", "rollback-plan --to 3 template t", "", http.StatusOK, revisions + `}`,
		"GET /v1/templates/t/history", subcommands.ExitSuccess, "replaces: 5\ntemplate:\n    template: t\n", "",
	},
	{
		"a plan to an unknown version", "rollback-plan --to 4 template t", "", http.StatusOK, revisions + `}`,
		"GET /v1/templates/t/history", subcommands.ExitFailure, "", "no version 4",
	},
	{
		"a plan from a stale answer", "rollback-plan --to 3 template t", "", http.StatusOK, revisions + `,"stale":true}`,
		"GET /v1/templates/t/history", subcommands.ExitFailure, "", "reaches no leader",
	},
}

var _ = ginkgo.Describe("operators' subcommands", func() {
	for _, c := range cases {
		ginkgo.It("handle "+c.name, func() {
			var request string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				request = r.Method + " " + r.URL.Path
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			exit, output, errors := runSubcommand(c.arguments, c.file, strings.TrimPrefix(server.URL, "http://"))
			gomega.Expect(exit).To(gomega.Equal(c.exit), errors)
			gomega.Expect(output).To(gomega.ContainSubstring(c.output))
			gomega.Expect(errors).To(gomega.ContainSubstring(c.errors))
			gomega.Expect(request).To(gomega.Equal(c.request))
		})
	}
})

// runSubcommand runs a subcommand against a host. FILE in the arguments stands for a
// file with the content.
func runSubcommand(arguments, content, host string) (subcommands.ExitStatus, string, string) {
	file := filepath.Join(ginkgo.GinkgoT().TempDir(), "change.yaml")
	gomega.Expect(os.WriteFile(file, []byte(content), 0o600)).To(gomega.Succeed())
	args := strings.Fields(strings.Replace(arguments, "FILE", file, 1))
	args = append(args[:1], append([]string{"--hosts", host}, args[1:]...)...)
	flags := flag.NewFlagSet("lagooncleat", flag.ContinueOnError)
	gomega.Expect(flags.Parse(args)).To(gomega.Succeed())
	c := subcommands.NewCommander(flags, "lagooncleat")
	var output, errors bytes.Buffer
	commander.Register(c, commander.Streams{Output: &output, Errors: &errors})
	return c.Execute(context.Background()), output.String(), errors.String()
}
