package encoder

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// init registers the variants; the extension id of a type is its place among them.
func init() {
	for id, value := range reducer.Variants() {
		v := variant{plain: plainOf(reflect.TypeOf(value))}
		msgpack.RegisterExtEncoder(int8(id), value, v.encode)
		msgpack.RegisterExtDecoder(int8(id), value, v.decode)
	}
}

// variant encodes and decodes one type as the body of a msgpack extension.
type variant struct {
	// plain has the fields of the type but not its extension, so that encoding ends.
	plain reflect.Type
}

// plainOf returns a struct whose only field, the given type, is encoded inline.
func plainOf(t reflect.Type) reflect.Type {
	name, _, _ := strings.Cut(t.Name(), "[")
	return reflect.StructOf([]reflect.StructField{{Name: name, Type: t, Anonymous: true, Tag: `msgpack:",inline"`}})
}

func (v variant) encode(_ *msgpack.Encoder, value reflect.Value) ([]byte, error) {
	plain := reflect.New(v.plain).Elem()
	plain.Field(0).Set(value)
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseArrayEncodedStructs(true)
	if err := e.EncodeValue(plain); err != nil {
		return nil, fmt.Errorf("encoder: encode %s: %w", value.Type(), err)
	}
	return buffer.Bytes(), nil
}

func (v variant) decode(d *msgpack.Decoder, value reflect.Value, _ int) error {
	plain := reflect.New(v.plain)
	if err := d.DecodeValue(plain.Elem()); err != nil {
		return fmt.Errorf("encoder: decode %s: %w", value.Type(), err)
	}
	value.Set(plain.Elem().Field(0))
	return nil
}
