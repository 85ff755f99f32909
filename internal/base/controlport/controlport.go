// Package controlport is the listener that daemons have beside that for traffic.
package controlport

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
)

// Port is the listener for RPC, metrics and health of a daemon.
type Port struct {
	Mux    *http.ServeMux
	server *http.Server
}

// controlTimeout bounds the reading of a request's header on the control listener.
const controlTimeout = 5 * time.Second

// Start serves on address: /metrics with the given set and the process's own, /healthz, and what is added to
// Mux before. With keys it serves TLS only, to peers with a certificate; keys may be nil.
func Start(address string, mux *http.ServeMux, set *metrics.Set, source *keys.Source, logger log.Logger) (*Port, error) {
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("control listener: %w", err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	var handler http.Handler = mux
	if source != nil {
		protocols.SetHTTP2(true)
		listener = tls.NewListener(listener, source.Server())
		handler = keys.RequireNodeRole(mux)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	c := &Port{Mux: mux, server: &http.Server{Handler: handler, ReadHeaderTimeout: controlTimeout, Protocols: protocols}}
	go func() {
		if err := c.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(logger).Log("msg", "control listener ended", "err", err)
		}
	}()
	return c, nil
}

// Stop closes the listener.
func (c *Port) Stop() { _ = c.server.Close() }
