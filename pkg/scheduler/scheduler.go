// Package scheduler orders the work that waits for the slots of one backend server.
//
// Work has a rank and a deadline. The most urgent rank goes first, and within a
// rank the earliest deadline; since all parts of a query share its deadline,
// every server orders the queries of a rank alike. Each rank has a floor: the
// share of slot time that it gets while it has work, however much more urgent
// work waits. A rank earns its floor's share of all slot time that is spent while it
// waits; once it has earned the cost of one job, its next job is due and goes first.
//
// Queues are bounded per rank. Adding, removing by id, expiring and taking the
// next job each cost O(log n) in the length of one queue.
//
// # Usage
//
//	s := scheduler.New[string](100)
//	s.Push(&scheduler.Job[string]{ID: id, Rank: identifier.Urgent, Deadline: deadline, Payload: "work"})
//	for job := s.Expire(now); job != nil; job = s.Expire(now) {
//		...
//	}
//	job := s.Next()
//	s.Spend(job.Rank, job.Cost, spent)
package scheduler

import (
	"container/heap"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// DefaultFloor is the floor of a rank whose policy sets none.
	DefaultFloor identifier.Ratio = 0.1
	// maxLowerFloors bounds the sum of the floors of all ranks but urgent; larger ones
	// are scaled down to it.
	maxLowerFloors identifier.Ratio = 0.9
	// floorMargin raises the floors of all ranks but urgent: measured slot time contains the
	// ways to the server and back, so a share of it is less of the server's own time.
	floorMargin identifier.Ratio = 1.1
	// maxEarned bounds what a rank saves up, in jobs.
	maxEarned = 2
	// starvationFactor is how many times the slot time between two jobs at the floor
	// a rank may wait before it counts as starved.
	starvationFactor = 10
	// firstCost is the assumed slot time of a job before any has been measured.
	firstCost = 5 * identifier.Millisecond
	// outlierFactor bounds what one job adds to the mean cost, in mean costs; a host that
	// slept saw its calls last for as long.
	outlierFactor = 4
	// costWeight is the weight of the past in the mean cost against one new job.
	costWeight = 15
)

// Job is work that waits.
type Job[T any] struct {
	ID       identifier.AttemptID
	Rank     identifier.Rank
	Deadline identifier.Instant
	Payload  T
	// Cost is the slot time that was charged when the job was taken, in microseconds.
	Cost identifier.Micros

	order uint64
	index int
}

// Scheduler holds the waiting jobs of one server. It is not safe for concurrent use.
type Scheduler[T any] struct {
	limit  int
	queues [identifier.RankCount]queue[T]
	jobs   map[identifier.AttemptID]*Job[T]
	floors [identifier.RankCount]identifier.Ratio
	// earned is the slot time that a rank may still claim by its floor, in microseconds.
	earned [identifier.RankCount]identifier.Micros
	costs  [identifier.RankCount]identifier.Micros
	// passed is the expected slot time of the other ranks' jobs that were taken while
	// a rank waited, since its own last one, in microseconds.
	passed [identifier.RankCount]identifier.Micros
	order  uint64
}

// New returns a Scheduler that holds at most limit jobs of each rank.
func New[T any](limit int) *Scheduler[T] {
	s := &Scheduler[T]{limit: limit, jobs: map[identifier.AttemptID]*Job[T]{}}
	for r := range s.floors {
		s.floors[r] = DefaultFloor
		s.costs[r] = firstCost
	}
	return s
}

// SetFloor sets the floor of a rank; 0 stands for DefaultFloor.
func (s *Scheduler[T]) SetFloor(r identifier.Rank, floor identifier.Ratio) {
	if floor <= 0 {
		floor = DefaultFloor
	}
	s.floors[r] = floor
}

// Floor returns the share of the measured slot time that a rank gets while it has
// work. It is above the floor that was set by the margin, and below it where the floors
// of the lower ranks leave too little for urgent work.
func (s *Scheduler[T]) Floor(r identifier.Rank) identifier.Ratio {
	var lower identifier.Ratio
	for _, f := range s.floors[identifier.Urgent+1:] {
		lower += f * floorMargin
	}
	scale := min(1, maxLowerFloors/lower)
	if r == identifier.Urgent {
		return min(s.floors[r], 1-lower*scale)
	}
	return s.floors[r] * floorMargin * scale
}

// Push adds a job. It reports false, and adds nothing, when the queue of its rank is full.
// A job whose id already waits is not added again.
func (s *Scheduler[T]) Push(j *Job[T]) bool {
	if _, ok := s.jobs[j.ID]; ok {
		return true
	}
	if len(s.queues[j.Rank]) >= s.limit {
		return false
	}
	s.order++
	j.order = s.order
	s.jobs[j.ID] = j
	if len(s.queues[j.Rank]) == 0 {
		s.passed[j.Rank] = 0
	}
	heap.Push(&s.queues[j.Rank], j)
	return true
}

// Remove takes a job out by its id; it returns nil when the job does not wait.
func (s *Scheduler[T]) Remove(id identifier.AttemptID) *Job[T] {
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	delete(s.jobs, id)
	heap.Remove(&s.queues[j.Rank], j.index)
	return j
}

// Waits reports whether the job waits.
func (s *Scheduler[T]) Waits(id identifier.AttemptID) bool {
	_, ok := s.jobs[id]
	return ok
}

// Next takes the job that goes next and charges its expected slot time. It
// returns nil when none waits.
func (s *Scheduler[T]) Next() *Job[T] {
	rank, due := s.pick()
	if len(s.queues[rank]) == 0 {
		return nil
	}
	cost := s.costs[rank]
	s.charge(rank, cost)
	if !due {
		// Work beyond the floor is free, so it never delays later work by its floor.
		s.earned[rank] = max(s.earned[rank], 0)
	}
	s.pass(rank, cost)
	j := heap.Pop(&s.queues[rank]).(*Job[T])
	delete(s.jobs, j.ID)
	j.Cost = cost
	return j
}

// pass counts the slot time of a job that goes before the waiting jobs of other ranks.
func (s *Scheduler[T]) pass(rank identifier.Rank, cost identifier.Micros) {
	for r := range s.passed {
		s.passed[r] += cost
	}
	s.passed[rank] = 0
}

// NextRank returns the rank of the job that goes next; it reports false when none waits.
func (s *Scheduler[T]) NextRank() (identifier.Rank, bool) {
	rank, _ := s.pick()
	return rank, len(s.queues[rank]) > 0
}

// pick returns the rank that goes next, and whether it goes by its floor.
func (s *Scheduler[T]) pick() (identifier.Rank, bool) {
	var best identifier.Rank
	var most float64
	for r := range s.queues {
		jobs := float64(s.earned[r]) / float64(s.costs[r])
		if len(s.queues[r]) > 0 && jobs >= 1 && jobs > most {
			best, most = identifier.Rank(r), jobs
		}
	}
	if most > 0 {
		return best, true
	}
	for r := range s.queues {
		if len(s.queues[r]) > 0 {
			return identifier.Rank(r), false
		}
	}
	return 0, false
}

// charge takes spent slot time from a rank and lets every rank with work earn its share.
func (s *Scheduler[T]) charge(rank identifier.Rank, spent identifier.Micros) {
	s.earned[rank] -= spent
	for r := range s.queues {
		if len(s.queues[r]) == 0 {
			continue
		}
		share := identifier.Micros(float64(s.Floor(identifier.Rank(r))) * float64(spent))
		s.earned[r] = min(s.earned[r]+share, maxEarned*s.costs[r])
	}
}

// Spend corrects the charge for a job by the slot time that it took, in
// microseconds. The charge for a job that the server refused stays as it is, so that a server
// that refuses all its work still gets work of every rank.
func (s *Scheduler[T]) Spend(rank identifier.Rank, charged, spent identifier.Micros) {
	s.charge(rank, spent-charged)
	s.earned[rank] = max(s.earned[rank], -maxEarned*s.costs[rank])
	typical := min(spent, outlierFactor*s.costs[rank])
	s.costs[rank] = max((costWeight*s.costs[rank]+typical)/(costWeight+1), 1)
}

// Starved reports whether a rank has waited for much longer than its floor allows.
func (s *Scheduler[T]) Starved(r identifier.Rank) bool {
	turn := float64(s.costs[r])/float64(s.Floor(r)) + float64(slices.Max(s.costs[:]))
	return len(s.queues[r]) > 0 && float64(s.passed[r]) > starvationFactor*turn
}

// Expire takes out a job whose deadline has come; it returns nil when there is none.
func (s *Scheduler[T]) Expire(now identifier.Instant) *Job[T] {
	for r := range s.queues {
		if len(s.queues[r]) > 0 && s.queues[r][0].Deadline <= now {
			return s.Remove(s.queues[r][0].ID)
		}
	}
	return nil
}

// NextDeadline returns the earliest deadline of all jobs, or identifier.Never.
func (s *Scheduler[T]) NextDeadline() identifier.Instant {
	next := identifier.Never
	for r := range s.queues {
		if len(s.queues[r]) > 0 {
			next = min(next, s.queues[r][0].Deadline)
		}
	}
	return next
}

// Length returns how many jobs of the rank wait.
func (s *Scheduler[T]) Length(r identifier.Rank) int {
	return len(s.queues[r])
}

// Empty reports whether no job waits.
func (s *Scheduler[T]) Empty() bool {
	return len(s.jobs) == 0
}

// Select returns the waiting jobs that match, by rank and then in order of arrival. It
// visits every job: it is for rare events such as the loss of a host.
func (s *Scheduler[T]) Select(matches func(*Job[T]) bool) []*Job[T] {
	var selected []*Job[T]
	for r := range s.queues {
		selected = append(selected, s.queues[r].inOrder(matches)...)
	}
	return selected
}
