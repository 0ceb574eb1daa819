package main

import "runtime/debug"

// version returns the module version, or the revision it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lynxhilld (no build information)"
	}
	out := "lynxhilld " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			out += " " + s.Value
		}
	}
	return out + " " + info.GoVersion
}
