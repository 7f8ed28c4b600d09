// Package scheduler orders the jobs that wait for the slots of one backend server.
//
// Jobs have a rank and a deadline. The most urgent rank goes first and, within a rank, the
// earliest deadline. All pieces of a query have the same deadline, so every server orders the
// queries of a rank in the same way. Each rank has a floor, which is the minimum share of slot
// time that it gets while it has jobs, however many more urgent jobs wait. While a rank waits
// it accrues credit: its floor's share of all slot time used. Once the credit covers the cost
// of one job, the next job of the rank is due and goes first.
//
// The length of each rank's queue is limited. Adding a job, removing one by id,
// expiring one and taking the next one each cost O(log n) in the length of one queue.
//
// # Usage
//
//	s := scheduler.New[string](100)
//	s.Push(&scheduler.Job[string]{ID: id, Rank: identifier.Urgent, Deadline: deadline, Payload: "work"})
//	for job := s.Expire(now); job != nil; job = s.Expire(now) {
//		...
//	}
//	job := s.Next()
//	s.RecordSlotTime(job.Rank, job.Cost, spent)
package scheduler

import (
	"container/heap"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// DefaultFloor is the floor of a rank whose policy sets none.
	DefaultFloor identifier.Ratio = 0.1
	// maxLowerFloorSum limits the sum of the floors of all ranks below urgent. Larger
	// sums are scaled down to it.
	maxLowerFloorSum identifier.Ratio = 0.9
	// floorMargin multiplies the floors of all ranks below urgent; it is above 1. Measured slot
	// time includes the round trip to the server, so a share of it is a smaller share of the
	// server's processing time.
	floorMargin identifier.Ratio = 1.1
	// maxCreditJobs limits the credit and the debt of a rank, as a multiple of the mean slot
	// time of its jobs.
	maxCreditJobs = 2
	// starvationFactor is the wait after which a rank counts as starved, as a multiple of the
	// slot time that passes between two of its jobs when it gets only its floor.
	starvationFactor = 10
	// initialSlotTime is the assumed slot time of a job before one has been measured.
	initialSlotTime = 5 * identifier.Millisecond
	// outlierFactor limits the slot time that one job contributes to the mean, as a multiple of
	// the mean. A host that was suspended measures the suspension as part of its calls.
	outlierFactor = 4
	// historyWeight is the weight of the previous mean slot time relative to one new job.
	historyWeight = 15
)

// Job is a unit of work that waits for a slot.
type Job[T any] struct {
	ID       identifier.AttemptID
	Rank     identifier.Rank
	Deadline identifier.Instant
	Payload  T
	// Cost is the slot time charged when Next returned the job, in microseconds.
	Cost identifier.Micros

	// arrival numbers the jobs in the order in which they were pushed.
	arrival uint64
	index   int
}

// Scheduler holds the waiting jobs of one server. It is not safe for concurrent use.
type Scheduler[T any] struct {
	limit  int
	queues [identifier.RankCount]queue[T]
	jobs   map[identifier.AttemptID]*Job[T]
	floors [identifier.RankCount]identifier.Ratio
	// credit is the slot time that a rank is still owed by its floor, in microseconds. It
	// is negative after jobs that used more slot time than was charged for them.
	credit [identifier.RankCount]identifier.Micros
	// meanSlotTimes are the mean slot times of the jobs by rank, in microseconds.
	meanSlotTimes [identifier.RankCount]identifier.Micros
	// bypassed is the expected slot time of the jobs of other ranks that were taken while
	// a rank waited, since its own last job was taken, in microseconds.
	bypassed    [identifier.RankCount]identifier.Micros
	lastArrival uint64
}

// New returns a Scheduler that holds at most limit jobs of each rank.
func New[T any](limit int) *Scheduler[T] {
	s := &Scheduler[T]{limit: limit, jobs: map[identifier.AttemptID]*Job[T]{}}
	for r := range s.floors {
		s.floors[r] = DefaultFloor
		s.meanSlotTimes[r] = initialSlotTime
	}
	return s
}

// SetFloor sets the floor of a rank; 0 selects DefaultFloor.
func (s *Scheduler[T]) SetFloor(r identifier.Rank, floor identifier.Ratio) {
	if floor <= 0 {
		floor = DefaultFloor
	}
	s.floors[r] = floor
}

// Floor returns the effective floor: the share of the measured slot time that a rank
// gets while it has jobs. For ranks below urgent it is the configured floor times
// floorMargin, scaled down if the sum of these floors exceeds maxLowerFloorSum. For
// urgent it is the configured floor, or what the other ranks leave if that is less.
func (s *Scheduler[T]) Floor(r identifier.Rank) identifier.Ratio {
	var lower identifier.Ratio
	for _, f := range s.floors[identifier.Urgent+1:] {
		lower += f * floorMargin
	}
	scale := min(1, maxLowerFloorSum/lower)
	if r == identifier.Urgent {
		return min(s.floors[r], 1-lower*scale)
	}
	return s.floors[r] * floorMargin * scale
}

// Push adds a job. It returns false without adding the job if the queue of its rank is
// full. A job whose id is already queued is not added again.
func (s *Scheduler[T]) Push(j *Job[T]) bool {
	if _, ok := s.jobs[j.ID]; ok {
		return true
	}
	if len(s.queues[j.Rank]) >= s.limit {
		return false
	}
	s.lastArrival++
	j.arrival = s.lastArrival
	s.jobs[j.ID] = j
	if len(s.queues[j.Rank]) == 0 {
		s.bypassed[j.Rank] = 0
	}
	heap.Push(&s.queues[j.Rank], j)
	return true
}

// Remove removes the job with the id and returns it, or nil if it isn't queued.
func (s *Scheduler[T]) Remove(id identifier.AttemptID) *Job[T] {
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	delete(s.jobs, id)
	heap.Remove(&s.queues[j.Rank], j.index)
	return j
}

// Contains reports whether the job with the id is queued.
func (s *Scheduler[T]) Contains(id identifier.AttemptID) bool {
	_, ok := s.jobs[id]
	return ok
}

// Next removes the next job from its queue and charges its expected slot time to its
// rank. It returns nil if no job is queued.
func (s *Scheduler[T]) Next() *Job[T] {
	rank, due := s.nextRank()
	if len(s.queues[rank]) == 0 {
		return nil
	}
	cost := s.meanSlotTimes[rank]
	s.charge(rank, cost)
	if !due {
		// A job beyond the floor may use up the credit but leaves no debt that would delay
		// later jobs of the rank.
		s.credit[rank] = max(s.credit[rank], 0)
	}
	s.recordBypass(rank, cost)
	j := heap.Pop(&s.queues[rank]).(*Job[T])
	delete(s.jobs, j.ID)
	j.Cost = cost
	return j
}

// recordBypass records the slot time of a job that goes before the waiting jobs of
// other ranks.
func (s *Scheduler[T]) recordBypass(rank identifier.Rank, cost identifier.Micros) {
	for r := range s.bypassed {
		s.bypassed[r] += cost
	}
	s.bypassed[rank] = 0
}

// NextRank returns the rank of the next job. It returns false if no job is queued.
func (s *Scheduler[T]) NextRank() (identifier.Rank, bool) {
	rank, _ := s.nextRank()
	return rank, len(s.queues[rank]) > 0
}

// nextRank returns the rank of the next job, and whether its floor makes the job due.
func (s *Scheduler[T]) nextRank() (identifier.Rank, bool) {
	var best identifier.Rank
	var maxJobs float64
	for r := range s.queues {
		jobs := float64(s.credit[r]) / float64(s.meanSlotTimes[r])
		if len(s.queues[r]) > 0 && jobs >= 1 && jobs > maxJobs {
			best, maxJobs = identifier.Rank(r), jobs
		}
	}
	if maxJobs > 0 {
		return best, true
	}
	for r := range s.queues {
		if len(s.queues[r]) > 0 {
			return identifier.Rank(r), false
		}
	}
	return 0, false
}

// charge deducts used slot time from the credit of a rank, and adds to the credit of
// every rank that has jobs its floor's share of that time.
func (s *Scheduler[T]) charge(rank identifier.Rank, spent identifier.Micros) {
	s.credit[rank] -= spent
	for r := range s.queues {
		if len(s.queues[r]) == 0 {
			continue
		}
		share := identifier.Micros(float64(s.Floor(identifier.Rank(r))) * float64(spent))
		s.credit[r] = min(s.credit[r]+share, maxCreditJobs*s.meanSlotTimes[r])
	}
}

// RecordSlotTime replaces the expected slot time charged for a job by the slot time that it
// used, both in microseconds. It must not be called for a job that the server refused. The
// charge for such a job stays, so that a server that refuses every job still gets jobs of every
// rank.
func (s *Scheduler[T]) RecordSlotTime(rank identifier.Rank, charged, spent identifier.Micros) {
	s.charge(rank, spent-charged)
	s.credit[rank] = max(s.credit[rank], -maxCreditJobs*s.meanSlotTimes[rank])
	capped := min(spent, outlierFactor*s.meanSlotTimes[rank])
	s.meanSlotTimes[rank] = max((historyWeight*s.meanSlotTimes[rank]+capped)/(historyWeight+1), 1)
}

// Starved reports whether a rank has waited more than starvationFactor times as long as
// its floor allows.
func (s *Scheduler[T]) Starved(r identifier.Rank) bool {
	interval := float64(s.meanSlotTimes[r])/float64(s.Floor(r)) + float64(slices.Max(s.meanSlotTimes[:]))
	return len(s.queues[r]) > 0 && float64(s.bypassed[r]) > starvationFactor*interval
}

// Expire removes and returns one job whose deadline is not after now, or nil if there is none.
func (s *Scheduler[T]) Expire(now identifier.Instant) *Job[T] {
	for r := range s.queues {
		if len(s.queues[r]) > 0 && s.queues[r][0].Deadline <= now {
			return s.Remove(s.queues[r][0].ID)
		}
	}
	return nil
}

// NextDeadline returns the earliest deadline of all queued jobs, or identifier.Never.
func (s *Scheduler[T]) NextDeadline() identifier.Instant {
	next := identifier.Never
	for r := range s.queues {
		if len(s.queues[r]) > 0 {
			next = min(next, s.queues[r][0].Deadline)
		}
	}
	return next
}

// Length returns the number of queued jobs of the rank.
func (s *Scheduler[T]) Length(r identifier.Rank) int {
	return len(s.queues[r])
}

// Empty reports whether no job is queued.
func (s *Scheduler[T]) Empty() bool {
	return len(s.jobs) == 0
}

// Select returns the matching jobs, ordered by rank and then by arrival, without removing
// them. It visits every job, so it is meant for rare events such as the loss of a host.
func (s *Scheduler[T]) Select(matches func(*Job[T]) bool) []*Job[T] {
	var selected []*Job[T]
	for r := range s.queues {
		selected = append(selected, s.queues[r].selectByArrival(matches)...)
	}
	return selected
}
