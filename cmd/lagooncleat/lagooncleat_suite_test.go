package main_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	// The programs are built while the tests run. These imports make the go command's
	// cache of test results depend on what the programs are made of.
	_ "github.com/lagooncleat/lagooncleat/internal/commander"
	_ "github.com/lagooncleat/lagooncleat/internal/faker"
)

func TestLagooncleat(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "lagooncleat processes")
}

// Paths of the programs under test.
var program, fakeBackend string

var _ = ginkgo.BeforeSuite(func() {
	var err error
	program, err = gexec.Build("github.com/lagooncleat/lagooncleat/cmd/lagooncleat")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	fakeBackend, err = gexec.Build("github.com/lagooncleat/lagooncleat/cmd/fake-backend")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
})

var _ = ginkgo.AfterSuite(gexec.CleanupBuildArtifacts)
