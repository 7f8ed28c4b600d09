package encoder

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// grown lists the structs that got fields after they were first sent or stored, with the number of their first
// fields. The msgpack library rejects an array whose length isn't the number of fields. So hosts of different
// versions understand each other, and a host reads what an earlier version has stored: empty fields at the end are
// left out beyond the first ones, missing fields are empty, and further ones are ignored. Such structs have no
// embedded structs with fields.
var grown = []struct {
	value any
	first int
}{
	{reducer.ServerListRequested{}, 7},
	{reducer.ServerListSent{}, 11},
	{reducer.PartsRequested{}, 10},
	{reducer.PartsDelivered{}, 8},
	{reducer.PartsCancelled{}, 2},
	{reducer.Payload{}, 4},
	{reducer.ListedServer{}, 5},
	{reducer.WithdrawalRelayed{}, 1},
	{reducer.FingerprintCleared{}, 2},
	{reducer.ServersMeasured{}, 3},
	{reducer.Measurement{}, 2},
	{assessor.Tally{}, 3},
	{reducer.ControlSnapshot{}, 4},
	{reducer.ServerListSnapshot{}, 4},
	{permitter.AccountReport[identifier.CustomerID]{}, 6},
}

func init() {
	for _, g := range grown {
		t := reflect.TypeOf(g.value)
		c := growthCodec{first: g.first}
		for i := range t.NumField() {
			if t.Field(i).IsExported() {
				c.fields = append(c.fields, i)
			}
		}
		msgpack.Register(g.value, c.encode, c.decode)
	}
}

// growthCodec encodes and decodes a struct that got fields. The fields are the indexes of those that are encoded, of
// which all but the first may be left out.
type growthCodec struct {
	fields []int
	first  int
}

func (c growthCodec) encode(e *msgpack.Encoder, value reflect.Value) error {
	count := len(c.fields)
	for count > c.first && isEmpty(value.Field(c.fields[count-1])) {
		count--
	}
	if err := e.EncodeArrayLen(count); err != nil {
		return err
	}
	for _, i := range c.fields[:count] {
		if err := e.EncodeValue(value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func (c growthCodec) decode(d *msgpack.Decoder, value reflect.Value) error {
	count, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count < c.first {
		return &InvalidEventError{Detail: "a struct lacks fields"}
	}
	value.SetZero()
	for n := range count {
		if n >= len(c.fields) {
			err = d.Skip()
		} else {
			err = d.DecodeValue(value.Field(c.fields[n]))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// isEmpty reports whether a field may be left out. A list without elements is as good as none.
func isEmpty(field reflect.Value) bool {
	if field.Kind() == reflect.Slice {
		return field.Len() == 0
	}
	return field.IsZero()
}
