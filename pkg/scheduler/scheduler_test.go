package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/scheduler"
)

func job(sequence uint32, rank identifier.Rank, deadline identifier.Instant) *scheduler.Job[int] {
	return &scheduler.Job[int]{ID: identifier.AttemptID{Request: "q", Sequence: sequence}, Rank: rank, Deadline: deadline}
}

var _ = ginkgo.Describe("order", func() {
	cases := []struct {
		name    string
		jobs    []*scheduler.Job[int]
		remove  []uint32
		now     identifier.Instant
		taken   []uint32
		expired []uint32
	}{
		{"urgent first", []*scheduler.Job[int]{job(1, 2, 10), job(2, 1, 10), job(3, 0, 10)}, nil, 0, []uint32{3, 2, 1}, nil},
		{"earliest deadline first", []*scheduler.Job[int]{job(1, 0, 30), job(2, 0, 10), job(3, 0, 20)}, nil, 0, []uint32{2, 3, 1}, nil},
		{"equal deadlines in order of arrival", []*scheduler.Job[int]{job(1, 0, 9), job(2, 0, 9), job(3, 0, 9)}, nil, 0, []uint32{1, 2, 3}, nil},
		{"removed jobs are not returned", []*scheduler.Job[int]{job(1, 0, 9), job(2, 0, 8), job(3, 1, 9)}, []uint32{2, 3, 7}, 0, []uint32{1}, nil},
		{"expired jobs are removed", []*scheduler.Job[int]{job(1, 0, 9), job(2, 2, 5), job(3, 1, 5)}, nil, 5, []uint32{1}, []uint32{3, 2}},
		{"a job is added once", []*scheduler.Job[int]{job(1, 0, 9), job(1, 0, 9)}, nil, 0, []uint32{1}, nil},
		{"a full queue rejects jobs", []*scheduler.Job[int]{job(1, 0, 1), job(2, 0, 2), job(3, 0, 3), job(4, 0, 4), job(5, 1, 5)}, nil, 0, []uint32{1, 2, 3, 5}, nil},
	}
	for _, c := range cases {
		ginkgo.It("applies the rule: "+c.name, func() {
			s := scheduler.New[int](3)
			for _, j := range c.jobs {
				s.Push(j)
			}
			for _, n := range c.remove {
				s.Remove(identifier.AttemptID{Request: "q", Sequence: n})
			}
			var expired, taken []uint32
			for j := s.Expire(c.now); j != nil; j = s.Expire(c.now) {
				expired = append(expired, j.ID.Sequence)
			}
			for j := s.Next(); j != nil; j = s.Next() {
				taken = append(taken, j.ID.Sequence)
			}
			gomega.Expect(expired).To(gomega.Equal(c.expired))
			gomega.Expect(taken).To(gomega.Equal(c.taken))
			gomega.Expect(s.Empty()).To(gomega.BeTrue())
		})
	}
})

var _ = ginkgo.Describe("floors", func() {
	cases := []struct {
		name   string
		floors [identifier.RankCount]identifier.Ratio
		costs  [identifier.RankCount]identifier.Micros
		busy   [identifier.RankCount]bool
		shares [identifier.RankCount]float64
	}{
		{"urgent gets what the other floors leave", [3]identifier.Ratio{0.5, 0.1, 0.2}, [3]identifier.Micros{6000, 6000, 6000}, [3]bool{true, true, true}, [3]float64{0.67, 0.11, 0.22}},
		{"floors count slot time, not jobs", [3]identifier.Ratio{0.5, 0.1, 0.1}, [3]identifier.Micros{2000, 40000, 9000}, [3]bool{true, true, true}, [3]float64{0.78, 0.11, 0.11}},
		{"an idle rank leaves its share to others", [3]identifier.Ratio{0.5, 0.3, 0.1}, [3]identifier.Micros{6000, 6000, 6000}, [3]bool{true, false, true}, [3]float64{0.89, 0, 0.11}},
		{"a floor of zero selects the default", [3]identifier.Ratio{}, [3]identifier.Micros{6000, 6000, 6000}, [3]bool{true, true, true}, [3]float64{0.78, 0.11, 0.11}},
		{"floors that are too large are scaled down", [3]identifier.Ratio{0.9, 0.9, 0.9}, [3]identifier.Micros{6000, 6000, 6000}, [3]bool{true, true, true}, [3]float64{0.15, 0.425, 0.425}},
	}
	for _, c := range cases {
		ginkgo.It("give each rank its share: "+c.name, func() {
			random := rand.New(rand.NewPCG(1, 1))
			s := scheduler.New[int](10)
			sequence := uint32(0)
			add := func(r identifier.Rank) {
				sequence++
				s.Push(job(sequence, r, identifier.Instant(sequence)))
			}
			for r, busy := range c.busy {
				s.SetFloor(identifier.Rank(r), c.floors[r])
				if busy {
					add(identifier.Rank(r))
					add(identifier.Rank(r))
				}
			}
			var usedByRank [identifier.RankCount]float64
			total := 0.0
			for range 20000 {
				j := s.Next()
				add(j.Rank)
				used := identifier.Micros(random.ExpFloat64() * float64(c.costs[j.Rank]))
				s.RecordSlotTime(j.Rank, j.Cost, used)
				usedByRank[j.Rank] += float64(used)
				total += float64(used)
				for r := range c.busy {
					gomega.Expect(s.Starved(identifier.Rank(r))).To(gomega.BeFalse())
				}
			}
			for r, share := range c.shares {
				gomega.Expect(usedByRank[r]/total).To(gomega.BeNumerically("~", share, 0.02), identifier.Rank(r).String())
			}
		})
	}
})

func BenchmarkPushNext(b *testing.B) {
	for _, length := range []int{1, 10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("length-%d", length), func(b *testing.B) {
			s := scheduler.New[int](length + 1)
			for i := range length {
				s.Push(job(uint32(i), 0, identifier.Instant(i)))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Push(job(uint32(i+length), 0, identifier.Instant(i+length)))
				j := s.Next()
				s.RecordSlotTime(j.Rank, j.Cost, 6000)
			}
		})
	}
}
