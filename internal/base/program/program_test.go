package program

import (
	"runtime/debug"
	"testing"
)

func TestVersionOf(t *testing.T) {
	commit := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef0123"}
	changed := debug.BuildSetting{Key: "vcs.modified", Value: "true"}
	for want, info := range map[string]*debug.BuildInfo{
		"v1.2.3 (go1.26)":                      {GoVersion: "go1.26", Main: debug.Module{Version: "v1.2.3"}},
		"0123456789ab (go1.26)":                {GoVersion: "go1.26", Settings: []debug.BuildSetting{commit}},
		"0123456789ab, changed since (go1.26)": {GoVersion: "go1.26", Settings: []debug.BuildSetting{commit, changed}},
	} {
		if got := versionOf(info); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
