// Package scenarios holds the scenario files that come with the lab. To add one, put a file beside the others.
package scenarios

import "embed"

// Files are the scenario files, NAME.toml each.
//
//go:embed *.toml
var Files embed.FS
