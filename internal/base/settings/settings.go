// Package settings reads the static YAML settings of a process.
//
// Static settings are those that a process needs before it can reach any other: its addresses, its data centre, its
// peers and the platform. Everything else is dynamic configuration, which operators change by RPC. Parsing is strict: an
// unknown key, a wrong unit or a missing value is reported with file, line, key and expected value.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/goccy/go-yaml"
)

// Checker is a settings value that can validate itself.
type Checker interface {
	// Check returns nil, or an error for the first invalid key, usually a *KeyError.
	Check() error
}

// KeyError reports that a key is missing or has an invalid value.
type KeyError struct {
	// Path is the YAML path of the key, for example "$.http.address".
	Path string
	// Want describes the expected value.
	Want string
	// Got is the actual value as text; empty if the key is missing.
	Got string
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.Got == "" {
		return fmt.Sprintf("key %s is missing: want %s", e.Path, e.Want)
	}
	return fmt.Sprintf("key %s: got %q, want %s", e.Path, e.Got, e.Want)
}

// FileError reports the location of the first error in a settings file. Line is 0 if it is not known.
type FileError struct {
	File  string
	Line  int
	Cause error
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Cause)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Read parses the file into out. Errors: *FileError.
func Read(file string, out Checker) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	return Parse(file, text, out)
}

// Parse parses text into out and checks it. file is used only in errors. Errors: *FileError.
func Parse(file string, text []byte, out Checker) error {
	err := yaml.UnmarshalWithOptions(text, out, yaml.Strict())
	if err == nil {
		err = out.Check()
	}
	if err != nil {
		return &FileError{File: file, Line: lineOf(text, err), Cause: err}
	}
	return nil
}

// Format returns set as the text of a settings file, which Parse parses to the same value.
func Format(set Checker) ([]byte, error) {
	text, err := yaml.Marshal(set)
	if err != nil {
		return nil, fmt.Errorf("print settings: %w", err)
	}
	return text, nil
}

func lineOf(text []byte, err error) int {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil {
		return ye.GetToken().Position.Line
	}
	return lineOfKey(text, err)
}

// lineOfKey returns the line of the key that a KeyError in err names, or 0 if the key is missing from text.
func lineOfKey(text []byte, err error) int {
	var ke *KeyError
	if !errors.As(err, &ke) {
		return 0
	}
	path, perr := yaml.PathString(ke.Path)
	if perr != nil {
		return 0
	}
	node, nerr := path.ReadNode(bytes.NewReader(text))
	if nerr != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// CheckAddress returns *KeyError unless value is IP:PORT with a port other than 0.
func CheckAddress(path, value string) error {
	const want = "IP:PORT, for example 127.0.0.1:8080"
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 {
		return &KeyError{path, want, value}
	}
	return nil
}

// CheckAddresses returns *KeyError for the first value that CheckAddress rejects.
func CheckAddresses(path string, values []string) error {
	for i, value := range values {
		if err := CheckAddress(fmt.Sprintf("%s[%d]", path, i), value); err != nil {
			return err
		}
	}
	return nil
}

// CheckName returns *KeyError if value is empty.
func CheckName(path, value, want string) error {
	if value == "" {
		return &KeyError{path, want, value}
	}
	return nil
}
