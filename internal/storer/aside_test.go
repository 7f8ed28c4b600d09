package storer_test

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/storer"
)

var _ = ginkgo.Describe("a file beside the log", func() {
	for _, c := range []struct {
		name   string
		saved  []string
		damage func([]byte) []byte
		loaded string
		fails  bool
	}{
		{"is not there at first", nil, nil, "", false},
		{"is read back", []string{"one"}, nil, "one", false},
		{"takes the place of the one before", []string{"one", "two"}, nil, "two", false},
		{"is not used when it is damaged", []string{"one"}, func(d []byte) []byte { return flip(d, len(d)-1) }, "", true},
		{"is not used when it is cut short", []string{"one"}, func(d []byte) []byte { return d[:len(d)-1] }, "", true},
	} {
		ginkgo.It(c.name, func() {
			folder := filepath.Join(ginkgo.GinkgoT().TempDir(), "data")
			s, _ := open(folder)
			for _, text := range c.saved {
				gomega.Expect(s.SaveAside("list", []byte(text))).To(gomega.Succeed())
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
			data, err := s.LoadAside("list")
			var corrupt *storer.CorruptError
			gomega.Expect(errors.As(err, &corrupt)).To(gomega.Equal(c.fails))
			gomega.Expect(string(data)).To(gomega.Equal(c.loaded))
		})
	}
})
