package httpserver

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// Limits are the static settings that protect callers from each other. Zero values select the defaults.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the request line and headers together; default 16384.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxBodyBytes is the maximum size of a request body; default 1048576.
	MaxBodyBytes int `yaml:"max_body_bytes"`
	// MaxConnections is the maximum number of open connections; default 20000.
	MaxConnections int `yaml:"max_connections"`
	// ReadTimeout is the maximum time from the first byte of a request to its last; default 10s.
	ReadTimeout settings.Duration `yaml:"read_timeout"`
	// IdleTimeout is how long a connection may be idle between requests; default 75s.
	IdleTimeout settings.Duration `yaml:"idle_timeout"`
	// WriteTimeout is how long a caller may leave written bytes unread; default 10s.
	WriteTimeout settings.Duration `yaml:"write_timeout"`
	// MaxUnreadBytes is how many written bytes a caller may leave unread before Exchange.Write blocks; default 262144.
	MaxUnreadBytes int `yaml:"max_unread_bytes"`
	// MaxUnreadTotal is how many bytes all callers together may leave unread, in equal parts, besides minUnreadBytes for each;
	// 0 for no bound.
	MaxUnreadTotal int `yaml:"max_unread_total"`
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
	minUnreadBytes        = 8 << 10
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

func orDefault(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}
