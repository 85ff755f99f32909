package httpserver

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// Limits are the static settings that keep one caller from harming others. Zero values mean the defaults.
type Limits struct {
	// MaxHeaderBytes is the largest request line with headers; default 16384.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxBodyBytes is the largest request body; default 1048576.
	MaxBodyBytes int `yaml:"max_body_bytes"`
	// MaxConnections is the most connections held at once; default 20000.
	MaxConnections int `yaml:"max_connections"`
	// ReadTimeout is the time from the first byte of a request to its last; default 10s.
	ReadTimeout settings.Duration `yaml:"read_timeout"`
	// IdleTimeout is how long a connection may wait between requests; default 75s.
	IdleTimeout settings.Duration `yaml:"idle_timeout"`
	// WriteTimeout is how long a caller may leave written bytes unread; default 10s.
	WriteTimeout settings.Duration `yaml:"write_timeout"`
	// MaxUnreadBytes is how much a caller may leave unread before a stream waits for it; default 262144.
	MaxUnreadBytes int `yaml:"max_unread_bytes"`
}

// Defaults of Limits.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxConnections = 20_000
	defaultReadTimeout    = 10 * time.Second
	defaultIdleTimeout    = 75 * time.Second
	defaultWriteTimeout   = 10 * time.Second
	defaultMaxUnreadBytes = 256 << 10
)

// withDefaults returns l with each zero value replaced.
func (l Limits) withDefaults() Limits {
	l.MaxHeaderBytes = orDefault(l.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, defaultMaxBodyBytes)
	l.MaxConnections = orDefault(l.MaxConnections, defaultMaxConnections)
	l.MaxUnreadBytes = orDefault(l.MaxUnreadBytes, defaultMaxUnreadBytes)
	l.ReadTimeout = settings.Duration(l.ReadTimeout.Or(defaultReadTimeout))
	l.IdleTimeout = settings.Duration(l.IdleTimeout.Or(defaultIdleTimeout))
	l.WriteTimeout = settings.Duration(l.WriteTimeout.Or(defaultWriteTimeout))
	return l
}

func orDefault(v, standard int) int {
	if v <= 0 {
		return standard
	}
	return v
}
