package loader_test

import (
	"os"
	"reflect"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
)

// fieldPaths returns the paths of all fields of a settings type, as in a settings file.
func fieldPaths(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var paths []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		paths = append(paths, prefix+name)
		paths = append(paths, fieldPaths(t.Field(i).Type, prefix+name+".")...)
	}
	return paths
}

var _ = ginkgo.Describe("the operators' page", func() {
	cases := []struct {
		name string
		kind reflect.Type
	}{
		{"settings of an entry host", reflect.TypeFor[loader.Settings]()},
		{"templates and customers", reflect.TypeFor[loader.CustomersFile]()},
	}
	for _, c := range cases {
		ginkgo.It("explains every field of the "+c.name, func() {
			page, err := os.ReadFile("../../docs/OPERATIONS.md")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			paths := fieldPaths(c.kind, "")
			gomega.Expect(paths).NotTo(gomega.BeEmpty())
			for _, path := range paths {
				gomega.Expect(string(page)).To(gomega.ContainSubstring("| `"+path+"` |"), path)
			}
		})
	}
})
