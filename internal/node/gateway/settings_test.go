package gateway

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

const settingsText = `
name: gateway-1
data_centre: near
listen:
  callers: "127.0.0.1:8000"
  directory: "127.0.0.1:8001"
  readiness: "127.0.0.1:8002"
  peers: "127.0.0.1:8003"
peers: ["127.0.0.1:9003"]
store: "127.0.0.1:7000"
limits: {memory_mb: 284, file_descriptors: 4100, cores: 0.4}
bounds:
  drain: 2s
  grace: 8s
  stability: 3s
  config_apply: 2s
  max_keep: 5s
  stall: 1500ms
  retries: {ratio: 0.2, extra: 90, window: 10s}
`

// Guards against a mechanism that stays enabled because an operator disabled it under a name with a typo. Such a name
// must be refused with the list of valid names.
func TestMechanismsAreDisabledByName(t *testing.T) {
	var set Settings
	if err := settings.Parse("off", []byte(settingsText+"off: [late-reading, moves]\n"), &set); err != nil {
		t.Fatal(err)
	}
	g := &Gateway{}
	g.settings.Store(&set)
	if got := []bool{g.disabled(mechanismMoves), g.disabledInDispatch()[dispatch.LatePrefill], g.disabled(mechanismMaps)}; !cmp.Equal(got, []bool{true, true, false}) {
		t.Fatalf("off: %v", got)
	}
	var wrong *settings.KeyError
	err := settings.Parse("wrong", []byte(settingsText+"off: [late_reading]\n"), &Settings{})
	if !errors.As(err, &wrong) || wrong.Path != "$.off[0]" {
		t.Fatalf("got %v, want an error at $.off[0]", err)
	}
}

// Guards against printed settings that cannot be read again. An operator prints the settings of a gateway, changes a
// key in the output, and uses the result.
func TestPrintedSettingsCanBeRead(t *testing.T) {
	var set, again Settings
	if err := settings.Parse("first", []byte(settingsText), &set); err != nil {
		t.Fatal(err)
	}
	text, err := settings.Format(&set)
	if err != nil {
		t.Fatal(err)
	}
	if err := settings.Parse("printed", text, &again); err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	if diff := cmp.Diff(set, again); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against weights, parts and conditions of overload that are out of range and would be applied.
func TestOverloadSettingsAreChecked(t *testing.T) {
	for text, path := range map[string]string{
		"overload: {least_part: 0.3}":                                       "$.overload.least_part",
		"overload: {least_part: .nan}":                                      "$.overload.least_part",
		"overload: {fair_accounts: true, account_weights: {a: 2, b: 0}}":    "$.overload.account_weights[b]",
		"overload: {fair_accounts: true, account_weights: {a: 2, b: 1001}}": "$.overload.account_weights[b]",
		"overload: {account_weights: {a: 2}}":                               "$.overload.account_weights",
		"overload: {fair_accounts: true, least_part: 0.1}":                  "",
	} {
		var wrong *settings.KeyError
		err := settings.Parse("overload", []byte(settingsText+text+"\n"), &Settings{})
		switch {
		case path == "" && err != nil:
			t.Errorf("%s: %v", text, err)
		case path != "" && (!errors.As(err, &wrong) || wrong.Path != path):
			t.Errorf("%s: got %v, want an error at %s", text, err, path)
		}
	}
}
