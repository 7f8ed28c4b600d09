// Package authenticator finds the customer that holds the key of a request.
//
// It compares digests of keys, never the keys, so the time of a lookup says nothing of the keys that exist. An
// Authenticator is built once per declaration and is immutable, so it is safe for concurrent use.
//
// # Usage
//
//	a := authenticator.New(declaration.Customers, declaration.KeysRequired)
//	customer, ok := a.Authenticate(declarer.DigestKey(key))
package authenticator

import "github.com/lagooncleat/lagooncleat/pkg/declarer"

// Authenticator indexes customers by the digests of their keys.
type Authenticator struct {
	byKey    map[declarer.KeyDigest]*declarer.Customer
	required bool
}

// New returns an Authenticator for the customers, which must not be modified afterwards. If keys are required, requests
// need one even when there are no customers.
func New(customers []declarer.Customer, required bool) *Authenticator {
	a := &Authenticator{byKey: map[declarer.KeyDigest]*declarer.Customer{}, required: required || len(customers) > 0}
	for i := range customers {
		for _, key := range customers[i].Keys {
			a.byKey[key] = &customers[i]
		}
	}
	return a
}

// Required reports whether requests need a key, unless their route is public.
func (a *Authenticator) Required() bool {
	return a != nil && a.required
}

// Authenticate returns the customer that holds the key, and false if there is none.
func (a *Authenticator) Authenticate(key declarer.KeyDigest) (*declarer.Customer, bool) {
	c, ok := a.byKey[key]
	return c, ok
}
