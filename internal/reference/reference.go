// Package reference collects the names of events and metrics from Go source, since the
// documentation must list them. A test checks that docs/REFERENCE.md contains them and,
// from package settings, the flags with their environment variables.
//
// It parses files without type checking and relies on conventions: the name of an event
// is the literal first argument of a method named Record or log, or the literal first of
// two results of a function whose name starts with describe. A metric is a string
// literal with the prefix amaranth_.
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
var recordMethods = map[string]bool{"Record": true, "log": true}

// metricPrefix is the prefix of every metric's name.
const metricPrefix = "amaranth_"

// continueField is a field of engine requests that has the prefix but is not a metric.
const continueField = "amaranth_continue"

// Names holds the names that the source below a directory uses, sorted and without
// duplicates.
type Names struct {
	Events  []string
	Metrics []string // without labels
}

// Collect returns the names in the Go files below root, except those in tests. It fails
// if a file cannot be parsed.
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

// collectRecordedEvent adds the event that a call of one of recordMethods records.
func (c *collector) collectRecordedEvent(n *ast.CallExpr) {
	sel, ok := n.Fun.(*ast.SelectorExpr)
	if !ok || !recordMethods[sel.Sel.Name] || len(n.Args) == 0 {
		return
	}
	if name, ok := stringLiteral(n.Args[0]); ok {
		c.events[name] = true
	}
}

// collectReturnedEvent adds the event that a return statement of a describe function
// returns.
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

func (c *collector) collectMetric(n *ast.BasicLit) {
	value, ok := stringLiteral(n)
	if !ok || !strings.HasPrefix(value, metricPrefix) || value == metricPrefix || value == continueField || strings.ContainsAny(value, " ./") {
		return
	}
	name, _, _ := strings.Cut(value, "{")
	c.metrics[name] = true
}

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
