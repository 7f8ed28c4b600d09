package encoder

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// init registers the variants as msgpack extensions. The extension ID of a type is its index
// in reducer.Variants.
func init() {
	for id, value := range reducer.Variants() {
		v := variantCodec{inlineType: inlineTypeOf(reflect.TypeOf(value))}
		msgpack.RegisterExtEncoder(int8(id), value, v.encode)
		msgpack.RegisterExtDecoder(int8(id), value, v.decode)
	}
}

// variantCodec encodes and decodes one type as the body of a msgpack extension.
type variantCodec struct {
	// inlineType has the fields of the type, but is not registered as an extension. Encoding
	// the type itself would recurse endlessly into the extension's encoder.
	inlineType reflect.Type
}

// inlineTypeOf returns a struct type whose only field is of the given type and is encoded
// inline.
func inlineTypeOf(t reflect.Type) reflect.Type {
	name, _, _ := strings.Cut(t.Name(), "[")
	return reflect.StructOf([]reflect.StructField{{Name: name, Type: t, Anonymous: true, Tag: `msgpack:",inline"`}})
}

func (v variantCodec) encode(_ *msgpack.Encoder, value reflect.Value) ([]byte, error) {
	inlined := reflect.New(v.inlineType).Elem()
	inlined.Field(0).Set(value)
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseArrayEncodedStructs(true)
	if err := e.EncodeValue(inlined); err != nil {
		return nil, fmt.Errorf("encoder: encode %s: %w", value.Type(), err)
	}
	return buffer.Bytes(), nil
}

func (v variantCodec) decode(d *msgpack.Decoder, value reflect.Value, _ int) error {
	inlined := reflect.New(v.inlineType)
	if err := d.DecodeValue(inlined.Elem()); err != nil {
		return fmt.Errorf("encoder: decode %s: %w", value.Type(), err)
	}
	value.Set(inlined.Elem().Field(0))
	return nil
}
