package recorder

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"go.yaml.in/yaml/v3"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// recordable lists the types of events that Decode accepts.
var recordable = []reducer.Event{
	reducer.Started{},
	reducer.Woken{},
	reducer.PeerDisconnected{},
	reducer.HostStarted{},
	reducer.HostLeaving{},
	reducer.ServerAnnounced{},
	reducer.ServerRelayed{},
	reducer.RenewalsRelayed{},
	reducer.AnnouncementsWanted{},
	reducer.HostHeard{},
	reducer.ConfigurationLoaded{},
	reducer.QueryArrived{},
	reducer.QueryAbandoned{},
	reducer.AttemptServed{},
	reducer.AttemptRefused{},
	reducer.AttemptLost{},
	reducer.AttemptSubmitted{},
	reducer.AttemptCancelled{},
	reducer.CallServed{},
	reducer.CallRefused{},
	reducer.CallLost{},
	reducer.FingerprintSuspected{},
	reducer.FingerprintCrashed{},
	reducer.FingerprintCleared{},
	reducer.QuarantineReleased{},
	reducer.ProbeAsked{},
	reducer.ProbeReturned{},
	reducer.ProbeGranted{},
	reducer.OwnershipRenewed{},
	reducer.QueuesEstimated{},
	reducer.LeaseRenewed{},
	reducer.ChangeRequested{},
	reducer.ObjectsRequested{},
	reducer.ConfigurationWanted{},
	reducer.RevisionsSent{},
	reducer.ContentsSent{},
	reducer.OperationForwarded{},
	reducer.OperationRedirected{},
	reducer.OperationAnswered{},
	reducer.IntentAnswered{},
	reducer.MembersRequested{},
	reducer.LogRecovered{},
	reducer.RecordsStored{},
	reducer.StorageFailed{},
	reducer.ReplicaMessaged{},
}

// FormatError is returned for a session file with invalid content.
type FormatError struct {
	Line   int
	Reason string
}

// Error returns a message with the line and the reason.
func (e *FormatError) Error() string {
	return fmt.Sprintf("recorder: line %d: %s", e.Line, e.Reason)
}

// kebabCase returns a Go name in kebab case.
func kebabCase(name string) string {
	var b strings.Builder
	var previous rune
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 && !unicode.IsUpper(previous) {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
		previous = r
	}
	return b.String()
}

// typeName returns the name of a type in kebab case, without type arguments.
func typeName(t reflect.Type) string {
	name, _, _ := strings.Cut(t.Name(), "[")
	return kebabCase(name)
}

func scalarNode(value any) *yaml.Node {
	node := &yaml.Node{}
	if err := node.Encode(value); err != nil {
		panic(fmt.Sprintf("recorder: encode %T: %v", value, err))
	}
	return node
}

func mappingNode() *yaml.Node {
	return &yaml.Node{Kind: yaml.MappingNode, Style: yaml.FlowStyle}
}

func addEntry(m *yaml.Node, key string, value *yaml.Node) {
	m.Content = append(m.Content, scalarNode(key), value)
}

// encodeNamed returns a mapping with one entry: the name of the value's type and the encoded
// value.
func encodeNamed(value any) *yaml.Node {
	m := mappingNode()
	addEntry(m, typeName(reflect.TypeOf(value)), encode(value))
	return m
}

func encode(value any) *yaml.Node {
	return encodeValue(reflect.ValueOf(value))
}

func encodeValue(v reflect.Value) *yaml.Node {
	switch v.Kind() {
	case reflect.Interface:
		return encodeNamed(v.Elem().Interface())
	case reflect.Pointer:
		if view, ok := v.Interface().(*reducer.View); ok {
			return encodeView(view)
		}
		return encodeValue(v.Elem())
	case reflect.Struct:
		return encodeStruct(v)
	case reflect.Slice, reflect.Array:
		return encodeList(v)
	case reflect.Map:
		return encodeMap(v)
	case reflect.String:
		return scalarNode(v.String())
	case reflect.Bool:
		return scalarNode(v.Bool())
	case reflect.Float64:
		return scalarNode(v.Float())
	case reflect.Int, reflect.Int64:
		return scalarNode(v.Int())
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		return scalarNode(v.Uint())
	}
	panic(fmt.Sprintf("recorder: cannot encode a value of type %s", v.Type()))
}

func encodeStruct(v reflect.Value) *yaml.Node {
	m := mappingNode()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || v.Field(i).IsZero() {
			continue
		}
		addEntry(m, kebabCase(field.Name), encodeValue(v.Field(i)))
	}
	return m
}

func encodeList(v reflect.Value) *yaml.Node {
	if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
		return scalarNode(string(v.Bytes()))
	}
	list := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	for i := range v.Len() {
		list.Content = append(list.Content, encodeValue(v.Index(i)))
	}
	return list
}

func encodeMap(v reflect.Value) *yaml.Node {
	m := mappingNode()
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	for _, key := range keys {
		addEntry(m, fmt.Sprint(key), encodeValue(v.MapIndex(key)))
	}
	return m
}

// encodeView encodes the fields of a view that routing depends on: the configuration
// version, the live hosts and the owner of each server.
func encodeView(v *reducer.View) *yaml.Node {
	m := mappingNode()
	addEntry(m, "configuration", encode(v.Configuration))
	addEntry(m, "hosts", encode(v.Hosts))
	owners := map[string]string{}
	for id, server := range v.Servers {
		owners[string(id)] = string(server.Owner)
	}
	addEntry(m, "owners", encode(owners))
	return m
}

func decodeEvent(node *yaml.Node) (reducer.Event, error) {
	if node.Kind != yaml.MappingNode || len(node.Content) != 2 {
		return nil, &FormatError{node.Line, "an event must be a mapping with one entry: its name and its fields"}
	}
	for _, e := range recordable {
		if typeName(reflect.TypeOf(e)) != node.Content[0].Value {
			continue
		}
		target := reflect.New(reflect.TypeOf(e))
		if err := decodeValue(node.Content[1], target.Elem()); err != nil {
			return nil, err
		}
		return target.Elem().Interface().(reducer.Event), nil
	}
	return nil, &FormatError{node.Line, fmt.Sprintf("unknown event %q", node.Content[0].Value)}
}

func decode(node *yaml.Node, target any) error {
	return decodeValue(node, reflect.ValueOf(target).Elem())
}

func decodeValue(node *yaml.Node, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Struct:
		return decodeStruct(node, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return decodeValue(node, v.Elem())
	case reflect.Slice:
		return decodeSlice(node, v)
	case reflect.Interface:
		return decodeVariant(node, v)
	}
	if err := node.Decode(v.Addr().Interface()); err != nil {
		return &FormatError{node.Line, err.Error()}
	}
	return nil
}

func decodeStruct(node *yaml.Node, v reflect.Value) error {
	if node.Kind != yaml.MappingNode {
		return &FormatError{node.Line, "fields must be a mapping"}
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i].Value
		field := v.FieldByNameFunc(func(n string) bool { return kebabCase(n) == name })
		if !field.IsValid() || !field.CanSet() {
			return &FormatError{node.Content[i].Line, fmt.Sprintf("unknown field %q", name)}
		}
		if err := decodeValue(node.Content[i+1], field); err != nil {
			return err
		}
	}
	return nil
}

func decodeSlice(node *yaml.Node, v reflect.Value) error {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		v.SetBytes([]byte(node.Value))
		return nil
	}
	v.Set(reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content)))
	for i, child := range node.Content {
		if err := decodeValue(child, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}
