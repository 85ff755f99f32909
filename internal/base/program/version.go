package program

import (
	"fmt"
	"runtime/debug"
)

// Version names what the program was built from: the module's version, or the commit of a checkout, and Go's version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return versionOf(info)
}

// shownRevision is how many characters of a commit's name are shown; as many as tools of version control show.
const shownRevision = 12

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
	return fmt.Sprintf("%s%s (%s)", revision[:min(shownRevision, len(revision))], changed, info.GoVersion)
}
