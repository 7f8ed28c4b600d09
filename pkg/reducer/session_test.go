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

var update = flag.Bool("update", false, "write the golden files of sessions anew")

// input is an event of a session and its instant.
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

func announced(server identifier.ServerID, service identifier.ServiceID, held identifier.HashRange, versions ...identifier.IndexVersion) input {
	return input{0, reducer.ServerAnnounced{Announcement: leaser.Announcement{
		Server: server, Incarnation: 1, Sequence: 1, Service: service, Domain: "fd-1",
		Address: "127.0.0.1:1", Slots: 1, Connections: 2,
		Holdings: []leaser.Holding{{Epoch: 1, Range: held, Versions: versions}},
	}}}
}

// desk is a customer of two services, each with half of the hash space.
func desk() input {
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

// started is a host with the desk customer and one server for each of its services.
func started() []input {
	return []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		desk(),
		announced("low-1", "low", lowerHalf, 6, 7),
		announced("high-1", "high", upperHalf, 7),
	}
}

func arrived(at identifier.Instant, request identifier.RequestID, work identifier.WorkKind) input {
	return input{at, reducer.QueryArrived{
		Request: request, Customer: "desk", Work: work, Timeout: 50 * identifier.Millisecond, Repeatable: true,
	}}
}

func served(at identifier.Instant, request identifier.RequestID, sequence uint32, server identifier.ServerID, held identifier.HashRange, read identifier.Snapshot) input {
	return input{at, reducer.CallServed{
		Attempt: identifier.AttemptID{Request: request, Sequence: sequence},
		Server:  server, Snapshot: read, Range: held, Body: []byte(`{"rows":1}`),
	}}
}

func session(inputs ...[]input) []input {
	all := started()
	for _, list := range inputs {
		all = append(all, list...)
	}
	return all
}

var sessions = []struct {
	name   string
	inputs []input
}{
	{"full-answer", session([]input{
		arrived(10*ms, "q", "lookup"),
		served(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		served(15*ms, "q", 2, "high-1", upperHalf, snapshot),
	})},
	{"late-part", session([]input{
		arrived(10*ms, "q", "lookup"),
		served(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		{60 * ms, reducer.Woken{}},
		served(70*ms, "q", 2, "high-1", upperHalf, snapshot),
	})},
	{"duplicate-part", session([]input{
		arrived(10*ms, "q", "lookup"),
		served(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		served(15*ms, "q", 1, "low-1", lowerHalf, snapshot),
		{16 * ms, reducer.AttemptServed{
			Attempt: identifier.AttemptID{Request: "q", Sequence: 1},
			Server:  "low-1", Snapshot: snapshot, Range: lowerHalf,
		}},
		served(17*ms, "q", 2, "high-1", upperHalf, snapshot),
	})},
	{"part-of-another-snapshot", session([]input{
		arrived(10*ms, "q", "lookup"),
		served(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		served(15*ms, "q", 2, "high-1", upperHalf, identifier.Snapshot{Epoch: 1, Version: 8}),
		{30 * ms, reducer.Woken{}},
		{60 * ms, reducer.Woken{}},
	})},
	{"missing-service", []input{
		{0, reducer.Started{Seed: 1}},
		{0, reducer.HostStarted{}},
		desk(),
		announced("low-1", "low", lowerHalf, 7),
		arrived(10*ms, "q", "lookup"),
		served(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		arrived(20*ms, "strict", "archive"),
		served(24*ms, "strict", 1, "low-1", lowerHalf, snapshot),
	}},
	{"timeout", session([]input{
		arrived(10*ms, "q", "archive"),
		served(14*ms, "q", 1, "low-1", lowerHalf, snapshot),
		{60 * ms, reducer.Woken{}},
	})},
}

// expectGolden plays a session, compares it with its golden file and replays that.
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

var _ = ginkgo.Describe("whole sessions", func() {
	for _, s := range slices.Concat(sessions, slotSessions, querySessions) {
		ginkgo.It("match the golden file of "+s.name, func() {
			expectGolden(s.name, hostOne, s.inputs)
		})
	}
})
