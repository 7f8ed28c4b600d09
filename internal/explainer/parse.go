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

// textTime is how lines of text begin.
const textTime = "2006-01-02T15:04:05.000Z0700"

// parse reads a line. It reports false for bytes that are no log line.
func parse(line []byte) (Line, bool) {
	if bytes.HasPrefix(line, []byte("{")) {
		return parseObject(line)
	}
	return parseText(string(line))
}

// parseObject reads a line that is a JSON object.
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
	// JSON keeps no order.
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, true
}

// parseText reads "TIME [LEVEL] NAME: MESSAGE: FIELD=VALUE ...".
func parseText(line string) (Line, bool) {
	stamp, rest, _ := strings.Cut(line, " ")
	at, err := time.Parse(textTime, stamp)
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

// cutValue separates a value, quoted or not, from what follows it.
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

// quote quotes a value that has blanks or is empty.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\"") {
		return strconv.Quote(value)
	}
	return value
}
