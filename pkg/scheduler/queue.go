package scheduler

import (
	"cmp"
	"slices"
)

// queue is a heap of the jobs of one rank, ordered by deadline and then by arrival.
type queue[T any] []*Job[T]

// Len returns the number of jobs.
func (q queue[T]) Len() int { return len(q) }

// Less reports whether the job at i is scheduled before the one at j.
func (q queue[T]) Less(i, j int) bool {
	if q[i].Deadline != q[j].Deadline {
		return q[i].Deadline < q[j].Deadline
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two jobs and updates their indices.
func (q queue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push appends a job; use heap.Push to keep the heap order.
func (q *queue[T]) Push(x any) {
	j := x.(*Job[T])
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop removes the last job; use heap.Pop to keep the heap order.
func (q *queue[T]) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// selectByArrival returns the matching jobs in order of arrival.
func (q queue[T]) selectByArrival(matches func(*Job[T]) bool) []*Job[T] {
	var jobs []*Job[T]
	for _, j := range q {
		if matches(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job[T]) int { return cmp.Compare(a.arrival, b.arrival) })
	return jobs
}
