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

// TestOperationsPage guards against an operations page that lacks a metric or a log event
// of the code, or lists one that was removed.
func TestOperationsPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(moduleRoot + "/docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	requests := namesInCode(c, func(path string) bool { return !servesJobs(path) })
	c.Check(namesOnPage(string(page), "## Metrics"), qt.DeepEquals, requests.metrics)
	c.Check(namesOnPage(string(page), "## Log events"), qt.DeepEquals, requests.events)
	jobs := namesInCode(c, servesJobs)
	c.Check(namesOnPage(string(page), "### Job metrics"), qt.DeepEquals, jobs.metrics)
	c.Check(namesOnPage(string(page), "### Job log events"), qt.DeepEquals, jobs.events)
}

// servesJobs reports whether a file belongs to the scheduling of jobs, as opposed to the
// path of requests.
func servesJobs(path string) bool {
	path = strings.TrimPrefix(path, moduleRoot+"/")
	dir, _, _ := strings.Cut(path, "/")
	return slices.Contains([]string{"callerbody", "jobservice", "dispatch", "jobapi", "jobhost", "ownerlink", "platform", "relay", "scheduler", "subscription", "supervision", "election"}, dir) || strings.HasPrefix(path, "command/platform")
}

// namesOnPage returns the sorted first cells of the table in a section. Names of log events
// are followed by their levels.
func namesOnPage(page, section string) (names []string) {
	_, rest, _ := strings.Cut(page, "\n"+section+"\n")
	rest, _, _ = strings.Cut(rest, "\n"+strings.Fields(section)[0]+" ")
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_-]+)` \\| ([a-z]+)").FindAllStringSubmatch(rest, -1) {
		name := row[1]
		if strings.HasSuffix(strings.ToLower(section), "log events") {
			name += " " + row[2]
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// namesInCode finds the literal names in calls that create metrics or write log events.
func namesInCode(c *qt.C, include func(path string) bool) (found names) {
	levels := map[string]string{"Info": "info", "Warn": "warn", "Error": "error"}
	metricMethods := []string{"Counter", "Count", "Timer", "Histogram", "Gauge", "gauge"}
	err := filepath.WalkDir(moduleRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || !include(path) {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			method, receiver, name, ok := parseNamingCall(n)
			switch {
			case ok && slices.Contains(metricMethods, method):
				found.metrics = append(found.metrics, "egretdrum_"+name)
			case ok && (receiver == "log" || receiver == "Log" && servesJobs(path)) && levels[method] != "":
				found.events = append(found.events, name+" "+levels[method])
			}
			if event, ok := schedulerEvent(n); ok {
				found.events = append(found.events, event+" info")
			}
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
	for _, names := range []*[]string{&found.metrics, &found.events} {
		slices.Sort(*names)
		*names = slices.Compact(*names)
	}
	return found
}

// names are the names of metrics, and of log events with their levels.
type names struct{ metrics, events []string }

// schedulerEvent returns the name in a log event of the scheduler, LogEvent{Event: "name"}.
func schedulerEvent(n ast.Node) (string, bool) {
	pair, ok := n.(*ast.KeyValueExpr)
	if !ok {
		return "", false
	}
	key, ok := pair.Key.(*ast.Ident)
	literal, isLiteral := pair.Value.(*ast.BasicLit)
	if !ok || !isLiteral || key.Name != "Event" || literal.Kind != token.STRING {
		return "", false
	}
	name, err := strconv.Unquote(literal.Value)
	return name, err == nil
}

// parseNamingCall returns the parts of a call a.b.receiver.method("name", ...).
func parseNamingCall(n ast.Node) (method, receiver, name string, ok bool) {
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
