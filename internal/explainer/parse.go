package explainer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// textTimeLayout is the layout of the timestamp at the start of a text line.
const textTimeLayout = "2006-01-02T15:04:05.000Z0700"

// parseLine parses a log line. It reports false if the bytes are not a log line.
func parseLine(line []byte) (Line, bool) {
	if bytes.HasPrefix(line, []byte("{")) {
		return parseObject(line)
	}
	return parseText(string(line))
}

// parseObject parses a line in JSON format.
func parseObject(line []byte) (Line, bool) {
	var values map[string]any
	if err := json.Unmarshal(line, &values); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(values["@timestamp"]))
	if err != nil {
		return Line{}, false
	}
	l := Line{At: at, Level: fmt.Sprint(values["@level"]), Message: fmt.Sprint(values["@message"])}
	for name, value := range values {
		if !strings.HasPrefix(name, "@") {
			l.Fields = append(l.Fields, Field{name, fmt.Sprint(value)})
		}
	}
	// The order of the fields is lost in the map.
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, true
}

// parseText parses a line in the text format "TIME [LEVEL] NAME: MESSAGE: FIELD=VALUE ...".
func parseText(line string) (Line, bool) {
	stamp, rest, _ := strings.Cut(line, " ")
	at, err := time.Parse(textTimeLayout, stamp)
	if err != nil {
		return Line{}, false
	}
	level, rest, ok := strings.Cut(strings.TrimPrefix(rest, "["), "]")
	if !ok {
		return Line{}, false
	}
	_, rest, ok = strings.Cut(strings.TrimLeft(rest, " "), ": ")
	if !ok {
		return Line{}, false
	}
	message, fields, _ := strings.Cut(rest, ": ")
	l := Line{At: at, Level: strings.ToLower(strings.TrimSpace(level)), Message: message}
	for fields = strings.TrimLeft(fields, " "); fields != ""; fields = strings.TrimLeft(fields, " ") {
		name, value, ok := strings.Cut(fields, "=")
		if !ok {
			return Line{}, false
		}
		if fields, value, ok = cutValue(value); !ok {
			return Line{}, false
		}
		l.Fields = append(l.Fields, Field{name, value})
	}
	return l, true
}

// cutValue returns the value at the start of the text, without its quotes, and the rest of
// the text. It reports false for a malformed quoted value.
func cutValue(text string) (rest, value string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return rest, value, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return text[len(quoted):], value, err == nil
}

// quote quotes a value that is empty or contains white space or quotes.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\"") {
		return strconv.Quote(value)
	}
	return value
}
