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
	// patience bounds each wait; it is far above what a wait takes.
	patience = 20 * time.Second
	// forever is a service time that no test waits out.
	forever = time.Hour
)

// start runs a server of one slot and two connections.
func start(serviceTime time.Duration) *faker.Server {
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

// attempt sends an attempt on a connection of its own.
func attempt(ctx context.Context, s *faker.Server, version, body string) (int, string, error) {
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
		conduct             faker.Conduct
		status, runs        int
	}{
		{"states what it served", "1", `"server":"s-1","range":{"from":0,"to":8},"snapshot":{"epoch":1,"version":1},"echo":"x"`, faker.Conduct{}, 200, 1},
		{"refuses a snapshot that it does not hold", "2", "snapshot-gone", faker.Conduct{}, 503, 0},
		{"sheds", "1", "not-run", faker.Conduct{Shed: true}, 503, 0},
		{"fails fast", "1", "internal error", faker.Conduct{Behaviours: []faker.Behaviour{faker.FailFast{}}}, 500, 1},
		{
			"does not crash without the marker", "1", "echo",
			faker.Conduct{Behaviours: []faker.Behaviour{faker.CrashOn{Marker: []byte("crash")}}},
			200, 1,
		},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			s := start(0)
			s.SetConduct(c.conduct)
			status, text, err := attempt(context.Background(), s, c.version, "x")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(status).To(gomega.Equal(c.status))
			gomega.Expect(text).To(gomega.ContainSubstring(c.text))
			gomega.Expect(s.Tally().Runs).To(gomega.Equal(c.runs))
		})
	}

	ginkgo.It("crashes on the marker and comes back at its address as a new incarnation", func() {
		s := start(0)
		address := s.Address()
		s.SetConduct(faker.Conduct{Behaviours: []faker.Behaviour{faker.CrashOn{Marker: []byte("crash")}}})
		_, _, err := attempt(context.Background(), s, "1", "crash")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Eventually(s.Down, patience).Should(gomega.BeFalse())
		status, _, err := attempt(context.Background(), s, "1", "x")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(s.Address()).To(gomega.Equal(address))
		gomega.Expect(s.Parameters().Incarnation).To(gomega.Equal(identifier.Incarnation(2)))
		gomega.Expect(s.Tally().Crashes).To(gomega.Equal(1))
	})

	ginkgo.It("keeps its slots and its connection cap, and counts what is cancelled", func() {
		s := start(forever)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, _, err := attempt(ctx, s, "1", "x")
				done <- err
			}()
		}
		gomega.Eventually(func() int { return s.Tally().Open }, patience).Should(gomega.Equal(2))
		_, _, err := attempt(context.Background(), s, "1", "x")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(s.Tally().Rejected).To(gomega.Equal(1))
		gomega.Eventually(s.ReportedLoad, patience).Should(gomega.Equal(2))
		gomega.Expect(s.Tally().Runs).To(gomega.Equal(1))
		cancel()
		gomega.Expect(<-done).To(gomega.HaveOccurred())
		gomega.Expect(<-done).To(gomega.HaveOccurred())
		gomega.Eventually(func() int { return s.Tally().Open }, patience).Should(gomega.Equal(0))
		gomega.Expect(s.Tally().Cancelled).To(gomega.BeNumerically(">=", 1))
		gomega.Expect(s.Tally().Wasted).To(gomega.BeNumerically(">", 0))
	})
})
