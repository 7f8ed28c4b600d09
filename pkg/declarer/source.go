package declarer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// MaxText bounds the bytes of a declaration's text; a larger one is not read.
const MaxText identifier.Bytes = 16 << 20

// Source is a declaration as the operator wrote it. It travels and is stored
// compressed, since successive versions hold hundreds of routes.
type Source struct {
	Version identifier.Version `msgpack:"v"`
	Packed  []byte             `msgpack:"p"`
}

// NewSource packs the text of a declaration.
func NewSource(version identifier.Version, text []byte) (Source, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return Source{}, fmt.Errorf("declarer: pack: %w", err)
	}
	if _, err := w.Write(text); err != nil {
		return Source{}, fmt.Errorf("declarer: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return Source{}, fmt.Errorf("declarer: pack: %w", err)
	}
	return Source{Version: version, Packed: packed.Bytes()}, nil
}

// Text returns the text as it was written.
func (s Source) Text() ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(s.Packed)), int64(MaxText)))
	if err != nil {
		return nil, fmt.Errorf("declarer: unpack version %d: %w", s.Version, err)
	}
	return text, nil
}

// Interpreter reads the text of a declaration; the adapter that took it from the
// operator provides it. It returns an error for text that is not a declaration.
type Interpreter func(text []byte) (*Declaration, error)
