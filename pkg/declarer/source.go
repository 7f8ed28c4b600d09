package declarer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// MaxTextSize is the maximum size of a declaration's text. The control endpoint rejects larger
// texts.
const MaxTextSize identifier.Bytes = 16 << 20

// Source is the text of a declaration as the operator sent it. It is sent and stored
// compressed, because every version contains hundreds of routes.
type Source struct {
	Version identifier.Version `msgpack:"v"`
	Packed  []byte             `msgpack:"p"`
}

// NewSource returns a Source with the compressed text of a declaration.
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

// Text returns the decompressed text, at most its first MaxTextSize bytes. It returns an error
// if the data is corrupt.
func (s Source) Text() ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(s.Packed)), int64(MaxTextSize)))
	if err != nil {
		return nil, fmt.Errorf("declarer: unpack version %d: %w", s.Version, err)
	}
	return text, nil
}

// Interpreter parses the text of a declaration. The adapter that accepts declarations
// from operators provides it. It returns an error for text that is not a declaration.
type Interpreter func(text []byte) (*Declaration, error)
