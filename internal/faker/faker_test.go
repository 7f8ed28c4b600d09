package faker_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

const (
	// waitLimit limits each wait and far exceeds the time that a wait takes.
	waitLimit = 20 * time.Second
	// endlessServiceTime is longer than any test runs.
	endlessServiceTime = time.Hour
)

// startServer starts a server with one slot and at most two connections.
func startServer(serviceTime time.Duration) *faker.Server {
	s, err := faker.New(faker.Parameters{
		Server: "s-1", Incarnation: 1, Service: "desk", Listen: "127.0.0.1:0", Slots: 1, Connections: 2, Queue: 1,
		ServiceTime: serviceTime, Distribution: faker.Constant{},
		Holdings: []leaser.Holding{{
			Epoch: 1, Range: identifier.HashRange{To: identifier.HashSpace}, Versions: []identifier.IndexVersion{1},
		}},
	}, hclog.NewNullLogger())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Close)
	return s
}

// sendAttempt sends an attempt on a separate connection.
func sendAttempt(ctx context.Context, s *faker.Server, version, body string) (int, string, error) {
	text := `{"attempt":"q/1","remaining-us":60000000,"snapshot":{"epoch":1,"version":` + version +
		`},"range":{"from":0,"to":8},"body":"` + body + `"}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(s.Address())+"/v1/attempts", strings.NewReader(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

var _ = ginkgo.Describe("Server", func() {
	cases := []struct {
		name, version, text string
		behaviour           faker.Behaviour
		status, runs        int
	}{
		{"returns the server, range and snapshot that it served", "1", `"server":"s-1","range":{"from":0,"to":8},"snapshot":{"epoch":1,"version":1},"echo":"x"`, faker.Behaviour{}, 200, 1},
		{"refuses a snapshot that it does not hold", "2", "snapshot-gone", faker.Behaviour{}, 503, 0},
		{"refuses every attempt when it sheds load", "1", "not-run", faker.Behaviour{Shed: true}, 503, 0},
		{"answers with an internal error when it fails fast", "1", "internal error", faker.Behaviour{Faults: []faker.Fault{faker.FailFast{}}}, 500, 1},
		{
			"does not crash when the body lacks the marker", "1", "echo",
			faker.Behaviour{Faults: []faker.Fault{faker.CrashOn{Marker: []byte("crash")}}},
			200, 1,
		},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			s := startServer(0)
			s.SetBehaviour(c.behaviour)
			status, text, err := sendAttempt(context.Background(), s, c.version, "x")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(status).To(gomega.Equal(c.status))
			gomega.Expect(text).To(gomega.ContainSubstring(c.text))
			gomega.Expect(s.Tally().Runs).To(gomega.Equal(c.runs))
		})
	}

	ginkgo.It("crashes on the marker and restarts at the same address as a new incarnation", func() {
		s := startServer(0)
		address := s.Address()
		s.SetBehaviour(faker.Behaviour{Faults: []faker.Fault{faker.CrashOn{Marker: []byte("crash")}}})
		_, _, err := sendAttempt(context.Background(), s, "1", "crash")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Eventually(s.Down, waitLimit).Should(gomega.BeFalse())
		status, _, err := sendAttempt(context.Background(), s, "1", "x")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(s.Address()).To(gomega.Equal(address))
		gomega.Expect(s.Parameters().Incarnation).To(gomega.Equal(identifier.Incarnation(2)))
		gomega.Expect(s.Tally().Crashes).To(gomega.Equal(1))
	})

	ginkgo.It("enforces its slot and connection limits, and counts cancelled attempts", func() {
		s := startServer(endlessServiceTime)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, _, err := sendAttempt(ctx, s, "1", "x")
				done <- err
			}()
		}
		gomega.Eventually(func() int { return s.Tally().OpenConnections }, waitLimit).Should(gomega.Equal(2))
		_, _, err := sendAttempt(context.Background(), s, "1", "x")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(s.Tally().Rejected).To(gomega.Equal(1))
		gomega.Eventually(s.ReportedLoad, waitLimit).Should(gomega.Equal(2))
		gomega.Expect(s.Tally().Runs).To(gomega.Equal(1))
		cancel()
		gomega.Expect(<-done).To(gomega.HaveOccurred())
		gomega.Expect(<-done).To(gomega.HaveOccurred())
		gomega.Eventually(func() int { return s.Tally().OpenConnections }, waitLimit).Should(gomega.Equal(0))
		gomega.Expect(s.Tally().Cancelled).To(gomega.BeNumerically(">=", 1))
		gomega.Expect(s.Tally().Wasted).To(gomega.BeNumerically(">", 0))
	})
})
