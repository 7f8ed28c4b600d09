package main_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	// The tests build the programs at run time. These imports make cached test results
	// depend on the source code of the programs.
	_ "github.com/lagooncleat/lagooncleat/internal/commander"
	_ "github.com/lagooncleat/lagooncleat/internal/faker"
)

func TestLagooncleat(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "lagooncleat processes")
}

// Paths of the programs under test.
var programPath, fakeBackendPath string

var _ = ginkgo.BeforeSuite(func() {
	var err error
	programPath, err = gexec.Build("github.com/lagooncleat/lagooncleat/cmd/lagooncleat")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	fakeBackendPath, err = gexec.Build("github.com/lagooncleat/lagooncleat/cmd/fake-backend")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
})

var _ = ginkgo.AfterSuite(gexec.CleanupBuildArtifacts)
