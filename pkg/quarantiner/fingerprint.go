package quarantiner

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// FingerprintOf returns the fingerprint of a request with the given contents. Requests with equal
// fingerprints are the same work for a backend server.
func FingerprintOf(contents ...string) identifier.Fingerprint {
	digest := xxhash.New()
	for _, text := range contents {
		// Writing to a digest never returns an error.
		_, _ = digest.WriteString(strconv.Itoa(len(text)) + ":")
		_, _ = digest.WriteString(text)
	}
	return identifier.Fingerprint(digest.Sum64())
}
