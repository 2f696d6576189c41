package config

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"
)

// ErrInvalid is wrapped by every Findings error.
var ErrInvalid = errors.New("invalid configuration")

// Finding is one validation finding of a configuration file, with its position.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1
	Column  int    `json:"column"` // from 1
	Message string `json:"message"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings holds all findings of one check, ordered by file, line and column.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (f Findings) Unwrap() error { return ErrInvalid }

// position is where a value was written: its file and, if known, its YAML node.
type position struct {
	file string
	node *yaml.Node
}

// collector collects the findings of all files of one check.
type collector struct {
	findings Findings
}

func (c *collector) add(pos position, format string, args ...any) {
	f := Finding{File: pos.file, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)}
	if pos.node != nil && pos.node.Line > 0 {
		f.Line, f.Column = pos.node.Line, pos.node.Column
	}
	c.findings = append(c.findings, f)
}

// sorted returns the findings in the order of files, then by line and column.
func (c *collector) sorted(files []File) Findings {
	order := make(map[string]int, len(files))
	for i, f := range files {
		order[f.Name] = i
	}
	sort.SliceStable(c.findings, func(i, j int) bool {
		a, b := c.findings[i], c.findings[j]
		if a.File != b.File {
			return order[a.File] < order[b.File]
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return c.findings
}
