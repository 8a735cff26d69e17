// Package scenarios embeds the scenario files of the lab. To add a scenario, add a TOML file to this folder.
package scenarios

import "embed"

// Files contains the scenario files, one NAME.toml for each scenario.
//
//go:embed *.toml
var Files embed.FS
