package config

import (
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// positions holds where each named item and field was last written, so that checks
// on the merged configuration can report the position. Keys are paths such as
// services[sorter-models].minTargets.
type positions struct {
	byPath map[string]position
}

func newPositions() *positions { return &positions{byPath: map[string]position{}} }

func (o *positions) set(path string, pos position) { o.byPath[path] = pos }

// lookup returns the position of path or of its nearest enclosing path, or else the
// fallback file.
func (o *positions) lookup(path, fallbackFile string) position {
	for path != "" {
		if p, ok := o.byPath[path]; ok {
			return p
		}
		path = parentPath(path)
	}
	return position{file: fallbackFile}
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// decoder decodes one file's nodes into the configuration and adds findings for
// nodes that do not fit the schema. It continues after each finding.
type decoder struct {
	*collector
	file      string
	overlay   bool // the file is an overlay, not the base
	adding    bool // within the overlay's add section
	positions *positions
}

func (d *decoder) positionOf(n *yaml.Node) position { return position{d.file, n} }

func (d *decoder) document(root *yaml.Node, cfg *Config) {
	d.mapping(root, reflect.ValueOf(cfg).Elem(), "")
}

// mapping decodes a YAML mapping into a struct.
func (d *decoder) mapping(n *yaml.Node, into reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.add(d.positionOf(n), "%s is %s, want a mapping", displayPath(path), kindName(n))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if seen[key.Value] {
			d.add(d.positionOf(key), "field %q is written twice", key.Value)
			continue
		}
		seen[key.Value] = true
		d.field(key, value, into, path)
	}
}

// field decodes one key and value of a mapping.
func (d *decoder) field(key, value *yaml.Node, into reflect.Value, path string) {
	if path == "" && key.Value == addKey && d.overlay {
		addSection := *d
		addSection.adding = true
		addSection.mapping(value, into, "")
		return
	}
	field, ok := fieldByTag(into, key.Value)
	if !ok {
		d.add(d.positionOf(key), "unknown field %q in %s", key.Value, displayPath(path))
		return
	}
	child := joinPath(path, key.Value)
	d.positions.set(child, d.positionOf(value))
	d.value(value, field, child)
}

func (d *decoder) value(n *yaml.Node, into reflect.Value, path string) {
	switch {
	case into.Type() == reflect.TypeFor[time.Duration]():
		d.duration(n, into, path)
	case into.Kind() == reflect.Struct:
		d.mapping(n, into, path)
	case into.Kind() == reflect.Slice && into.Type().Elem().Kind() == reflect.Struct:
		d.namedList(n, into, path)
	case into.Kind() == reflect.Slice:
		d.stringList(n, into, path)
	default:
		d.scalar(n, into, path)
	}
}

// namedList merges a list of items by their names.
func (d *decoder) namedList(n *yaml.Node, into reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.add(d.positionOf(n), "%s is %s, want a list", path, kindName(n))
		return
	}
	seen := map[string]bool{}
	for _, item := range n.Content {
		name, nameNode := itemName(item)
		if name == "" {
			d.add(d.positionOf(item), "item of %s has no name", path)
			continue
		}
		if seen[name] {
			d.add(d.positionOf(nameNode), "duplicate name %q in %s", name, path)
			continue
		}
		seen[name] = true
		d.namedItem(item, nameNode, name, into, path)
	}
}

func (d *decoder) namedItem(item, nameNode *yaml.Node, name string, into reflect.Value, path string) {
	element := findByName(into, name)
	exists := element.IsValid()
	// The rules of the add section do not apply to lists nested in an item, such as a
	// service's routes: overlays may extend them in either place.
	topLevel := !strings.Contains(path, "[")
	if d.overlay && topLevel && exists == d.adding {
		if d.adding {
			d.add(d.positionOf(nameNode), "%q is already in %s of the base", name, path)
		} else {
			d.add(d.positionOf(nameNode), "overlay names %q, which is not in %s of the base; put new items under %q", name, path, addKey)
		}
		return
	}
	if !exists {
		into.Set(reflect.Append(into, reflect.New(into.Type().Elem()).Elem()))
		element = into.Index(into.Len() - 1)
	}
	child := path + "[" + name + "]"
	d.positions.set(child, d.positionOf(nameNode))
	d.mapping(item, element, child)
}

func (d *decoder) stringList(n *yaml.Node, into reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.add(d.positionOf(n), "%s is %s, want a list", path, kindName(n))
		return
	}
	values := make([]string, 0, len(n.Content))
	for _, item := range n.Content {
		if item.Kind != yaml.ScalarNode {
			d.add(d.positionOf(item), "item of %s is %s, want a string", path, kindName(item))
			continue
		}
		d.positions.set(path+"["+item.Value+"]", d.positionOf(item))
		values = append(values, item.Value)
	}
	into.Set(reflect.ValueOf(values))
}

func (d *decoder) duration(n *yaml.Node, into reflect.Value, path string) {
	v, err := time.ParseDuration(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode {
		d.add(d.positionOf(n), "%s is %q, want a duration with a unit such as 500ms, 10s or 24m", path, n.Value)
		return
	}
	into.SetInt(int64(v))
}

func (d *decoder) scalar(n *yaml.Node, into reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		d.add(d.positionOf(n), "%s is %s, want a single value", path, kindName(n))
		return
	}
	switch into.Kind() {
	case reflect.String:
		into.SetString(n.Value)
	case reflect.Bool:
		v, err := strconv.ParseBool(n.Value)
		if err != nil {
			d.add(d.positionOf(n), "%s is %q, want true or false", path, n.Value)
			return
		}
		into.SetBool(v)
	case reflect.Int:
		v, err := strconv.Atoi(n.Value)
		if err != nil {
			d.add(d.positionOf(n), "%s is %q, want a whole number", path, n.Value)
			return
		}
		into.SetInt(int64(v))
	case reflect.Float64:
		v, err := strconv.ParseFloat(n.Value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			d.add(d.positionOf(n), "%s is %q, want a number without a unit", path, n.Value)
			return
		}
		into.SetFloat(v)
	}
}

func fieldByTag(v reflect.Value, tag string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == tag {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func findByName(list reflect.Value, name string) reflect.Value {
	for i := range list.Len() {
		if list.Index(i).FieldByName("Name").String() == name {
			return list.Index(i)
		}
	}
	return reflect.Value{}
}

func itemName(n *yaml.Node) (string, *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		return "", n
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "name" {
			return n.Content[i+1].Value, n.Content[i+1]
		}
	}
	return "", n
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func displayPath(path string) string {
	if path == "" {
		return "the top level"
	}
	return path
}

func kindName(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	default:
		return "a single value"
	}
}
