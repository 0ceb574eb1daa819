// Package profiles holds the example profiles of both deployments, so that
// lynxbench declares the same ones that lynxctl users are shown.
package profiles

import (
	"embed"
	"fmt"
	"io/fs"
	"path"

	"lynxhill.example/lynxhill/internal/profile"
)

// Deployments: the folders of the examples.
const (
	Mediaplace  = "mediaplace"
	Kilimanjaro = "kilimanjaro"
)

// Files holds the TOML files, in one folder a deployment.
//
//go:embed mediaplace/*.toml kilimanjaro/*.toml
var Files embed.FS

// Load returns the profiles of a deployment by file name, checked.
func Load(deployment string) ([]profile.Profile, error) {
	names, err := fs.Glob(Files, path.Join(deployment, "*.toml"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("no example profiles of deployment %q", deployment)
	}
	profiles := make([]profile.Profile, 0, len(names))
	for _, name := range names {
		p, err := load(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		profiles = append(profiles, p)
	}
	return profiles, nil
}

func load(name string) (profile.Profile, error) {
	text, err := Files.ReadFile(name)
	if err != nil {
		return profile.Profile{}, err
	}
	p, err := profile.Parse(text)
	if err != nil {
		return profile.Profile{}, err
	}
	return p, profile.Validate(p)
}
