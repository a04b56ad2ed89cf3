package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// render fills a settings template as DEPLOY.md describes it: {{a.b}}, {{a|json}}, sections and inverted sections.
// Fields are plain tables (map[string]any), lists ([]string) and values.
func render(text string, fields map[string]any) string {
	return renderIn(text, []any{fields}, "", true)
}

var gap = regexp.MustCompile(`\{\{([^}]*)\}\}`)

func renderIn(text string, scope []any, key string, last bool) string {
	var out strings.Builder
	for {
		m := gap.FindStringSubmatchIndex(text)
		if m == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:m[0]])
		name := strings.TrimSpace(text[m[2]:m[3]])
		text = text[m[1]:]
		switch {
		case name == ",":
			if !last {
				out.WriteString(",")
			}
		case name == "@":
			out.WriteString(key)
		case strings.HasPrefix(name, "#"), strings.HasPrefix(name, "^"):
			end := "{{/" + name[1:] + "}}"
			inner, rest, _ := strings.Cut(text, end)
			text = rest
			v := lookup(scope, name[1:])
			if name[0] == '^' {
				if isEmpty(v) {
					out.WriteString(renderIn(inner, scope, key, last))
				}
				continue
			}
			out.WriteString(section(inner, v, scope))
		default:
			path, asJSON := strings.CutSuffix(name, "|json")
			v := lookup(scope, path)
			if asJSON {
				b, _ := json.Marshal(v)
				out.Write(b)
			} else {
				out.WriteString(show(v))
			}
		}
	}
}

func section(inner string, v any, scope []any) string {
	var out strings.Builder
	switch x := v.(type) {
	case []string:
		for i, e := range x {
			out.WriteString(renderIn(inner, append(append([]any{}, scope...), e), fmt.Sprint(i), i == len(x)-1))
		}
	case map[string]any:
		keys := make([]string, 0, len(x))
		for k := range x {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for i, k := range keys {
			out.WriteString(renderIn(inner, append(append([]any{}, scope...), x[k]), k, i == len(keys)-1))
		}
	default:
		if !isEmpty(v) {
			out.WriteString(renderIn(inner, append(append([]any{}, scope...), v), "", true))
		}
	}
	return out.String()
}

func lookup(scope []any, path string) any {
	if path == "." {
		return scope[len(scope)-1]
	}
	for i := len(scope) - 1; i >= 0; i-- {
		v, ok := any(scope[i]), true
		for part := range strings.SplitSeq(path, ".") {
			m, is := v.(map[string]any)
			if !is {
				ok = false
				break
			}
			if v, ok = m[part]; !ok {
				break
			}
		}
		if ok {
			return v
		}
	}
	return nil
}

func isEmpty(v any) bool {
	switch x := v.(type) {
	case nil:
		return true
	case bool:
		return !x
	case []string:
		return len(x) == 0
	case map[string]any:
		return len(x) == 0
	}
	return false
}

func show(v any) string {
	switch x := v.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(x, ",")
	case map[string]any:
		b, _ := json.Marshal(x)
		return string(b)
	}
	return fmt.Sprint(v)
}
