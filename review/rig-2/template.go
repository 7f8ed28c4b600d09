//go:build review

package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// render fills in a template of the deploy file from the platform's fields, of which tables are maps.
func render(file string, fields map[string]any) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	return fill(string(text), fields, "", nil)
}

// fill replaces the placeholders and sections of a text. Within a section, key and entry are the current ones.
func fill(text string, fields map[string]any, key string, entry any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("template: a placeholder has no end: %.20q", rest)
		}
		text = after
		if !strings.HasPrefix(name, "#") {
			out.WriteString(value(name, fields, key, entry))
			continue
		}
		section, after, found := strings.Cut(text, "{{/"+name[1:]+"}}")
		if !found {
			return "", fmt.Errorf("template: section %s has no end", name)
		}
		text = after
		filled, err := repeat(section, lookUp(name[1:], fields), fields)
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
}

// repeat fills in a section once for each entry of a table, or once for any other value.
func repeat(section string, found any, fields map[string]any) (string, error) {
	table, ok := found.(map[string]any)
	if !ok {
		if found == nil || found == false {
			return "", nil
		}
		return fill(section, fields, "", nil)
	}
	var keys []string
	for k := range table {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var out strings.Builder
	for _, k := range keys {
		filled, err := fill(section, fields, k, table[k])
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
	return out.String(), nil
}

func value(name string, fields map[string]any, key string, entry any) string {
	switch name {
	case "@":
		return key
	case ".":
		return fmt.Sprint(entry)
	}
	if found := lookUp(name, fields); found != nil {
		return fmt.Sprint(found)
	}
	return ""
}

func lookUp(path string, fields map[string]any) any {
	var found any = fields
	for name := range strings.SplitSeq(path, ".") {
		table, ok := found.(map[string]any)
		if !ok {
			return nil
		}
		found = table[name]
	}
	return found
}
