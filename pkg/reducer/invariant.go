package reducer

import "fmt"

// Invariant names a property that must always hold.
type Invariant string

// InvariantError is the panic value for a violated invariant in strict mode.
type InvariantError struct {
	Invariant Invariant
	Detail    string
}

// Error returns the invariant and the details of the violation.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s is broken: %s", e.Invariant, e.Detail)
}

// require checks an invariant. A violation panics in strict mode, which tests use; in
// production it is counted and logged.
func (s *State) require(holds bool, i Invariant, detail string) {
	if holds {
		return
	}
	if s.parameters.Strict {
		panic(&InvariantError{Invariant: i, Detail: detail})
	}
	s.count(BrokenInvariantsCounter, "", 0)
	s.log(QuerySubsystem, Error, "invariant is broken", Field{"invariant", string(i)}, Field{"detail", detail})
}
