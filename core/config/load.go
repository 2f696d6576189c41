package config

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// addKey is the overlay's section for items that the base does not contain.
const addKey = "add"

// File is a configuration file's content and the name that its findings contain.
type File struct {
	Name    string
	Content []byte
}

// Load merges base with the overlays in order, applies defaults and checks the
// result. The error is a Findings value with all findings of all files.
//
// A list of named items merges by name. Outside an overlay's "add" section an item
// must match one of the base; inside the section it must not.
func Load(base File, overlays ...File) (*Config, error) {
	c := &collector{}
	files := append([]File{base}, overlays...)
	cfg := &Config{}
	pos := newPositions()
	for i, file := range files {
		root := parse(c, file)
		if root == nil {
			continue
		}
		d := &decoder{collector: c, file: file.Name, overlay: i > 0, positions: pos}
		d.document(root, cfg)
	}
	applyDefaults(cfg)
	validate(c, cfg, pos, base.Name)
	if len(c.findings) > 0 {
		return nil, c.sorted(files)
	}
	return cfg, nil
}

var yamlErrorLine = regexp.MustCompile(`line (\d+): (.*)`)

// parse returns the root mapping of the file, or nil after adding a finding.
func parse(c *collector, file File) *yaml.Node {
	var doc yaml.Node
	if err := yaml.Unmarshal(file.Content, &doc); err != nil {
		c.add(syntaxPosition(file.Name, err), "%s", syntaxMessage(err))
		return nil
	}
	if len(doc.Content) == 0 {
		c.add(position{file: file.Name}, "file is empty")
		return nil
	}
	root := doc.Content[0]
	if root.Kind != yaml.MappingNode {
		c.add(position{file.Name, root}, "top level is %s, want a mapping", kindName(root))
		return nil
	}
	return root
}

func syntaxPosition(file string, err error) position {
	m := yamlErrorLine.FindStringSubmatch(err.Error())
	if m == nil {
		return position{file: file}
	}
	line, convErr := strconv.Atoi(m[1])
	if convErr != nil {
		return position{file: file}
	}
	return position{file, &yaml.Node{Line: line, Column: 1}}
}

func syntaxMessage(err error) string {
	if m := yamlErrorLine.FindStringSubmatch(err.Error()); m != nil {
		return m[2]
	}
	return err.Error()
}

// Marshal returns the configuration as YAML that Load accepts as a base.
func Marshal(cfg *Config) ([]byte, error) {
	out, err := yaml.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("marshal configuration of %q: %w", cfg.Deployment, err)
	}
	return out, nil
}

// AsFindings returns the Findings that err wraps, or nil.
func AsFindings(err error) Findings {
	var f Findings
	if errors.As(err, &f) {
		return f
	}
	return nil
}
