package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// MaxKeyLength is the maximum length of a key, in bytes. Longer ones in requests are unknown without a
	// look at them.
	MaxKeyLength = 512
	// maxCustomerNameLength limits the length of a name, in bytes, since it is sent in a header.
	maxCustomerNameLength = 256
	// loggedDigestBytes is how much of a digest tells keys apart in messages.
	loggedDigestBytes = 4
)

// KeyDigest is the SHA-256 hash of a customer's key. Looking it up takes a time that says nothing of the keys
// that exist, since nobody can choose a digest.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. It doesn't allocate memory for a key of up to MaxKeyLength.
func DigestKey(key string) KeyDigest {
	if len(key) > MaxKeyLength {
		return sha256.Sum256([]byte(key))
	}
	var buffer [MaxKeyLength]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// DigestDeclaredKey returns the digest of a key that a declaration lists, or the zero digest, which makes the
// declaration invalid, if no request could present the key.
func DigestDeclaredKey(key string) KeyDigest {
	if key == "" || len(key) > MaxKeyLength || strings.TrimSpace(key) != key || strings.ContainsFunc(key, unicode.IsControl) {
		return KeyDigest{}
	}
	return DigestKey(key)
}

// String returns the first digits of the digest, which tell keys apart in messages.
func (k KeyDigest) String() string {
	return hex.EncodeToString(k[:loggedDigestBytes])
}

// Customer is a sender of requests, with its keys and its quota.
type Customer struct {
	ID   identifier.CustomerID `msgpack:"i"`
	Keys []KeyDigest           `msgpack:"k"`
	// Priority replaces the priority of the routes, unless it is nil; 0 is the most urgent.
	Priority *int `msgpack:"y"`
	// Rate is how many requests a second the customer may send to all entry hosts together, and Burst how many
	// more at once. There is no limit if Rate is 0, whatever the burst is.
	Rate  identifier.Rate `msgpack:"r"`
	Burst float64         `msgpack:"b"`
	// Homes are the regions that may see the customer's requests; empty means all.
	Homes []identifier.RegionID `msgpack:"e"`
}

// Limited reports whether the customer has a quota.
func (c *Customer) Limited() bool {
	return c.Rate > 0
}

// checkCustomers checks that the names and the keys of customers are unique, and their quotas.
func (d *Declaration) checkCustomers() error {
	names := map[identifier.CustomerID]bool{}
	owners := map[KeyDigest]identifier.CustomerID{}
	for i := range d.Customers {
		c := &d.Customers[i]
		object := fmt.Sprintf("customers[%d]", i)
		if err := c.check(object); err != nil {
			return err
		}
		if names[c.ID] {
			return &InvalidError{Object: object + ".id", Name: string(c.ID), Reason: "another customer has the same name"}
		}
		names[c.ID] = true
		for n, key := range c.Keys {
			if owner, taken := owners[key]; taken && owner != c.ID {
				return &InvalidError{
					Object: fmt.Sprintf("%s.keys[%d]", object, n), Name: string(c.ID),
					Reason: fmt.Sprintf("customer %q has the same key (digest %s)", owner, key),
				}
			}
			owners[key] = c.ID
		}
	}
	return nil
}

func (c *Customer) check(object string) error {
	invalid := func(field, reason string) error {
		return &InvalidError{Object: object + field, Name: string(c.ID), Reason: reason}
	}
	switch {
	case c.ID == "":
		return invalid(".id", "a customer has no name")
	case !isHeaderValue(string(c.ID)):
		return &InvalidError{Object: object + ".id", Reason: "the name can't be sent in a header"}
	case !isRate(float64(c.Rate)):
		return invalid(".rate", "the rate is not a number of 0 or more")
	case !isRate(c.Burst):
		return invalid(".burst", "the burst is not a number of 0 or more")
	}
	for n, key := range c.Keys {
		if key == (KeyDigest{}) {
			return invalid(fmt.Sprintf(".keys[%d]", n),
				fmt.Sprintf("the key is empty, has over %d bytes, or can't be sent in a header", MaxKeyLength))
		}
	}
	return nil
}

// isRate reports whether a number may stand for requests a second or requests at once.
func isRate(number float64) bool {
	return number >= 0 && !math.IsInf(number, 0)
}

// isHeaderValue reports whether a name can be sent in a header as it is. Line breaks in it would start
// another header.
func isHeaderValue(name string) bool {
	if len(name) > maxCustomerNameLength || name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] == 0x7f {
			return false
		}
	}
	return true
}

// Customer returns the customer with the ID, or nil if there is none.
func (d *Declaration) Customer(id identifier.CustomerID) *Customer {
	if i := slices.IndexFunc(d.Customers, func(c Customer) bool { return c.ID == id }); i >= 0 {
		return &d.Customers[i]
	}
	return nil
}
