package build

import "runtime/debug"

// Release is the version of the product.
const Release = "0.1.0"

// Version returns the release and, where the build knows it, the revision of the source.
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
