package authenticator_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/authenticator"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func TestAuthenticator(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "authenticator")
}

func Example() {
	a := authenticator.New([]declarer.Customer{{ID: "clinic", Keys: []declarer.KeyDigest{declarer.DigestKey("k-1")}}}, true)
	c, ok := a.Authenticate(declarer.DigestKey("k-1"))
	fmt.Println(c.ID, ok)
	_, ok = a.Authenticate(declarer.DigestKey("k-2"))
	fmt.Println(ok)
	// Output:
	// clinic true
	// false
}

var _ = ginkgo.Describe("an authenticator", func() {
	customers := []declarer.Customer{
		{ID: "one", Keys: []declarer.KeyDigest{declarer.DigestKey("a"), declarer.DigestKey("b")}},
		{ID: "two", Keys: []declarer.KeyDigest{declarer.DigestKey("c")}},
		{ID: "three"},
	}
	for _, c := range []struct {
		name string
		key  declarer.KeyDigest
		want identifier.CustomerID
	}{
		{"finds the holder of a first key", declarer.DigestKey("a"), "one"},
		{"finds the holder of a second key", declarer.DigestKey("b"), "one"},
		{"finds another holder", declarer.DigestKey("c"), "two"},
		{"knows no holder of a prefix", declarer.DigestKey(""), ""},
		// A request without a key has a zero digest, which must never match a customer without keys.
		{"knows no holder of a missing key", declarer.KeyDigest{}, ""},
	} {
		ginkgo.It(c.name, func() {
			found, ok := authenticator.New(customers, true).Authenticate(c.key)
			gomega.Expect(ok).To(gomega.Equal(c.want != ""))
			if ok {
				gomega.Expect(found.ID).To(gomega.Equal(c.want))
			}
		})
	}

	ginkgo.It("requires keys only if there are customers", func() {
		gomega.Expect(authenticator.New(nil, false).Required()).To(gomega.BeFalse())
		gomega.Expect(authenticator.New(customers, true).Required()).To(gomega.BeTrue())
		// A declaration whose last customer is removed must not open the routes to everyone.
		gomega.Expect(authenticator.New(nil, true).Required()).To(gomega.BeTrue())
	})
})
