package recorder

import (
	"fmt"
	"reflect"

	"go.yaml.in/yaml/v3"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// decodeVariant decodes a mapping with one entry, the name of a type and its fields, into a
// value of interface type.
func decodeVariant(node *yaml.Node, v reflect.Value) error {
	if node.Kind != yaml.MappingNode || len(node.Content) != 2 {
		return &FormatError{node.Line, "a variant must be a mapping with one entry: its type name and its fields"}
	}
	for _, candidate := range reducer.Variants() {
		t := reflect.TypeOf(candidate)
		if typeName(t) != node.Content[0].Value || !t.Implements(v.Type()) {
			continue
		}
		target := reflect.New(t).Elem()
		if err := decodeValue(node.Content[1], target); err != nil {
			return err
		}
		v.Set(target)
		return nil
	}
	return &FormatError{node.Line, fmt.Sprintf("unknown variant %q of %s", node.Content[0].Value, v.Type())}
}
