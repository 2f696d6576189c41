// Package deploy holds the example configuration of both sites.
package deploy

import "embed"

// Files are the base file and the overlays of the sites.
//
//go:embed *.yaml
var Files embed.FS
