package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const moduleRoot = "../.."

// TestOperationsPage guards against a page for operators that lacks a metric or a log
// event of the code, or keeps one that is gone.
func TestOperationsPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(moduleRoot + "/docs/operations.md")
	c.Assert(err, qt.IsNil)
	metrics, events := namesInCode(c)
	c.Check(namesOnPage(string(page), "Metrics"), qt.DeepEquals, metrics)
	c.Check(namesOnPage(string(page), "Log events"), qt.DeepEquals, events)
}

// namesOnPage returns the first cells of the table in a section, and with log events the
// levels, sorted.
func namesOnPage(page, section string) (names []string) {
	_, rest, _ := strings.Cut(page, "\n## "+section+"\n")
	rest, _, _ = strings.Cut(rest, "\n## ")
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_-]+)` \\| ([a-z]+)").FindAllStringSubmatch(rest, -1) {
		name := row[1]
		if section == "Log events" {
			name += " " + row[2]
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// namesInCode finds the literal names in calls that make metrics or log events.
func namesInCode(c *qt.C) (metrics, events []string) {
	levels := map[string]string{"Info": "info", "Warn": "warn", "Error": "error"}
	makers := []string{"Counter", "Timer", "Histogram", "Gauge", "gauge"}
	err := filepath.WalkDir(moduleRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			method, receiver, name, ok := namingCall(n)
			switch {
			case ok && slices.Contains(makers, method):
				metrics = append(metrics, "egretdrum_"+name)
			case ok && receiver == "log" && levels[method] != "":
				events = append(events, name+" "+levels[method])
			}
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
	for _, names := range []*[]string{&metrics, &events} {
		slices.Sort(*names)
		*names = slices.Compact(*names)
	}
	return metrics, events
}

// namingCall takes a call a.b.receiver.method("name", ...) apart.
func namingCall(n ast.Node) (method, receiver, name string, ok bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", "", "", false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", "", "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", "", "", false
	}
	switch x := selector.X.(type) {
	case *ast.Ident:
		receiver = x.Name
	case *ast.SelectorExpr:
		receiver = x.Sel.Name
	}
	name, err := strconv.Unquote(literal.Value)
	return selector.Sel.Name, receiver, name, err == nil
}
