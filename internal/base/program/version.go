package program

import (
	"fmt"
	"runtime/debug"
)

// Version returns the version that the program was built from, which is the module's version or the commit of a checkout,
// followed by the Go version. It returns "unknown" if the binary has no build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return versionOf(info)
}

// shownRevisionLength is how many characters of a commit hash are shown, as many as version control tools show.
const shownRevisionLength = 12

func versionOf(info *debug.BuildInfo) string {
	set := map[string]string{}
	for _, s := range info.Settings {
		set[s.Key] = s.Value
	}
	revision := set["vcs.revision"]
	if revision == "" {
		return fmt.Sprintf("%s (%s)", info.Main.Version, info.GoVersion)
	}
	changed := ""
	if set["vcs.modified"] == "true" {
		changed = ", changed since"
	}
	return fmt.Sprintf("%s%s (%s)", revision[:min(shownRevisionLength, len(revision))], changed, info.GoVersion)
}
