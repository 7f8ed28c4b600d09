package reducer

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in order, so that iteration is deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
