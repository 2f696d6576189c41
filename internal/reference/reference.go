// Package reference collects the names of events and metrics from Go source files. A test
// uses it to check that docs/REFERENCE.md lists them all. The same test checks that the
// page lists every flag of package settings, and every variable that has no flag.
//
// Files are parsed without type checking, so names are found by convention. The name of an
// event is a string literal that is the first argument of a method named Record or Log, or
// the first of two results of a function whose name starts with describe. The name of a
// metric is a string literal with the prefix amaranth_, up to its labels.
package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// recordMethods are the methods whose first argument is the name of an event.
var recordMethods = map[string]bool{"Record": true, "Log": true}

const metricPrefix = "amaranth_"

// continueField is a field of engine requests. It has the metric prefix but is no metric.
const continueField = "amaranth_continue"

// Names holds the names found in source files, sorted and without duplicates.
type Names struct {
	Events  []string
	Metrics []string // without labels
}

// Collect returns the names in the Go files below root, except test files. It fails if a
// directory cannot be read or a file cannot be parsed.
func Collect(root string) (Names, error) {
	found := collector{events: map[string]bool{}, metrics: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return fmt.Errorf("parse %s: %w", path, err)
		}
		ast.Inspect(file, found.visit)
		return nil
	})
	return Names{Events: sortedKeys(found.events), Metrics: sortedKeys(found.metrics)}, err
}

// collector holds the names found so far.
type collector struct {
	events  map[string]bool
	metrics map[string]bool
}

// visit collects the names at one syntax node. It is a function for ast.Inspect.
func (c *collector) visit(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.CallExpr:
		c.collectRecordedEvent(n)
	case *ast.FuncDecl:
		if strings.HasPrefix(n.Name.Name, "describe") {
			ast.Inspect(n, c.collectReturnedEvent)
		}
	case *ast.BasicLit:
		c.collectMetric(n)
	}
	return true
}

// collectRecordedEvent adds the name of the event if n is a call of one of recordMethods.
func (c *collector) collectRecordedEvent(n *ast.CallExpr) {
	sel, ok := n.Fun.(*ast.SelectorExpr)
	if !ok || !recordMethods[sel.Sel.Name] || len(n.Args) == 0 {
		return
	}
	if name, ok := stringLiteral(n.Args[0]); ok {
		c.events[name] = true
	}
}

// collectReturnedEvent adds the name of the event if n is a return statement with two
// results. It is called for the nodes of describe functions.
func (c *collector) collectReturnedEvent(n ast.Node) bool {
	ret, ok := n.(*ast.ReturnStmt)
	if !ok || len(ret.Results) != 2 {
		return true
	}
	if name, ok := stringLiteral(ret.Results[0]); ok && name != "" {
		c.events[name] = true
	}
	return true
}

// collectMetric adds the name of the metric if n is a string literal with its form.
func (c *collector) collectMetric(n *ast.BasicLit) {
	value, ok := stringLiteral(n)
	if !ok || !strings.HasPrefix(value, metricPrefix) || value == metricPrefix || value == continueField || strings.ContainsAny(value, " ./") {
		return
	}
	name, _, _ := strings.Cut(value, "{")
	c.metrics[name] = true
}

// stringLiteral returns the value of e, or false if e is not a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(lit.Value)
	return value, err == nil
}

func sortedKeys(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
