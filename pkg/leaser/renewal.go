package leaser

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Digest is a 64-bit hash of the fields of an announcement that routing depends on.
type Digest uint64

// Renewal reports a new announcement in which nothing that routing depends on has
// changed. Hosts send it to each other in place of the whole announcement.
type Renewal struct {
	Server      identifier.ServerID    `msgpack:"i"`
	Incarnation identifier.Incarnation `msgpack:"n"`
	Sequence    identifier.Sequence    `msgpack:"q"`
	Digest      Digest                 `msgpack:"d"`
}

// Renewal returns the renewal for the latest announcement of a server. It returns
// false if the server has no lease.
func (l *Leaser) Renewal(id identifier.ServerID) (Renewal, bool) {
	lease, ok := l.leases[id]
	if !ok {
		return Renewal{}, false
	}
	a := lease.Announcement
	return Renewal{Server: id, Incarnation: a.Incarnation, Sequence: a.Sequence, Digest: lease.digest}, true
}

// Renew extends a lease for a renewal whose announcement was made at the given
// instant. It returns false if the leaser lacks the announcement that the renewal
// refers to, so that the whole announcement is needed.
func (l *Leaser) Renew(at identifier.Instant, r Renewal) bool {
	lease, ok := l.leases[r.Server]
	if !ok {
		return false
	}
	known := &lease.Announcement
	renewed := Announcement{Incarnation: r.Incarnation, Sequence: r.Sequence}
	if !renewed.NewerThan(*known) {
		return true
	}
	if known.Incarnation != r.Incarnation || lease.digest != r.Digest {
		return false
	}
	known.Sequence = r.Sequence
	lease.Expires = max(lease.Expires, at.Add(l.term))
	return true
}

// digest hashes the fields that SameForRouting compares.
func (a Announcement) digest() Digest {
	var b []byte
	for _, text := range []string{string(a.Server), string(a.Service), string(a.Domain), string(a.Address)} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	b = binary.AppendUvarint(b, uint64(a.Incarnation))
	b = binary.AppendVarint(b, int64(a.Slots))
	b = binary.AppendVarint(b, int64(a.Connections))
	b = append(b, byte(a.State))
	for _, h := range a.Holdings {
		b = binary.AppendUvarint(b, uint64(h.Epoch))
		b = binary.AppendUvarint(b, uint64(h.Range.From))
		b = binary.AppendUvarint(b, uint64(h.Range.To))
		b = binary.AppendUvarint(b, uint64(len(h.Versions)))
		for _, v := range h.Versions {
			b = binary.AppendUvarint(b, uint64(v))
		}
	}
	return Digest(xxhash.Sum64(b))
}
