package settings

import (
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Duration is a length of time with its unit, such as 250ms. Unlike time.Duration it is refused with its key.
type Duration time.Duration

// UnmarshalYAML implements yaml.NodeUnmarshaler; it returns *KeyError.
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

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Or returns d, or the given default if d is not set.
func (d Duration) Or(standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return time.Duration(d)
}

// MarshalYAML writes the duration as UnmarshalYAML reads it.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }
