// Package deploy embeds the configuration files of the example deployments kingston and
// tenda. Both share base.yaml; each has an overlay under its own name.
package deploy

import "embed"

// Files holds the base file and the overlays.
//
//go:embed *.yaml
var Files embed.FS
