// Package reference collects what the documentation must list: flags with their
// environment variables, events, and metrics. A test holds docs/REFERENCE.md to
// it.
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

// recordMethods are the methods whose first argument names an event.
var recordMethods = map[string]bool{"Record": true, "log": true}

// metricPrefix begins the name of every metric.
const metricPrefix = "amaranth_"

// continueField of engine requests has the prefix and is no metric.
const continueField = "amaranth_continue"

// Names are what the source below a directory uses.
type Names struct {
	Events  []string
	Metrics []string // without labels
}

// Collect parses the Go files below root, tests left out.
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

// collectRecordedEvent notes the event that a call of one of the methods names.
func (c *collector) collectRecordedEvent(n *ast.CallExpr) {
	sel, ok := n.Fun.(*ast.SelectorExpr)
	if !ok || !recordMethods[sel.Sel.Name] || len(n.Args) == 0 {
		return
	}
	if name, ok := stringLiteral(n.Args[0]); ok {
		c.events[name] = true
	}
}

// collectReturnedEvent notes the events that functions called describe... return.
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
