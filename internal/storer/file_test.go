package storer_test

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/storer"
)

var _ = ginkgo.Describe("an auxiliary file of the data folder", func() {
	for _, c := range []struct {
		name   string
		saved  []string
		damage func([]byte) []byte
		loaded string
		fails  bool
	}{
		{"does not exist in a new folder", nil, nil, "", false},
		{"is read back", []string{"one"}, nil, "one", false},
		{"replaces the earlier file", []string{"one", "two"}, nil, "two", false},
		{"is rejected when it is damaged", []string{"one"}, func(d []byte) []byte { return flip(d, len(d)-1) }, "", true},
		{"is rejected when it is truncated", []string{"one"}, func(d []byte) []byte { return d[:len(d)-1] }, "", true},
	} {
		ginkgo.It(c.name, func() {
			folder := filepath.Join(ginkgo.GinkgoT().TempDir(), "data")
			s, _ := open(folder)
			for _, text := range c.saved {
				gomega.Expect(s.SaveFile("list", []byte(text))).To(gomega.Succeed())
			}
			gomega.Expect(s.Close()).To(gomega.Succeed())
			if c.damage != nil {
				file := filepath.Join(folder, "list")
				data, err := os.ReadFile(file)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(os.WriteFile(file, c.damage(data), 0o600)).To(gomega.Succeed())
			}
			s, _ = open(folder)
			defer s.Close()
			data, err := s.LoadFile("list")
			var corrupt *storer.CorruptError
			gomega.Expect(errors.As(err, &corrupt)).To(gomega.Equal(c.fails))
			gomega.Expect(string(data)).To(gomega.Equal(c.loaded))
		})
	}
})
