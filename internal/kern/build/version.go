package build

import "runtime/debug"

// Release is the version number of the release.
const Release = "0.1.0"

// Version returns the release and, if the build recorded it, the source revision in parentheses.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Release + " (" + setting.Value + ")"
		}
	}
	return Release
}
