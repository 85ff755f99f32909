package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

type example struct {
	Name string `yaml:"name"`
	HTTP struct {
		Address string            `yaml:"address"`
		Timeout settings.Duration `yaml:"timeout"`
	} `yaml:"http"`
}

func (e *example) Check() error {
	if err := settings.CheckName("$.name", e.Name, "a host name"); err != nil {
		return err
	}
	return settings.CheckAddress("$.http.address", e.HTTP.Address)
}

func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		line int
		want string
	}{
		"good":        {"name: a\nhttp:\n  address: 127.0.0.1:80\n  timeout: 2s\n", 0, ""},
		"unknown key": {"name: a\nhttp:\n  adress: 127.0.0.1:80\n", 3, "adress"},
		"wrong unit":  {"name: a\nhttp:\n  address: 127.0.0.1:80\n  timeout: 2 parsecs\n", 4, "timeout"},
		"bad address": {"name: a\nhttp:\n  address: nowhere\n", 3, "IP:PORT"},
		"missing":     {"http:\n  address: 127.0.0.1:80\n", 0, "$.name is missing"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := settings.Parse("f.yaml", []byte(tc.text), &example{})
			if tc.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var fe *settings.FileError
			if !errors.As(err, &fe) || fe.Line != tc.line || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want line %d and %q", err, tc.line, tc.want)
			}
		})
	}
}
