package main_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("the metrics of a fleet", func() {
	roles := []struct{ name, template string }{
		{"entry", "entry.yaml"},
		{"control", "control.yaml"},
	}
	metricsLine := regexp.MustCompile(`(?m)^metrics = "(\d+)(/\S*)"$`)

	for _, c := range roles {
		ginkgo.It("are on the address that the deploy file names: "+c.name, func() {
			deploy := readDeployFile("system.toml")
			_, role, found := strings.Cut(deploy, "[roles."+c.name+"]")
			gomega.Expect(found).To(gomega.BeTrue())
			role, _, _ = strings.Cut(role, "[roles.")
			address := metricsLine.FindStringSubmatch(role)
			gomega.Expect(address).To(gomega.HaveLen(3))
			gomega.Expect(address[2]).To(gomega.Equal("/metrics"))
			gomega.Expect(readDeployFile(c.template)).To(gomega.ContainSubstring("  metrics: {{ip}}:" + address[1] + "\n"))
		})
	}

	ginkgo.It("can be fetched from hosts of both roles", func() {
		const port = 7194
		s := newSoak(97, 1, func(l *loader.Settings) {
			ip, _, _ := strings.Cut(string(l.Listen.Operators), ":")
			l.Listen.Metrics = identifier.Address(fmt.Sprintf("%s:%d", ip, port))
		})
		for _, h := range s.hosts {
			gomega.Eventually(func() (string, error) {
				return fetchText("http://" + h.address(port) + "/metrics")
			}, waitLimit, "100ms").Should(gomega.ContainSubstring("lagooncleat_"))
		}
	})
})

func readDeployFile(name string) string {
	data, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(data)
}

// fetchText returns the body of a successful response to a GET request.
func fetchText(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %s", response.Status)
	}
	data, err := io.ReadAll(response.Body)
	return string(data), err
}
