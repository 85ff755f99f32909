package settings

import (
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Duration is a duration with a unit in YAML, such as 250ms. Unlike time.Duration, an invalid value is reported with its
// key.
type Duration time.Duration

// UnmarshalYAML implements yaml.NodeUnmarshaler. It returns *KeyError if the value is negative or not a duration.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	const want = "a duration with a unit, for example 250ms or 2s"
	text := node.GetToken().Value
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return &KeyError{node.GetPath(), want, text}
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Or returns d, or def if d is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// MarshalYAML returns d in the format that UnmarshalYAML parses.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }
