package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
)

func TestLoader(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "loader")
}

const goodSettings = `host: h-1
failure-domain: fd-1
listen:
  callers: 127.0.0.1:8001
  backend-servers: 127.0.0.1:8002
  operators: 127.0.0.1:8003
  peers: 127.0.0.1:8004
customers: customers.yaml
`

const goodCustomers = `version: 1
templates:
  - template: t
    ranks:
      - {rank: urgent, timeout-ms: 1}
      - {rank: standard, timeout-ms: 1}
      - {rank: deferrable, timeout-ms: 1}
customers:
  - customer: desk
    template: t
    partition:
      epoch: 1
      shards:
`

// writeFile writes the text to a new temporary file and returns its path.
func writeFile(text string) string {
	file := filepath.Join(ginkgo.GinkgoT().TempDir(), "file.yaml")
	gomega.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	return file
}

// firstFault returns the first fault without its file, whose path is temporary.
func firstFault(err error) loader.Fault {
	var faults *loader.FaultsError
	gomega.Expect(errors.As(err, &faults)).To(gomega.BeTrue(), "%v", err)
	fault := faults.Faults[0]
	fault.File = ""
	return fault
}

var _ = ginkgo.Describe("LoadSettings", func() {
	ginkgo.It("fills in defaults", func() {
		s, err := loader.LoadSettings(writeFile(goodSettings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.TrafficStates).To(gomega.Equal(loader.DefaultTrafficStates))
	})

	cases := []struct {
		name, text string
		fault      loader.Fault
	}{
		{
			"an unknown field", goodSettings + "hots: h-1\n",
			loader.Fault{Line: 9, Field: "hots", Reason: "is not a field that exists here"},
		},
		{
			"a bad address", "listen:\n  callers: localhost:1\nhost: h\nfailure-domain: f\ncustomers: c\n",
			loader.Fault{Line: 2, Field: "listen.callers", Reason: "must be an IP number and port, as in 127.0.0.1:8001"},
		},
		{
			"a peer with the host's own ID", goodSettings + "peers:\n  - host: h-1\n    failure-domain: fd-1\n    address: 127.0.0.1:1\n",
			loader.Fault{Line: 10, Field: "peers[0].host", Reason: "names a host twice"},
		},
		{
			"a missing field", "failure-domain: fd-1\n",
			loader.Fault{Line: 1, Field: "host", Reason: "must be set"},
		},
	}
	for _, c := range cases {
		ginkgo.It("reports "+c.name, func() {
			_, err := loader.LoadSettings(writeFile(c.text))
			gomega.Expect(firstFault(err)).To(gomega.Equal(c.fault))
		})
	}
})

var _ = ginkgo.Describe("LoadCustomers", func() {
	cases := []struct {
		name, text string
		fault      loader.Fault
	}{
		{
			"a gap in the hash space",
			goodCustomers + "        - {service: a, range: {from: 0, to: 5}}\n        - {service: b, range: {from: 6, to: 4294967296}}\n",
			loader.Fault{Line: 15, Field: "customers[0].partition.shards[1].range", Reason: "must start at 5 and not be empty"},
		},
		{
			"a hash space not covered to its end",
			goodCustomers + "        - {service: a, range: {from: 0, to: 5}}\n",
			loader.Fault{Line: 13, Field: "customers[0].partition.shards", Reason: "must end at 4294967296"},
		},
	}
	for _, c := range cases {
		ginkgo.It("reports "+c.name, func() {
			_, err := loader.LoadCustomers(writeFile(c.text))
			gomega.Expect(firstFault(err)).To(gomega.Equal(c.fault))
		})
	}

	ginkgo.It("accepts the example files of both deployments", func() {
		files, err := filepath.Glob("../../examples/*/*.yaml")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(files).To(gomega.HaveLen(14))
		for _, f := range files {
			if filepath.Base(f) == "customers.yaml" {
				_, err = loader.LoadCustomers(f)
			} else {
				_, err = loader.LoadSettings(f)
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred(), f)
		}
	})
})
