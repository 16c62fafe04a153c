// Package examples embeds example settings and bundles of two deployments.
package examples

import "embed"

// Files contains the INI files of this directory.
//
//go:embed *.ini
var Files embed.FS
