package storer_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/storer"
)

// recordPadding is the number of padding bytes in a record, so that it spans several disk
// sectors.
const recordPadding = 3000

func records(from, count int) [][]byte {
	var list [][]byte
	for i := range count {
		list = append(list, []byte(fmt.Sprintf("record %d %s", from+i, strings.Repeat("x", recordPadding))))
	}
	return list
}

func open(folder string) (*storer.Storer, storer.Contents) {
	s, c, err := storer.Open(storer.Parameters{Folder: folder})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return s, c
}

// createFolder returns a new data folder with three frames of one record each, and the path
// of its segment.
func createFolder() (folder, segment string) {
	folder = filepath.Join(ginkgo.GinkgoT().TempDir(), "data")
	s, _ := open(folder)
	for i := range 3 {
		gomega.Expect(s.Append(records(i, 1))).To(gomega.Succeed())
	}
	gomega.Expect(s.Close()).To(gomega.Succeed())
	return folder, filepath.Join(folder, "segment-0000000000000001")
}

func flip(data []byte, at int) []byte {
	data[at] ^= 1
	return data
}

func zero(data []byte, from, to int) []byte {
	clear(data[from:to])
	return data
}

var _ = ginkgo.Describe("a data folder", func() {
	ginkgo.It("returns the stored snapshot and records", func() {
		folder, _ := createFolder()
		s, c := open(folder)
		gomega.Expect(c.Records).To(gomega.Equal(records(0, 3)))
		gomega.Expect(c.Snapshot).To(gomega.BeNil())
		gomega.Expect(s.Compact([]byte("state"), records(7, 1))).To(gomega.Succeed())
		gomega.Expect(s.Append(records(8, 2))).To(gomega.Succeed())
		gomega.Expect(s.Close()).To(gomega.Succeed())
		s, again := open(folder)
		defer s.Close()
		gomega.Expect(again.ReplicaID).To(gomega.Equal(c.ReplicaID))
		gomega.Expect(string(again.Snapshot)).To(gomega.Equal("state"))
		gomega.Expect(again.Records).To(gomega.Equal(records(7, 3)))
	})

	ginkgo.It("shrinks when it is compacted", func() {
		folder, _ := createFolder()
		s, _ := open(folder)
		defer s.Close()
		for i := range 60 {
			gomega.Expect(s.Append(records(i, 1))).To(gomega.Succeed())
		}
		before, err := s.Size()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Compact([]byte("state"), records(60, 1))).To(gomega.Succeed())
		after, err := s.Size()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.GinkgoWriter.Printf("folder: %d bytes before compaction, %d after\n", before, after)
		gomega.Expect(after).To(gomega.BeNumerically("<", 2*recordPadding))
		files, err := os.ReadDir(folder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(files).To(gomega.HaveLen(4))
	})

	ginkgo.It("gets a new replica ID when its disk is replaced", func() {
		folder, _ := createFolder()
		s, first := open(folder)
		gomega.Expect(s.Close()).To(gomega.Succeed())
		gomega.Expect(os.RemoveAll(folder)).To(gomega.Succeed())
		s, second := open(folder)
		defer s.Close()
		gomega.Expect(second.ReplicaID).NotTo(gomega.Equal(first.ReplicaID))
		gomega.Expect(second.Records).To(gomega.BeEmpty())
	})

	ginkgo.It("can be opened by one process only", func() {
		folder, _ := createFolder()
		s, _ := open(folder)
		defer s.Close()
		_, _, err := storer.Open(storer.Parameters{Folder: folder})
		var locked *storer.LockedError
		gomega.Expect(errors.As(err, &locked)).To(gomega.BeTrue(), "%v", err)
	})
})

// frameSize is the size of a frame with one record, in bytes.
const frameSize = recordPadding + 25

var damageCases = []struct {
	name   string
	damage func([]byte) []byte
	// kept is the number of records that remain; -1 if the folder is rejected as corrupt at
	// the offset.
	kept   int
	offset int64
}{
	{"no damage", func(d []byte) []byte { return d }, 3, 0},
	{"last frame truncated in its payload", func(d []byte) []byte { return d[:len(d)-5] }, 2, 0},
	{"last frame truncated in its header", func(d []byte) []byte { return d[:2*frameSize+5] }, 2, 0},
	{"a sector of the last frame not written", func(d []byte) []byte { return zero(d, 7168, 7680) }, 2, 0},
	{"header of the last frame not written", func(d []byte) []byte { return zero(d, 2*frameSize, 6144) }, 2, 0},
	{"file extended by unwritten sectors", func(d []byte) []byte { return append(d, make([]byte, 2000)...) }, 3, 0},
	{"bit flipped in the first payload", func(d []byte) []byte { return flip(d, 100) }, -1, 0},
	{"bit flipped in the first length", func(d []byte) []byte { return flip(d, 0) }, -1, 0},
	{"bit flipped in the middle payload", func(d []byte) []byte { return flip(d, frameSize+100) }, -1, frameSize},
	{"bit flipped in the middle header", func(d []byte) []byte { return flip(d, frameSize+2) }, -1, frameSize},
	{"bit flipped in the fully written last payload", func(d []byte) []byte { return flip(d, 2*frameSize+100) }, -1, 2 * frameSize},
	{"a zeroed sector in the middle frame", func(d []byte) []byte { return zero(d, 4096, 4608) }, -1, frameSize},
	{"middle frame missing", func(d []byte) []byte { return append(d[:frameSize:frameSize], d[2*frameSize:]...) }, -1, frameSize},
	{"first frame written twice", func(d []byte) []byte { return append(d[:frameSize:frameSize], d...) }, -1, frameSize},
}

var _ = ginkgo.Describe("a damaged segment", func() {
	for _, c := range damageCases {
		ginkgo.It("is repaired or rejected: "+c.name, func() {
			folder, segment := createFolder()
			data, err := os.ReadFile(segment)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(data).To(gomega.HaveLen(3 * frameSize))
			damaged := c.damage(data)
			gomega.Expect(os.WriteFile(segment, damaged, 0o600)).To(gomega.Succeed())
			s, contents, err := storer.Open(storer.Parameters{Folder: folder})
			if c.kept < 0 {
				var corrupt *storer.CorruptError
				gomega.Expect(errors.As(err, &corrupt)).To(gomega.BeTrue(), "%v", err)
				gomega.Expect(corrupt.File).To(gomega.Equal(segment))
				gomega.Expect(corrupt.Offset).To(gomega.Equal(c.offset))
				left, err := os.ReadFile(segment)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(left).To(gomega.Equal(damaged))
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(contents.Records).To(gomega.HaveExactElements(records(0, c.kept)))
			gomega.Expect(s.Append(records(9, 1))).To(gomega.Succeed())
			gomega.Expect(s.Close()).To(gomega.Succeed())
			s, contents = open(folder)
			defer s.Close()
			gomega.Expect(contents.Records).To(gomega.Equal(append(records(0, 3)[:c.kept], records(9, 1)...)))
		})
	}

	for _, name := range []string{"snapshot-0000000000000002", "replica-id"} {
		ginkgo.It("is rejected when it is "+name, func() {
			folder, _ := createFolder()
			s, _ := open(folder)
			gomega.Expect(s.Compact([]byte("state"), nil)).To(gomega.Succeed())
			gomega.Expect(s.Close()).To(gomega.Succeed())
			file := filepath.Join(folder, name)
			data, err := os.ReadFile(file)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, content := range [][]byte{flip(data, len(data)-1), nil} {
				gomega.Expect(os.WriteFile(file, content, 0o600)).To(gomega.Succeed())
				_, _, err = storer.Open(storer.Parameters{Folder: folder})
				var corrupt *storer.CorruptError
				gomega.Expect(errors.As(err, &corrupt)).To(gomega.BeTrue(), "%v", err)
				gomega.Expect(corrupt.File).To(gomega.Equal(file))
			}
		})
	}
})

// limitedFile fails with ENOSPC once more than space bytes are written, and with EIO after a
// number of syncs.
type limitedFile struct {
	storer.File
	space    int
	syncs    int
	attempts int
}

func (f *limitedFile) Write(data []byte) (int, error) {
	f.attempts++
	if len(data) > f.space {
		n, _ := f.File.Write(data[:f.space])
		f.space = 0
		return n, syscall.ENOSPC
	}
	f.space -= len(data)
	return f.File.Write(data)
}

func (f *limitedFile) Sync() error {
	f.syncs--
	if f.syncs < 0 {
		return syscall.EIO
	}
	return f.File.Sync()
}

var _ = ginkgo.Describe("a disk that is full temporarily", func() {
	for _, c := range []struct {
		name string
		// space is the free space in bytes at first, retries the number of retries after
		// which there is enough space, and maxRetries the number of retries that are allowed.
		space, retries, maxRetries int
		kept                       int
	}{
		{"accepts all records once there is space", frameSize + 100, 3, 3, 3},
		{"accepts all records when it was full at the first write", 0, 1, 3, 3},
		{"fails when no more retries are allowed", frameSize + 100, 5, 2, 1},
	} {
		ginkgo.It(c.name, func() {
			folder := filepath.Join(ginkgo.GinkgoT().TempDir(), "data")
			var file *limitedFile
			retries := 0
			s, _, err := storer.Open(storer.Parameters{
				Folder: folder,
				WrapSegment: func(f storer.File) storer.File {
					file = &limitedFile{File: f, space: c.space, syncs: 99}
					return file
				},
				RetryWrite: func(cause error) bool {
					gomega.Expect(errors.Is(cause, syscall.ENOSPC)).To(gomega.BeTrue())
					retries++
					if retries >= c.retries {
						file.space = 99 * frameSize
					}
					return retries <= c.maxRetries
				},
			})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for i := range 3 {
				err = s.Append(records(i, 1))
			}
			gomega.Expect(err == nil).To(gomega.Equal(c.kept == 3))
			gomega.Expect(s.Close()).To(gomega.Succeed())
			s, contents := open(folder)
			defer s.Close()
			gomega.Expect(contents.Records).To(gomega.HaveExactElements(records(0, c.kept)))
		})
	}
})

var _ = ginkgo.Describe("a failing disk", func() {
	cases := []struct {
		name         string
		space, syncs int
		cause        error
		kept         int
	}{
		{"full at the first write", 0, 99, syscall.ENOSPC, 0},
		{"full in the second frame", frameSize + 100, 99, syscall.ENOSPC, 1},
		{"second sync fails", 99 * frameSize, 1, syscall.EIO, 2},
	}
	for _, c := range cases {
		ginkgo.It("is reported and not written to again: "+c.name, func() {
			folder := filepath.Join(ginkgo.GinkgoT().TempDir(), "data")
			var file *limitedFile
			s, _, err := storer.Open(storer.Parameters{Folder: folder, WrapSegment: func(f storer.File) storer.File {
				file = &limitedFile{File: f, space: c.space, syncs: c.syncs}
				return file
			}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for i := range 3 {
				err = s.Append(records(i, 1))
			}
			var failed *storer.OperationError
			gomega.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(errors.Is(err, c.cause)).To(gomega.BeTrue(), "%v", err)
			attempts := file.attempts
			gomega.Expect(s.Compact([]byte("state"), nil)).To(gomega.MatchError(err))
			gomega.Expect(file.attempts).To(gomega.Equal(attempts))
			gomega.Expect(s.Close()).To(gomega.Succeed())
			s, contents := open(folder)
			defer s.Close()
			gomega.Expect(contents.Records).To(gomega.HaveExactElements(records(0, c.kept)))
		})
	}
})
