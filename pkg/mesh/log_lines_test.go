package mesh

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/docpage"
)

// loggerPrefixes has the fields with loggers and the prefixes of their lines.
var loggerPrefixes = map[string]string{"callLog": "call", "controlLog": "control"}

// TestPageHasEveryLogLineAndItsFields compares docs/LOGS.md with the log calls in the code.
func TestPageHasEveryLogLineAndItsFields(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("*.go")
	c.Assert(err, qt.IsNil)
	found := map[string]bool{}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		c.Assert(err, qt.IsNil)
		ast.Inspect(f, func(n ast.Node) bool {
			if line, ok := pageCells(n); ok {
				found[line] = true
			}
			return true
		})
	}
	rows, err := docpage.Rows("../../docs/LOGS.md")
	c.Assert(err, qt.IsNil)
	documented := map[string]bool{}
	for _, row := range rows {
		if cells := strings.Split(row, " | "); len(cells) == 4 {
			documented[strings.Join(cells[:3], " | ")] = true
		}
	}
	for line := range found {
		c.Check(documented[line], qt.IsTrue, qt.Commentf("not on the page: %s", line))
	}
	for line := range documented {
		c.Check(found[line], qt.IsTrue, qt.Commentf("not in the code: %s", line))
	}
}

// pageCells returns the first cells of the page's row for a call that writes a log line, and false for any other syntax node.
func pageCells(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	x, ok := sel.X.(*ast.SelectorExpr)
	if !ok || loggerPrefixes[x.Sel.Name] == "" || len(call.Args) == 0 || sel.Sel.Name == "Handler" {
		return "", false
	}
	msg, err := strconv.Unquote(call.Args[0].(*ast.BasicLit).Value)
	if err != nil {
		return "", false
	}
	var fields []string
	for i := 1; i < len(call.Args); i += 2 {
		key, err := strconv.Unquote(call.Args[i].(*ast.BasicLit).Value)
		if err == nil {
			fields = append(fields, key)
		}
	}
	slices.Sort(fields)
	return fmt.Sprintf("| `%s: %s` | %s | %s", loggerPrefixes[x.Sel.Name], msg, strings.ToLower(sel.Sel.Name), strings.Join(fields, ", ")), true
}
