package executor

import (
	"runtime"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

func TestExecutor(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "executor")
}

// termStorage records the terms of the hard states that it stores.
type termStorage struct {
	terms []identifier.Term
	done  chan struct{}
	want  int
}

func (s *termStorage) Store(records []replicator.Record) error {
	for _, r := range records {
		s.terms = append(s.terms, r.(replicator.HardState).Term)
	}
	if len(s.terms) >= s.want {
		close(s.done)
	}
	return nil
}

var _ = ginkgo.Describe("the storage goroutine", func() {
	ginkgo.It("stores every record once and in order", func() {
		const count = 50000
		storage := &termStorage{done: make(chan struct{}), want: count}
		h := New(Parameters{TrafficStates: 1}, Dependencies{Storage: storage})
		h.group.Go(h.storeLoop)
		defer h.Stop()
		for i := range count {
			h.pendingRecords.put(reducer.StoreRecords{Records: []replicator.Record{replicator.HardState{Term: identifier.Term(i)}}})
			if i%3 == 0 {
				runtime.Gosched()
			}
		}
		gomega.Eventually(storage.done, 30*time.Second).Should(gomega.BeClosed())
		for i, term := range storage.terms {
			gomega.Expect(term).To(gomega.Equal(identifier.Term(i)))
		}
	})
})
