// Package examples holds the settings and bundles of both deployments.
package examples

import "embed"

// Files holds the INI files of this folder.
//
//go:embed *.ini
var Files embed.FS
