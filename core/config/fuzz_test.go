package config_test

import (
	"testing"

	"github.com/amaranthfold/amaranthfold/core/config"
)

// FuzzLoad loads arbitrary overlays. Each must be accepted, or rejected with findings
// that have a position, and Load must accept what Marshal returns for an accepted one.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(overlay))
	f.Add([]byte("colour: red\nusage: {window: x}\n"))
	f.Add([]byte("add: {services: [{name: a}, {name: a}]}\n"))
	f.Add([]byte("deployment: [\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := config.Load(config.File{Name: "base", Content: []byte(base)}, config.File{Name: "site", Content: data})
		if err != nil {
			for _, finding := range config.AsFindings(err) {
				if finding.Line < 1 || finding.Column < 1 || finding.Message == "" {
					t.Fatalf("finding without a position or a message: %+v", finding)
				}
			}
			return
		}
		written, err := config.Marshal(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Load(config.File{Name: "written", Content: written}); err != nil {
			t.Fatalf("Load rejects the output of Marshal: %v\n%s", err, written)
		}
	})
}
