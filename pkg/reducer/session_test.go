package reducer_test

import (
	"flag"
	"os"
	"path/filepath"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/recorder"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

var update = flag.Bool("update", false, "rewrite the golden files of sessions")

// input is an event of a session and the instant at which it is reduced.
type input struct {
	at    identifier.Instant
	event reducer.Event
}

const ms = identifier.Instant(identifier.Millisecond)

var (
	lowerHalf = identifier.HashRange{From: 0, To: identifier.HashSpace / 2}
	upperHalf = identifier.HashRange{From: identifier.HashSpace / 2, To: identifier.HashSpace}
	snapshot  = identifier.Snapshot{Epoch: 1, Version: 7}
	hostOne   = reducer.Parameters{Host: "h-1", Domain: "fd-1", Strict: true}
)

func serverAnnounced(server identifier.ServerID, service identifier.ServiceID, r identifier.HashRange, versions ...identifier.IndexVersion) input {
	return input{0, reducer.ServerAnnounced{Announcement: leaser.Announcement{
		Server: server, Incarnation: 1, Sequence: 1, Service: service, Domain: "fd-1",
		Address: "127.0.0.1:1", Slots: 1, Connections: 2,
		Holdings: []leaser.Holding{{Epoch: 1, Range: r, Versions: versions}},
	}}}
}

// deskConfiguration configures a customer with two services, each with half of the hash space.
func deskConfiguration() input {
	ranks := []configurer.RankParameters{
		{Rank: "urgent", TimeoutMillis: 100, MinCoverage: 0.5},
		{Rank: "standard", TimeoutMillis: 1000, MinCoverage: 1},
		{Rank: "deferrable", TimeoutMillis: 10000, MinCoverage: 1},
	}
	return input{0, reducer.ConfigurationLoaded{
		Version: 3,
		Templates: []configurer.Template{{
			ID:    "t",
			Works: []configurer.Work{{Kind: "lookup", Rank: "urgent"}, {Kind: "archive", Rank: "standard"}},
			Ranks: ranks,
		}},
		Customers: []configurer.Customer{{
			ID: "desk", Template: "t",
			Partition: configurer.EvenPartition(1, []identifier.ServiceID{"low", "high"}),
		}},
	}}
}

// startInputs starts a host with the desk customer and one server for each of its services.
func startInputs() []input {
	return []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		deskConfiguration(),
		serverAnnounced("low-1", "low", lowerHalf, 6, 7),
		serverAnnounced("high-1", "high", upperHalf, 7),
	}
}

func queryArrived(at identifier.Instant, request identifier.RequestID, work identifier.WorkKind) input {
	return input{at, reducer.QueryArrived{
		Request: request, Customer: "desk", Work: work, Timeout: 50 * identifier.Millisecond, Repeatable: true,
	}}
}

func callServed(at identifier.Instant, request identifier.RequestID, sequence uint32, server identifier.ServerID, r identifier.HashRange, read identifier.Snapshot) input {
	return input{at, reducer.CallServed{
		Attempt: identifier.AttemptID{Request: request, Sequence: sequence},
		Server:  server, Snapshot: read, Range: r, Body: []byte(`{"rows":1}`),
	}}
}

// sessionInputs returns startInputs followed by the inputs.
func sessionInputs(inputs ...[]input) []input {
	all := startInputs()
	for _, list := range inputs {
		all = append(all, list...)
	}
	return all
}

var sessions = []struct {
	name   string
	inputs []input
}{
	{"full-answer", sessionInputs([]input{
		queryArrived(10*ms, "q", "lookup"),
		callServed(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		callServed(15*ms, "q", 2, "high-1", upperHalf, snapshot),
	})},
	{"late-part", sessionInputs([]input{
		queryArrived(10*ms, "q", "lookup"),
		callServed(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		{60 * ms, reducer.Woken{}},
		callServed(70*ms, "q", 2, "high-1", upperHalf, snapshot),
	})},
	{"duplicate-part", sessionInputs([]input{
		queryArrived(10*ms, "q", "lookup"),
		callServed(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		callServed(15*ms, "q", 1, "low-1", lowerHalf, snapshot),
		{16 * ms, reducer.AttemptServed{
			Attempt: identifier.AttemptID{Request: "q", Sequence: 1},
			Server:  "low-1", Snapshot: snapshot, Range: lowerHalf,
		}},
		callServed(17*ms, "q", 2, "high-1", upperHalf, snapshot),
	})},
	{"part-of-another-snapshot", sessionInputs([]input{
		queryArrived(10*ms, "q", "lookup"),
		callServed(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		callServed(15*ms, "q", 2, "high-1", upperHalf, identifier.Snapshot{Epoch: 1, Version: 8}),
		{30 * ms, reducer.Woken{}},
		{60 * ms, reducer.Woken{}},
	})},
	{"missing-service", []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		deskConfiguration(),
		serverAnnounced("low-1", "low", lowerHalf, 7),
		queryArrived(10*ms, "q", "lookup"),
		callServed(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		queryArrived(20*ms, "strict", "archive"),
		callServed(24*ms, "strict", 1, "low-1", lowerHalf, snapshot),
	}},
	{"timeout", sessionInputs([]input{
		queryArrived(10*ms, "q", "archive"),
		callServed(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		{60 * ms, reducer.Woken{}},
	})},
}

// expectGolden records a session, compares it with its golden file and replays the file.
func expectGolden(name string, p reducer.Parameters, inputs []input) {
	player := recorder.New(p)
	for _, i := range inputs {
		player.Play(i.at, i.event)
	}
	data, err := player.Session().Encode()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join("_fixtures", name+".yaml")
	if *update {
		gomega.Expect(os.WriteFile(file, data, 0o644)).To(gomega.Succeed())
	}
	golden, err := os.ReadFile(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(string(data)).To(gomega.Equal(string(golden)))

	read, err := recorder.Decode(golden)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	replayed, err := recorder.Replay(read).Encode()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(string(replayed)).To(gomega.Equal(string(golden)))
}

var _ = ginkgo.Describe("recorded sessions", func() {
	for _, s := range slices.Concat(sessions, slotSessions, querySessions) {
		ginkgo.It("match the golden file of "+s.name, func() {
			expectGolden(s.name, hostOne, s.inputs)
		})
	}
})
