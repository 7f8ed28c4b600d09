package storer_test

import (
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/storer"
)

var _ = ginkgo.Describe("a write that fails while a snapshot is taken", func() {
	cases := []struct {
		name string
		// obstacle is the name of a folder that keeps the file from being written.
		obstacle string
	}{
		{"of the next segment", "segment-0000000000000002"},
		{"of the snapshot", "snapshot-0000000000000002"},
	}
	for _, c := range cases {
		ginkgo.It("is retried: "+c.name, func() {
			folder := ginkgo.GinkgoT().TempDir()
			obstacle := filepath.Join(folder, c.obstacle)
			failures := 0
			s, _, err := storer.Open(storer.Parameters{Folder: folder, RetryWrite: func(error) bool {
				if failures++; failures == 3 {
					gomega.Expect(os.RemoveAll(obstacle)).To(gomega.Succeed())
				}
				return failures < 10
			}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(s.Append(records(0, 2))).To(gomega.Succeed())
			gomega.Expect(os.MkdirAll(filepath.Join(obstacle, "file"), 0o700)).To(gomega.Succeed())
			gomega.Expect(s.Compact([]byte("state"), records(1, 1))).To(gomega.Succeed())
			gomega.Expect(failures).To(gomega.Equal(3))
			gomega.Expect(s.Append(records(2, 1))).To(gomega.Succeed())
			gomega.Expect(s.Close()).To(gomega.Succeed())
			s, contents := open(folder)
			defer s.Close()
			gomega.Expect(contents.Snapshot).To(gomega.Equal([]byte("state")))
			gomega.Expect(contents.Records).To(gomega.HaveExactElements(records(1, 2)))
		})
	}
})
